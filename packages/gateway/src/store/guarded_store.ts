/**
 * A store whose reads are held back while calls to it fail. Writes pass, and
 * reads of the accounts that they concern: each serves a request or a duty that
 * bounds its own repeats.
 */
import { err, type Result } from "neverthrow";
import { type BreakerPauses, CallBreaker } from "../decisions/call_breaker.ts";
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
import { CountedStore } from "./counted_store.ts";

const HELD_BACK: StoreFailure = {
  kind: "refused",
  detail: "calls to the store have just failed; the next one is due later",
};

/** Gateways of a region that look first whether the store is back. */
const PROBING_RANKS = 2;
/** A change must be in force within seconds, and is passed on from here. */
const PROBING_PAUSES: BreakerPauses = { firstMs: 100, maxMs: 500 };
/** The others copy from those, and call the store in case that fails. */
const OTHER_PAUSES: BreakerPauses = { firstMs: 500, maxMs: 2_000 };

/** The layers of one gateway's store. */
export interface GatewayStores {
  readonly counted: CountedStore;
  /** All parts of the gateway call this one. */
  readonly guarded: GuardedStore;
}

/** Builds the layers; pauses depend on the rank as a relay in the region. */
export function buildGatewayStores(
  store: ObjectStore,
  findRelayRank: () => number,
): GatewayStores {
  const counted = new CountedStore(store);
  const getPauses = () => choosePauses(findRelayRank());
  return { counted, guarded: new GuardedStore(counted, getPauses) };
}

function choosePauses(relayRank: number): BreakerPauses {
  return relayRank < PROBING_RANKS ? PROBING_PAUSES : OTHER_PAUSES;
}

type Call<T> = () => Promise<Result<T, StoreFailure>>;

/** Guards the calls to another store. */
export class GuardedStore implements ObjectStore {
  readonly #store: ObjectStore;
  readonly #breaker: CallBreaker;

  constructor(store: ObjectStore, getPauses: () => BreakerPauses) {
    this.#store = store;
    this.#breaker = new CallBreaker(getPauses);
  }

  list(kind: ObjectKind): Promise<Result<StoredList, StoreFailure>> {
    return this.#read(() => this.#store.list(kind));
  }

  /**
   * Waits for changes. A watcher whose watch fails reads the list, which shows
   * sooner than another watch whether the store is back.
   */
  watch(
    kind: ObjectKind,
    options: WatchOptions,
  ): Promise<Result<StoredChanges, StoreFailure>> {
    if (this.#breaker.isOpen) return Promise.resolve(err(HELD_BACK));
    return this.#record(() => this.#store.watch(kind, options));
  }

  find(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject, StoreFailure>> {
    const call = () => this.#store.find(kind, name);
    return kind === "tokenAccounts" ? this.#record(call) : this.#read(call);
  }

  create(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#record(() => this.#store.create(kind, write));
  }

  update(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#record(() => this.#store.update(kind, write));
  }

  updateStatus(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#record(() => this.#store.updateStatus(kind, write));
  }

  remove(kind: ObjectKind, name: string): Promise<Result<void, StoreFailure>> {
    return this.#record(() => this.#store.remove(kind, name));
  }

  close(): Promise<void> {
    return this.#store.close();
  }

  #read<T>(call: Call<T>): Promise<Result<T, StoreFailure>> {
    return this.#breaker.startCall(performance.now())
      ? this.#record(call)
      : Promise.resolve(err(HELD_BACK));
  }

  async #record<T>(call: Call<T>): Promise<Result<T, StoreFailure>> {
    const result = await call();
    const hasFailed = result.isErr() &&
      (result.error.kind === "refused" || result.error.kind === "uncertain");
    if (hasFailed) {
      this.#breaker.recordFailure(performance.now(), Math.random());
    } else this.#breaker.recordResponse();
    return result;
  }
}
