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
/** How long other gateways are asked first after the store turned this away. */
const AVOID_STORE_MS = 3_000;
/** Gateways asked in place of the store; one that reaches it is among them. */
const MAX_OTHERS = 4;

const NO_NEWS: StoreFailure = {
  kind: "refused",
  detail: "the gateway has no recent news",
};

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
  #avoidStoreUntilMs = Number.NEGATIVE_INFINITY;

  constructor(parts: NewsSourceParts) {
    this.#parts = parts;
  }

  /** Reads all objects of a kind. */
  list(objects: ObjectKind): NewsResult<StoredList> {
    return this.#callInTurn(
      (peer) => this.#listAt(peer, objects),
      () => this.#parts.store.list(objects),
    );
  }

  /** Waits for changes after a revision. */
  watch(
    objects: ObjectKind,
    afterRevision: number,
  ): NewsResult<StoredChanges> {
    return this.#callInTurn(
      (peer) => this.#watchAt(peer, objects, afterRevision),
      () => this.#parts.store.watch(objects, afterRevision),
    );
  }

  /**
   * Asks the gateways that others follow, then the store, and other gateways
   * where the store turns this one away.
   */
  async #callInTurn<T>(
    callPeer: (peer: PeerInfo) => Promise<Result<News<T>, StoreFailure>>,
    callStore: () => NewsResult<T>,
  ): NewsResult<T> {
    const relays = this.#listRelays();
    const found = await this.#callPeers(relays, callPeer);
    if (found !== undefined) return found;
    const isTurnedAway = performance.now() < this.#avoidStoreUntilMs;
    const others = () => this.#callPeers(this.#listOthers(relays), callPeer);
    const early = isTurnedAway ? await others() : undefined;
    if (early !== undefined) return early;
    const answer = await callStore();
    if (answer.isOk() || answer.error.kind === "history_gone") return answer;
    this.#avoidStoreUntilMs = performance.now() + AVOID_STORE_MS;
    return isTurnedAway ? answer : await others() ?? answer;
  }

  /** Asks gateways one after another until one has news of use. */
  async #callPeers<T>(
    peers: readonly PeerInfo[],
    callPeer: (peer: PeerInfo) => Promise<Result<News<T>, StoreFailure>>,
  ): Promise<Result<News<T>, StoreFailure> | undefined> {
    for (const peer of peers) {
      const answer = await callPeer(peer);
      if (answer.isOk() || answer.error.kind === "history_gone") return answer;
    }
    return undefined;
  }

  async #listAt(
    peer: PeerInfo,
    objects: ObjectKind,
  ): NewsResult<StoredList> {
    const startedMs = performance.now();
    const answer = await this.#parts.links.call(peer, {
      kind: "list_objects",
      objects,
    });
    if (answer?.listed === undefined || !this.#isRecent(answer.ageMs)) {
      return err(NO_NEWS);
    }
    const confirmedAtMs = startedMs - (answer.ageMs ?? 0);
    return ok({ value: answer.listed, confirmedAtMs });
  }

  async #watchAt(
    peer: PeerInfo,
    objects: ObjectKind,
    afterRevision: number,
  ): NewsResult<StoredChanges> {
    const answer = await this.#parts.links.call(peer, {
      kind: "watch_objects",
      objects,
      afterRevision,
      waitMs: PEER_WAIT_MS,
      maxAgeMs: this.#parts.maxAgeMs,
    }, PEER_WAIT_MS + PEER_GRACE_MS);
    if (answer?.isHistoryGone) return err({ kind: "history_gone" });
    if (answer?.changes === undefined || !this.#isRecent(answer.ageMs)) {
      return err(NO_NEWS);
    }
    const confirmedAtMs = performance.now() - (answer.ageMs ?? 0);
    return ok({ value: answer.changes, confirmedAtMs });
  }

  /** Lists the gateways to ask before the store, best first. */
  #listRelays(): PeerInfo[] {
    const { directory, selfId } = this.#parts;
    const ranked = directory.chooseRelays();
    const own = ranked.findIndex(({ vmId }) => vmId === selfId);
    return own < 0 ? ranked : ranked.slice(0, own);
  }

  /** Lists gateways to ask when the store turns this one away. */
  #listOthers(asked: readonly PeerInfo[]): PeerInfo[] {
    const { directory, selfId } = this.#parts;
    return directory.sortRelays()
      .filter(({ vmId }) =>
        vmId !== selfId && !asked.some((each) => each.vmId === vmId)
      )
      .slice(0, MAX_OTHERS);
  }

  #isRecent(ageMs: number | undefined): boolean {
    return ageMs !== undefined && ageMs <= this.#parts.maxAgeMs;
  }
}
