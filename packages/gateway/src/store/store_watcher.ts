/**
 * Watches the store's objects of one kind: reads the complete list, then waits
 * for changes, and reads the list again when changes may be missing.
 *
 * Each watch request waits only briefly, so that a silent connection is
 * detected before the changes that it hides are overdue. Sources are called one
 * after another, and each may be unresponsive; so objects that weren't confirmed
 * for a while are read at the store beside that, whatever the watch waits for.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { GatewayLog } from "../log.ts";
import type {
  ObjectKind,
  StoredChange,
  StoredChanges,
  StoredList,
  StoredObject,
  StoreFailure,
} from "../ports.ts";
import type { Confirmed, ObjectSource, SourceResult } from "./object_source.ts";
import { ObjectCache } from "./object_cache.ts";
import { Stopwatch } from "./stopwatch.ts";

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/** Where objects came from, and how certain it is that they're current. */
export interface WatchOrigin {
  /** The VM of the gateway that sent them, or `store`. */
  readonly source: string;
  /** Time since the source last confirmed them. */
  readonly ageMs: number;
  /** Whether the store was unreachable until now. */
  readonly wasUnreachable: boolean;
}

/** Receives the objects of a watch and their changes. */
export interface WatchListener {
  /** Replaces all objects. */
  setAll(objects: readonly StoredObject[], origin: WatchOrigin): void;
  applyChange(change: StoredChange, origin: WatchOrigin): void;
}

/** How objects are read that weren't confirmed in time. */
export interface Renewal {
  /** Age at which the objects are read. */
  readonly afterMs: number;
  /** Reads the list at the store; undefined if it was called a moment ago. */
  readList(): Promise<Awaited<SourceResult<StoredList>> | undefined>;
}

/** The dependencies of a watcher. */
export interface StoreWatcherDependencies {
  readonly source: ObjectSource;
  readonly log: GatewayLog;
  readonly kind: ObjectKind;
  readonly objects: WatchListener;
  /** Absent if objects may be of any age. */
  readonly renewal?: Renewal;
  /** Whether the source's ages are upper bounds; not if absent. */
  readonly isAgeBound?: boolean;
}

/** Watches the objects of one kind. */
export class StoreWatcher {
  /** The watched objects, from which other gateways can watch them. */
  readonly cache: ObjectCache;
  readonly #dependencies: StoreWatcherDependencies;
  #isStopped = false;
  #isUnreachable = false;
  #backoffMs = INITIAL_BACKOFF_MS;
  #isRenewing = false;
  #renewalBackoffMs = INITIAL_BACKOFF_MS;
  #renewAfterMs = Number.POSITIVE_INFINITY;

  constructor(dependencies: StoreWatcherDependencies) {
    this.#dependencies = dependencies;
    const { isAgeBound = false } = dependencies;
    this.cache = new ObjectCache({ isAgeBound });
  }

  /** Time since the store last confirmed the watched objects. */
  computeAgeMs(): number {
    return this.cache.computeAgeMs();
  }

  /** Watches until stopped. */
  async run(): Promise<void> {
    const { renewal } = this.#dependencies;
    this.#renewAfterMs = performance.now() +
      (renewal?.afterMs ?? Number.POSITIVE_INFINITY);
    while (!this.#isStopped) {
      if (await this.#loadList()) await this.#watchChanges();
    }
  }

  /** Reads the objects at the store if they weren't confirmed in time. */
  async renewOverdue(nowMs: number): Promise<void> {
    const { renewal } = this.#dependencies;
    if (renewal === undefined || this.#isRenewing || this.#isStopped) return;
    const isOverdue = nowMs >= this.#renewAfterMs &&
      this.computeAgeMs() >= renewal.afterMs;
    if (!isOverdue) return;
    this.#isRenewing = true;
    const result = await renewal.readList();
    this.#isRenewing = false;
    if (this.#isStopped || result === undefined) return;
    if (result.isOk()) {
      this.#renewalBackoffMs = INITIAL_BACKOFF_MS;
      return this.#applyList(result.value);
    }
    this.#recordLoss(result.error);
    const delayMs = this.#renewalBackoffMs * (0.5 + Math.random());
    this.#renewalBackoffMs = Math.min(MAX_BACKOFF_MS, delayMs * 2);
    this.#renewAfterMs = performance.now() + delayMs;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #loadList(): Promise<boolean> {
    const { source, kind } = this.#dependencies;
    const result = await source.list(kind, this.cache.revision);
    if (this.#isStopped) return false;
    if (result.isErr()) {
      await this.#handleFailure(result.error);
      return false;
    }
    this.#applyList(result.value);
    return true;
  }

  #applyList(list: Confirmed<StoredList>): void {
    const { value } = list;
    const age = new Stopwatch(list.ageMs);
    const wasUnreachable = this.#isUnreachable;
    this.#recordSuccess();
    // A renewal may have overtaken this list.
    if (value.revision < this.cache.revision) return;
    const origin = buildOrigin(list, wasUnreachable);
    this.#dependencies.objects.setAll(value.objects, origin);
    // Decoding a large configuration takes a while, which counts.
    this.cache.setAll(value, age.elapsedMs);
  }

  async #watchChanges(): Promise<void> {
    const { source, kind } = this.#dependencies;
    while (!this.#isStopped) {
      const result = await source.watch(kind, this.cache.revision);
      if (this.#isStopped) return;
      if (result.isErr()) return await this.#handleFailure(result.error);
      this.#recordSuccess();
      this.#applyChanges(result.value);
    }
  }

  #applyChanges(changes: Confirmed<StoredChanges>): void {
    const { value } = changes;
    const age = new Stopwatch(changes.ageMs);
    // A renewal may have overtaken this response.
    if (value.revision < this.cache.revision) return;
    const origin = buildOrigin(changes, false);
    for (const change of value.changes) {
      if (this.cache.isSuperseded(change)) continue;
      this.#dependencies.objects.applyChange(change, origin);
    }
    this.cache.applyChanges(value, age.elapsedMs);
  }

  #recordSuccess(): void {
    this.#backoffMs = INITIAL_BACKOFF_MS;
    if (!this.#isUnreachable) return;
    this.#isUnreachable = false;
    this.#dependencies.log.write(EVENTS.StoreRegained, {
      kind: this.#dependencies.kind,
    });
  }

  #recordLoss(failure: StoreFailure): void {
    const { log, kind } = this.#dependencies;
    if (this.#isUnreachable) return;
    this.#isUnreachable = true;
    const detail = "detail" in failure ? failure.detail : failure.kind;
    log.write(EVENTS.StoreLost, { kind, detail });
  }

  async #handleFailure(failure: StoreFailure): Promise<void> {
    const { log, kind } = this.#dependencies;
    this.cache.notifyWaiters();
    if (failure.kind === "history_gone") {
      log.write(EVENTS.StoreHistoryGone, { kind });
      return;
    }
    this.#recordLoss(failure);
    const delayMs = this.#backoffMs * (0.5 + Math.random());
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
    await new Promise((resolve) => setTimeout(resolve, delayMs));
  }
}

function buildOrigin(
  { source, ageMs }: Confirmed<unknown>,
  wasUnreachable: boolean,
): WatchOrigin {
  return { source, ageMs: Math.round(ageMs), wasUnreachable };
}
