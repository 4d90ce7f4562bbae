/**
 * A source of stored objects and their changes, and the store itself as one.
 */
import type { Result } from "neverthrow";
import type {
  ObjectKind,
  ObjectStore,
  StoredChanges,
  StoredList,
  StoreFailure,
} from "../ports.ts";
import { Stopwatch } from "./stopwatch.ts";

/** Names the store itself as the source of a value. */
export const STORE = "store";

/** A value that was current a while ago. */
export interface Confirmed<T> {
  readonly value: T;
  /** Upper bound on the time since the value was current. */
  readonly ageMs: number;
  /** The VM whose gateway sent the value, or `STORE`. */
  readonly source: string;
}

/** Result of a list or a watch. */
export type SourceResult<T> = Promise<Result<Confirmed<T>, StoreFailure>>;

/** A source of stored objects and their changes. */
export interface ObjectSource {
  /** Lists objects as of `minRevision` or later. */
  list(objects: ObjectKind, minRevision: number): SourceResult<StoredList>;
  watch(
    objects: ObjectKind,
    afterRevision: number,
  ): SourceResult<StoredChanges>;
}

/**
 * The store's timer may end a wait a little before the caller's clock says so,
 * since timers round to milliseconds.
 */
const TIMER_TOLERANCE_MS = 2;
/**
 * A slow store's responses take this long beyond a watch's wait before the call
 * ends. Where the age needn't be a bound, such a delay doesn't count: it would
 * make all gateways read their lists at a store that is slow already.
 */
const SLOW_RESPONSE_MS = 400;

/** How the store is watched, by kind. */
export interface StoreWaits {
  readonly getWaitMs: (objects: ObjectKind) => number;
  /** Whether an age must not be too small, not even by a slow response. */
  readonly needsAgeBound: (objects: ObjectKind) => boolean;
}

/** Reads and watches objects at the store. */
export class StoreSource implements ObjectSource {
  readonly #store: ObjectStore;
  readonly #getWaitMs: (objects: ObjectKind) => number;
  readonly #needsAgeBound: (objects: ObjectKind) => boolean;

  /** A watch waits for a change for as long as `getWaitMs` says. */
  constructor(store: ObjectStore, { getWaitMs, needsAgeBound }: StoreWaits) {
    this.#store = store;
    this.#getWaitMs = getWaitMs;
    this.#needsAgeBound = needsAgeBound;
  }

  async list(objects: ObjectKind): SourceResult<StoredList> {
    const call = new Stopwatch();
    return (await this.#store.list(objects))
      .map((value) => ({ value, ageMs: call.elapsedMs, source: STORE }));
  }

  async watch(
    objects: ObjectKind,
    afterRevision: number,
  ): SourceResult<StoredChanges> {
    const call = new Stopwatch();
    const waitMs = Math.floor(this.#getWaitMs(objects));
    const result = await this.#store.watch(objects, { afterRevision, waitMs });
    const { elapsedMs } = call;
    return result.map((value) => ({
      value,
      ageMs: computeWatchAgeMs({
        hasChanges: value.changes.length > 0,
        elapsedMs,
        waitMs,
        isBound: this.#needsAgeBound(objects),
      }),
      source: STORE,
    }));
  }
}

/**
 * Computes the upper bound on the age of a watch's response. The store answers
 * without changes once the wait is over; the rest of the time the response may
 * have been on its way, or this VM suspended. Any other response may have been
 * written right after the call.
 */
function computeWatchAgeMs(
  { hasChanges, elapsedMs, waitMs, isBound }: {
    readonly hasChanges: boolean;
    readonly elapsedMs: number;
    readonly waitMs: number;
    readonly isBound: boolean;
  },
): number {
  if (!isBound && !hasChanges && elapsedMs <= waitMs + SLOW_RESPONSE_MS) {
    return 0;
  }
  const waitedMs = waitMs - TIMER_TOLERANCE_MS;
  const isEarly = hasChanges || waitedMs <= 0 || elapsedMs < waitedMs;
  return isEarly ? elapsedMs : elapsedMs - waitedMs;
}
