/**
 * The registry of disks, as objects in the platform's store.
 */
import {
  type DiskInfo,
  type DiskRegistry,
  parseDiskInfo,
} from "@camphorlock/turns";
import type { ObjectStore, StoredObject } from "../ports.ts";

/** Registers disks in the store. */
export class StoredDiskRegistry implements DiskRegistry {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  async list(): Promise<readonly DiskInfo[] | undefined> {
    const listed = await this.#store.list("turnDisks");
    return listed.isOk() ? decodeDisks(listed.value.objects) : undefined;
  }

  async save(disk: DiskInfo): Promise<boolean> {
    const write = { name: disk.vmId, value: disk };
    const created = await this.#store.create("turnDisks", write);
    if (created.isOk()) return true;
    if (created.error.kind !== "conflict") return false;
    return (await this.#store.update("turnDisks", write)).isOk();
  }

  async remove(vmId: string): Promise<boolean> {
    return (await this.#store.remove("turnDisks", vmId)).isOk();
  }
}

/** Decodes the entries of disks; others are left out. */
export function decodeDisks(objects: readonly StoredObject[]): DiskInfo[] {
  return objects.flatMap(({ value }) => parseDiskInfo(value) ?? []);
}
