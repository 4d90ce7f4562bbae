/**
 * Follows one kind of objects of the store: reads the whole list, then waits
 * for changes, and starts over with the list when changes may be missing.
 *
 * A watch waits only for a short time, so that a connection that went silent
 * is noticed before changes that it hides are overdue.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { GatewayLog } from "../log.ts";
import type {
  ObjectKind,
  StoredChange,
  StoredObject,
  StoreFailure,
} from "../ports.ts";
import type { ObjectSource } from "./news_source.ts";
import { ObjectCache } from "./object_cache.ts";

const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;

/** Receives what is followed. */
export interface FollowedObjects {
  /** Everything there is. `wasLost` tells that the store was out of reach. */
  setAll(objects: readonly StoredObject[], wasLost: boolean): void;
  applyChange(change: StoredChange): void;
}

/** What a follower works with. */
export interface FollowerParts {
  readonly source: ObjectSource;
  readonly log: GatewayLog;
  readonly kind: ObjectKind;
  readonly objects: FollowedObjects;
}

/** Follows one kind of objects. */
export class Follower {
  /** What is followed, for others to follow it here. */
  readonly cache = new ObjectCache();
  readonly #parts: FollowerParts;
  #isStopped = false;
  #isLost = false;
  #pauseMs = FIRST_PAUSE_MS;

  constructor(parts: FollowerParts) {
    this.#parts = parts;
  }

  /** Time since the store last confirmed what is known. */
  countAgeMs(nowMs: number): number {
    return this.cache.countAgeMs(nowMs);
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const revision = await this.#readList();
      if (revision !== undefined) await this.#watchFrom(revision);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #readList(): Promise<number | undefined> {
    const { source, kind, objects } = this.#parts;
    const listed = await source.list(kind);
    if (this.#isStopped) return undefined;
    if (listed.isErr()) {
      await this.#handleFailure(listed.error);
      return undefined;
    }
    const wasLost = this.#isLost;
    this.#recordContact();
    const { value, confirmedAtMs } = listed.value;
    objects.setAll(value.objects, wasLost);
    this.cache.setAll(value, confirmedAtMs);
    return value.revision;
  }

  async #watchFrom(first: number): Promise<void> {
    const { source, kind, objects } = this.#parts;
    let afterRevision = first;
    while (!this.#isStopped) {
      const watched = await source.watch(kind, afterRevision);
      if (this.#isStopped) return;
      if (watched.isErr()) return await this.#handleFailure(watched.error);
      this.#recordContact();
      const { value, confirmedAtMs } = watched.value;
      for (const change of value.changes) objects.applyChange(change);
      this.cache.applyChanges(value, confirmedAtMs);
      afterRevision = value.revision;
    }
  }

  #recordContact(): void {
    this.#pauseMs = FIRST_PAUSE_MS;
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#parts.log.write(EVENTS.StoreRegained, { kind: this.#parts.kind });
  }

  async #handleFailure(failure: StoreFailure): Promise<void> {
    const { log, kind } = this.#parts;
    this.cache.endWaits();
    if (failure.kind === "history_gone") {
      log.write(EVENTS.StoreHistoryGone, { kind });
      return;
    }
    if (!this.#isLost) {
      this.#isLost = true;
      const detail = "detail" in failure ? failure.detail : failure.kind;
      log.write(EVENTS.StoreLost, { kind, detail });
    }
    const pauseMs = this.#pauseMs * (0.5 + Math.random());
    this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
}
