/**
 * An in-memory implementation of the platform's object API.
 *
 * The store is synchronous and has no timers: callers pass the current time, so
 * that the same store serves tests under virtual time and the HTTP stand-in.
 * Every change takes the next position, which is also the new version of its
 * object. A version is therefore never reused, even if a key is deleted and
 * created again.
 */
import {
  checkNever,
  type PlatformKey,
  type PlatformRequest,
  type PlatformResponse,
  type WriteCondition,
} from "@camphorlock/types";
import { TokenBucket } from "@camphorlock/objects";
import { ChangeLog } from "./change_log.ts";
import { SortedKeys } from "./sorted_keys.ts";

const MAX_VALUE_BYTES = 1024 * 1024;
const MAX_LISTED = 1_000;

/** Rate limits of the object API. Unlimited where absent. */
export interface ObjectStoreOptions {
  readonly readsPerSecond?: number;
  readonly writesPerSecond?: number;
}

/** Numbers of calls since the start, by kind and result. */
export interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
  rateLimited: number;
  conflicts: number;
}

/** Receives the response to a watch and the time of the response. */
export type WatchListener = (response: PlatformResponse, nowMs: number) => void;

type WatchRequest = Extract<PlatformRequest, { kind: "watch" }>;
type WriteRequest = Extract<PlatformRequest, { kind: "put" | "delete" }>;

interface StoredObject {
  readonly value: Uint8Array;
  readonly version: number;
}

interface WaitingWatch {
  readonly request: WatchRequest;
  readonly answer: WatchListener;
}

/** An object store with versions, conditional writes, lists and watches. */
export class ObjectStore {
  /** Counts of all calls. A waiting watch counts once, at its start. */
  readonly counts: CallCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    rateLimited: 0,
    conflicts: 0,
  };
  readonly #objects = new Map<string, StoredObject>();
  readonly #keys = new SortedKeys();
  readonly #changes = new ChangeLog();
  readonly #waiting = new Set<WaitingWatch>();
  readonly #reads: TokenBucket | undefined;
  readonly #writes: TokenBucket | undefined;

  constructor(options: ObjectStoreOptions = {}) {
    this.#reads = createBucket(options.readsPerSecond);
    this.#writes = createBucket(options.writesPerSecond);
  }

  /** Number of watches that wait for a change. */
  get waitingWatches(): number {
    return this.#waiting.size;
  }

  /** The position of the latest change. */
  get position(): number {
    return this.#changes.position;
  }

  /**
   * Handles a request immediately. The response to a watch without a change has
   * no keys. Use `watch` to wait for a change.
   */
  handle(request: PlatformRequest, nowMs: number): PlatformResponse {
    if (!this.#takeCall(request, nowMs)) {
      return { kind: "failed", reason: "rate_limited" };
    }
    switch (request.kind) {
      case "get":
        return this.#get(request.key);
      case "put":
        return this.#write(request, nowMs);
      case "delete":
        return this.#remove(request, nowMs);
      case "list":
        return this.#list(request);
      case "watch":
        return this.#findChanges(request);
      default:
        return checkNever(request);
    }
  }

  /**
   * Calls the listener once, now or when a key below the prefix changes. Returns
   * a function that ends the watch, with a response without keys.
   */
  watch(
    request: WatchRequest,
    options: { readonly nowMs: number; readonly answer: WatchListener },
  ): () => void {
    const current = this.handle(request, options.nowMs);
    const mustWait = current.kind === "changed" &&
      current.keys.length === 0 && request.afterPosition > 0;
    if (!mustWait) {
      options.answer(current, options.nowMs);
      return () => {};
    }
    const waiting = { request, answer: options.answer };
    this.#waiting.add(waiting);
    return () => {
      if (!this.#waiting.delete(waiting)) return;
      options.answer(this.#findChanges(request), options.nowMs);
    };
  }

  #get(key: string): PlatformResponse {
    const stored = this.#objects.get(key);
    if (stored === undefined) return { kind: "absent", key };
    return { kind: "found", object: { key, ...stored } };
  }

  #write(
    request: Extract<WriteRequest, { kind: "put" }>,
    nowMs: number,
  ): PlatformResponse {
    const { key, value } = request;
    if (value.length > MAX_VALUE_BYTES) {
      return { kind: "failed", reason: "refused" };
    }
    const conflict = this.#findConflict(key, request.condition);
    if (conflict !== undefined) return conflict;
    const version = this.#changes.append(key);
    if (!this.#objects.has(key)) this.#keys.add(key);
    this.#objects.set(key, { value: Uint8Array.from(value), version });
    this.#notifyWatches(key, nowMs);
    return { kind: "stored", key, version };
  }

  #remove(
    request: Extract<WriteRequest, { kind: "delete" }>,
    nowMs: number,
  ): PlatformResponse {
    const { key } = request;
    const conflict = this.#findConflict(key, request.condition);
    if (conflict !== undefined) return conflict;
    if (!this.#objects.delete(key)) return { kind: "absent", key };
    this.#keys.remove(key);
    this.#changes.append(key);
    this.#notifyWatches(key, nowMs);
    return { kind: "deleted", key };
  }

  #findConflict(
    key: string,
    condition: WriteCondition,
  ): PlatformResponse | undefined {
    const version = this.#objects.get(key)?.version ?? 0;
    if (isConditionMet(condition, version)) return undefined;
    this.counts.conflicts += 1;
    return { kind: "conflict", key, version };
  }

  #list(
    request: Extract<PlatformRequest, { kind: "list" }>,
  ): PlatformResponse {
    const keys = this.#keys.list(request.prefix, {
      after: request.after,
      limit: Math.min(request.limit, MAX_LISTED),
    });
    return { kind: "listed", keys: keys.map((key) => this.#getListedKey(key)) };
  }

  #findChanges(request: WatchRequest): PlatformResponse {
    const changed = request.afterPosition < this.#changes.firstPosition
      ? this.#keys.list(request.prefix, { limit: Infinity })
      : this.#changes.listAfter(request.afterPosition, request.prefix);
    return {
      kind: "changed",
      keys: changed.map((key) => this.#getListedKey(key)),
      position: this.#changes.position,
    };
  }

  #getListedKey(key: string): PlatformKey {
    return { key, version: this.#objects.get(key)?.version ?? 0 };
  }

  #notifyWatches(key: string, nowMs: number): void {
    for (const waiting of [...this.#waiting]) {
      if (!key.startsWith(waiting.request.prefix)) continue;
      this.#waiting.delete(waiting);
      waiting.answer(this.#findChanges(waiting.request), nowMs);
    }
  }

  #takeCall(request: PlatformRequest, nowMs: number): boolean {
    const isWrite = request.kind === "put" || request.kind === "delete";
    this.counts[isWrite ? "writes" : "reads"] += 1;
    if (request.kind === "watch") this.counts.watches += 1;
    const bucket = isWrite ? this.#writes : this.#reads;
    if (bucket === undefined || bucket.take(nowMs)) return true;
    this.counts.rateLimited += 1;
    return false;
  }
}

function isConditionMet(condition: WriteCondition, version: number): boolean {
  switch (condition.kind) {
    case "absent":
      return version === 0;
    case "version":
      return version === condition.version;
    case "any":
      return true;
    default:
      return checkNever(condition);
  }
}

function createBucket(perSecond: number | undefined): TokenBucket | undefined {
  if (perSecond === undefined) return undefined;
  return new TokenBucket({ perSecond, burst: perSecond }, 0);
}
