/**
 * Where a gateway follows objects: at another gateway of its region that
 * follows them at the store, or at the store itself.
 *
 * A waiting call counts at the store like any other, so only the first of a
 * region's gateways follows there. The others follow it while what it knows is
 * recent, and turn to the next one or to the store when it isn't.
 */
import { err, ok, type Result } from "neverthrow";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type {
  ObjectKind,
  ObjectStore,
  StoredChanges,
  StoredList,
  StoreFailure,
} from "../ports.ts";

/** How long another gateway holds the question when nothing changes. */
const PEER_WAIT_MS = 1_000;
/** Time beyond the wait after which another gateway counts as silent. */
const PEER_GRACE_MS = 200;

/** An answer and as of when it was current. */
export interface News<T> {
  readonly value: T;
  readonly confirmedAtMs: number;
}

/** Result of a question. */
export type NewsResult<T> = Promise<Result<News<T>, StoreFailure>>;

/** Where objects are followed. */
export interface ObjectSource {
  list(objects: ObjectKind): NewsResult<StoredList>;
  watch(objects: ObjectKind, afterRevision: number): NewsResult<StoredChanges>;
}

/** Follows objects at the store. */
export class StoreSource implements ObjectSource {
  readonly #store: ObjectStore;
  readonly #waitMs: number;

  /** A watch waits for a change for `waitMs`. */
  constructor(store: ObjectStore, waitMs: number) {
    this.#store = store;
    this.#waitMs = waitMs;
  }

  async list(objects: ObjectKind): NewsResult<StoredList> {
    const startedMs = performance.now();
    return (await this.#store.list(objects))
      .map((value) => ({ value, confirmedAtMs: startedMs }));
  }

  async watch(
    objects: ObjectKind,
    afterRevision: number,
  ): NewsResult<StoredChanges> {
    const startedMs = performance.now();
    const watched = await this.#store
      .watch(objects, { afterRevision, waitMs: this.#waitMs });
    return watched.map((value) => ({
      value,
      // An answer with a change may have been on its way for a while.
      confirmedAtMs: value.changes.length > 0 ? startedMs : performance.now(),
    }));
  }
}

/** What the source works with. */
export interface NewsSourceParts {
  readonly store: ObjectSource;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly selfId: string;
  /** Oldest news of another gateway that is used. */
  readonly maxAgeMs: number;
}

/** The source of one gateway. */
export class NewsSource implements ObjectSource {
  readonly #parts: NewsSourceParts;

  constructor(parts: NewsSourceParts) {
    this.#parts = parts;
  }

  /** Reads all objects of a kind. */
  async list(objects: ObjectKind): NewsResult<StoredList> {
    for (const peer of this.#listRelays()) {
      const startedMs = performance.now();
      const answer = await this.#parts.links.call(peer, {
        kind: "list_objects",
        objects,
      });
      if (answer?.listed === undefined || !this.#isRecent(answer.ageMs)) {
        continue;
      }
      const confirmedAtMs = startedMs - (answer.ageMs ?? 0);
      return ok({ value: answer.listed, confirmedAtMs });
    }
    return await this.#parts.store.list(objects);
  }

  /** Waits for changes after a revision. */
  async watch(
    objects: ObjectKind,
    afterRevision: number,
  ): NewsResult<StoredChanges> {
    for (const peer of this.#listRelays()) {
      const answer = await this.#parts.links.call(peer, {
        kind: "watch_objects",
        objects,
        afterRevision,
        waitMs: PEER_WAIT_MS,
      }, PEER_WAIT_MS + PEER_GRACE_MS);
      if (answer?.isHistoryGone) return err({ kind: "history_gone" });
      if (answer?.changes === undefined || !this.#isRecent(answer.ageMs)) {
        continue;
      }
      const confirmedAtMs = performance.now() - (answer.ageMs ?? 0);
      return ok({ value: answer.changes, confirmedAtMs });
    }
    return await this.#parts.store.watch(objects, afterRevision);
  }

  /** Lists the gateways to ask before the store, best first. */
  #listRelays(): PeerInfo[] {
    const { directory, selfId } = this.#parts;
    const ranked = directory.chooseRelays();
    const own = ranked.findIndex(({ vmId }) => vmId === selfId);
    return own < 0 ? ranked : ranked.slice(0, own);
  }

  #isRecent(ageMs: number | undefined): boolean {
    return ageMs !== undefined && ageMs <= this.#parts.maxAgeMs;
  }
}
