/**
 * The registered disks, as watched in the store.
 */
import { type DiskInfo, parseDiskInfo } from "@camphorlock/turns";
import type { StoredChange, StoredObject } from "../ports.ts";
import type { WatchListener } from "../store/store_watcher.ts";
import { decodeDisks } from "./stored_disk_registry.ts";

/** Keeps the registered disks. */
export class WatchedDisks implements WatchListener {
  readonly #byVm = new Map<string, DiskInfo>();
  readonly #onChange: (disks: readonly DiskInfo[]) => void;

  /** Calls `onChange` with all disks after each change. */
  constructor(onChange: (disks: readonly DiskInfo[]) => void) {
    this.#onChange = onChange;
  }

  /** Lists the disks. */
  list(): readonly DiskInfo[] {
    return [...this.#byVm.values()];
  }

  setAll(objects: readonly StoredObject[]): void {
    this.#byVm.clear();
    for (const disk of decodeDisks(objects)) this.#byVm.set(disk.vmId, disk);
    this.#onChange(this.list());
  }

  applyChange({ object, isRemoved }: StoredChange): void {
    const disk = parseDiskInfo(object.value);
    if (isRemoved || disk === undefined) this.#byVm.delete(object.name);
    else this.#byVm.set(disk.vmId, disk);
    this.#onChange(this.list());
  }
}
