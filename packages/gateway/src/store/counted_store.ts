/**
 * A store whose calls are counted by operation and kind of object, and logged
 * from time to time: each call has a price and uses a rate that all processes
 * share.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { Result } from "neverthrow";
import type { GatewayLog } from "../log.ts";
import type {
  ObjectKind,
  ObjectStore,
  StoredChanges,
  StoredList,
  StoredObject,
  StoreFailure,
  StoreWrite,
  WatchOptions,
} from "../ports.ts";

/** Interval at which counts are logged. */
export const LOG_STORE_CALLS_MS = 5_000;

/** What a call does. A list of several pages counts once. */
type Operation = "list" | "watch" | "find" | "write" | "remove";

/** Counts the calls to another store. */
export class CountedStore implements ObjectStore {
  readonly #store: ObjectStore;
  readonly #counts = new Map<string, number>();

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /** Logs the calls since the last time; logs nothing without calls. */
  logCounts(log: GatewayLog): void {
    if (this.#counts.size === 0) return;
    log.write(EVENTS.StoreCallsCounted, Object.fromEntries(this.#counts));
    this.#counts.clear();
  }

  list(kind: ObjectKind): Promise<Result<StoredList, StoreFailure>> {
    this.#record("list", kind);
    return this.#store.list(kind);
  }

  watch(
    kind: ObjectKind,
    options: WatchOptions,
  ): Promise<Result<StoredChanges, StoreFailure>> {
    this.#record("watch", kind);
    return this.#store.watch(kind, options);
  }

  find(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject, StoreFailure>> {
    this.#record("find", kind);
    return this.#store.find(kind, name);
  }

  create(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    this.#record("write", kind);
    return this.#store.create(kind, write);
  }

  update(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    this.#record("write", kind);
    return this.#store.update(kind, write);
  }

  updateStatus(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    this.#record("write", kind);
    return this.#store.updateStatus(kind, write);
  }

  remove(kind: ObjectKind, name: string): Promise<Result<void, StoreFailure>> {
    this.#record("remove", kind);
    return this.#store.remove(kind, name);
  }

  close(): Promise<void> {
    return this.#store.close();
  }

  #record(operation: Operation, kind: ObjectKind): void {
    const key = `${operation} ${kind}`;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
  }
}
