import { err, ok, type Result } from "neverthrow";
import type {
  ObjectKind,
  ObjectStore,
  StoredChange,
  StoredChanges,
  StoredList,
  StoredObject,
  StoreFailure,
  StoreWrite,
  WatchOptions,
} from "./ports.ts";
import type { RoutingConfiguration } from "./model/routing.ts";

/** A store in memory that can be made to fail. */
export class FakeStore implements ObjectStore {
  isDown = false;
  calls = 0;
  readonly #kinds = new Map<ObjectKind, Map<string, StoredObject>>();
  readonly #changes: { kind: ObjectKind; change: StoredChange }[] = [];
  #waiters: (() => void)[] = [];
  #revision = 1;

  put(kind: ObjectKind, name: string, value: unknown): StoredObject {
    this.#revision += 1;
    const object = { name, revision: this.#revision, value, status: null };
    this.#getKind(kind).set(name, object);
    this.#recordChange(kind, { object, isRemoved: false });
    return object;
  }

  remove(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<void, StoreFailure>> {
    return this.#call((): Result<void, StoreFailure> => {
      this.drop(kind, name);
      return ok(undefined);
    });
  }

  /** Removes an object at once, even while the store is down. */
  drop(kind: ObjectKind, name: string): void {
    const object = this.#getKind(kind).get(name);
    if (object === undefined) return;
    this.#revision += 1;
    this.#getKind(kind).delete(name);
    this.#recordChange(kind, {
      object: { ...object, revision: this.#revision },
      isRemoved: true,
    });
  }

  get(kind: ObjectKind, name: string): unknown {
    return this.#getKind(kind).get(name)?.value;
  }

  list(kind: ObjectKind): Promise<Result<StoredList, StoreFailure>> {
    return this.#call(() =>
      ok<StoredList, StoreFailure>({
        objects: [...this.#getKind(kind).values()],
        revision: this.#revision,
      })
    );
  }

  async watch(
    kind: ObjectKind,
    { afterRevision, waitMs }: WatchOptions,
  ): Promise<Result<StoredChanges, StoreFailure>> {
    const find = () =>
      this.#changes.filter((each) =>
        each.kind === kind && each.change.object.revision > afterRevision
      ).map(({ change }) => change);
    if (find().length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.#waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return await this.#call(() =>
      ok<StoredChanges, StoreFailure>({
        changes: find(),
        revision: this.#revision,
      })
    );
  }

  find(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#call((): Result<StoredObject, StoreFailure> => {
      const object = this.#getKind(kind).get(name);
      return object === undefined ? err({ kind: "absent" }) : ok(object);
    });
  }

  create(
    kind: ObjectKind,
    { name, value }: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#call((): Result<StoredObject, StoreFailure> => {
      const current = this.#getKind(kind).get(name);
      if (current !== undefined) return err({ kind: "conflict", current });
      return ok(this.put(kind, name, value));
    });
  }

  update(
    kind: ObjectKind,
    { name, value, revision }: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#call((): Result<StoredObject, StoreFailure> => {
      const current = this.#getKind(kind).get(name);
      if (current === undefined) return err({ kind: "absent" });
      if (revision !== undefined && revision !== current.revision) {
        return err({ kind: "conflict", current });
      }
      return ok(this.put(kind, name, value));
    });
  }

  updateStatus(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.update(kind, write);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  async #call<T>(
    act: () => Result<T, StoreFailure>,
  ): Promise<Result<T, StoreFailure>> {
    this.calls += 1;
    await new Promise((resolve) => setImmediate(resolve));
    return this.isDown ? err({ kind: "refused", detail: "down" }) : act();
  }

  #getKind(kind: ObjectKind): Map<string, StoredObject> {
    const objects = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, objects);
    return objects;
  }

  #recordChange(kind: ObjectKind, change: StoredChange): void {
    this.#changes.push({ kind, change });
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const endWait of waiters) endWait();
  }
}

/** Restores the map of services, which gateways send each other as an object. */
export function decodeServices(
  value: RoutingConfiguration,
): RoutingConfiguration {
  const { services } = value;
  const entries = services instanceof Map ? services : Object.entries(services);
  return { ...value, services: new Map(entries) };
}
