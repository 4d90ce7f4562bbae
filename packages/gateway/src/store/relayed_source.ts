/**
 * Sources from which a gateway watches objects: the store itself, or another
 * gateway of its region (a relay) that watches them at the store.
 *
 * The store counts a waiting call like any other, so only the first gateway of
 * a region watches there. The others form a tree below it: each watches the one
 * above while that one's copy is recent, and calls the next one above or the
 * store when it isn't. The link of one gateway thus carries a changed object
 * only a few times, however many gateways the region has.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { err, ok, type Result } from "neverthrow";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { PeerResponse } from "../peers/peer_messages.ts";
import type {
  ObjectKind,
  StoredChanges,
  StoredList,
  StoreFailure,
} from "../ports.ts";
import {
  type Confirmed,
  type ObjectSource,
  type SourceResult,
  STORE,
} from "./object_source.ts";
import { Stopwatch } from "./stopwatch.ts";

/** How long another gateway's list may take to begin. */
const PEER_LIST_TIMEOUT_MS = 500;
/** Time beyond the wait after which a call to another gateway times out. */
const PEER_GRACE_MS = 200;
/** How long other gateways are called first after a call to the store failed. */
const AVOID_STORE_MS = 3_000;
/** Gateways called in place of the store; one of them should reach it. */
const MAX_FALLBACK_PEERS = 4;
/** The store isn't called twice for one kind within this time. */
const MIN_RENEWAL_PAUSE_MS = 400;

const UNRESPONSIVE: StoreFailure = {
  kind: "uncertain",
  detail: "the gateway didn't respond in time",
};
const NO_RECENT_COPY: StoreFailure = {
  kind: "refused",
  detail: "the gateway has no recent copy of the objects",
};

/** The dependencies of a relayed source. */
export interface RelayedSourceDependencies {
  readonly store: ObjectSource;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly selfId: string;
  /** How long another gateway holds a watch open when nothing changes. */
  readonly getPeerWaitMs: (objects: ObjectKind) => number;
  /** Maximum age at which another gateway's copy of a kind is used. */
  readonly getMaxAgeMs: (objects: ObjectKind) => number;
  /** Whether the age of a kind has to be an upper bound. */
  readonly needsAgeBound: (objects: ObjectKind) => boolean;
}

/** Reads and watches objects at relays, at the store, or at other gateways. */
export class RelayedSource implements ObjectSource {
  readonly #dependencies: RelayedSourceDependencies;
  readonly #storeCalledAtMs = new Map<ObjectKind, number>();
  #avoidStoreUntilMs = Number.NEGATIVE_INFINITY;

  constructor(dependencies: RelayedSourceDependencies) {
    this.#dependencies = dependencies;
  }

  /** Reads the list at the store; undefined if it was called a moment ago. */
  async renew(
    objects: ObjectKind,
  ): Promise<Awaited<SourceResult<StoredList>> | undefined> {
    const calledAtMs = this.#storeCalledAtMs.get(objects);
    const nowMs = performance.now();
    if (calledAtMs !== undefined && nowMs - calledAtMs < MIN_RENEWAL_PAUSE_MS) {
      return undefined;
    }
    const result = await this.#callStore(
      objects,
      () => this.#dependencies.store.list(objects, 0),
    );
    if (result.isErr()) this.#logSkipped(objects, STORE, result.error, nowMs);
    return result;
  }

  /** Reads all objects of a kind. */
  list(objects: ObjectKind, minRevision: number): SourceResult<StoredList> {
    return this.#callWithFallback(
      objects,
      (peer) => this.#listAt(peer, objects, minRevision),
      () => this.#dependencies.store.list(objects, minRevision),
    );
  }

  /** Waits for changes after a revision. */
  watch(
    objects: ObjectKind,
    afterRevision: number,
  ): SourceResult<StoredChanges> {
    return this.#callWithFallback(
      objects,
      (peer) => this.#watchAt(peer, objects, afterRevision),
      () => this.#dependencies.store.watch(objects, afterRevision),
    );
  }

  /**
   * Calls the relays above this gateway, then the store. If the store
   * fails, calls other gateways; for a while after a failure they come first.
   */
  async #callWithFallback<T>(
    objects: ObjectKind,
    callPeer: (peer: PeerInfo) => Promise<Result<Confirmed<T>, StoreFailure>>,
    callStore: () => SourceResult<T>,
  ): SourceResult<T> {
    const relays = this.#dependencies.directory.chooseRelays();
    const relayResult = await this.#callPeers(objects, relays, callPeer);
    if (relayResult !== undefined) return relayResult;
    const isAvoidingStore = performance.now() < this.#avoidStoreUntilMs;
    const callOthers = () =>
      this.#callPeers(objects, this.#listFallbackPeers(relays), callPeer);
    const otherResult = isAvoidingStore ? await callOthers() : undefined;
    if (otherResult !== undefined) return otherResult;
    const startedAtMs = performance.now();
    const result = await this.#callStore(objects, callStore);
    if (result.isErr()) {
      this.#logSkipped(objects, STORE, result.error, startedAtMs);
    }
    if (result.isOk() || result.error.kind === "history_gone") return result;
    this.#avoidStoreUntilMs = performance.now() + AVOID_STORE_MS;
    return isAvoidingStore ? result : await callOthers() ?? result;
  }

  #callStore<T>(
    objects: ObjectKind,
    callStore: () => SourceResult<T>,
  ): SourceResult<T> {
    this.#storeCalledAtMs.set(objects, performance.now());
    return callStore();
  }

  /** Calls gateways in order until one has a recent copy. */
  async #callPeers<T>(
    objects: ObjectKind,
    peers: readonly PeerInfo[],
    callPeer: (peer: PeerInfo) => Promise<Result<Confirmed<T>, StoreFailure>>,
  ): Promise<Result<Confirmed<T>, StoreFailure> | undefined> {
    for (const peer of peers) {
      const startedAtMs = performance.now();
      const result = await callPeer(peer);
      if (result.isErr()) {
        this.#logSkipped(objects, peer.vmId, result.error, startedAtMs);
      }
      if (result.isOk() || result.error.kind === "history_gone") return result;
    }
    return undefined;
  }

  async #listAt(
    peer: PeerInfo,
    objects: ObjectKind,
    minRevision: number,
  ): SourceResult<StoredList> {
    const call = new Stopwatch();
    const response = await this.#dependencies.links.call(peer, {
      kind: "list_objects",
      objects,
    }, PEER_LIST_TIMEOUT_MS);
    if (response === undefined) return err(UNRESPONSIVE);
    const { listed: value } = response;
    const ageMs = call.elapsedMs +
      (response.ageMs ?? Number.POSITIVE_INFINITY);
    const isUsable = value !== undefined && value.revision >= minRevision &&
      this.#isRecent(objects, response.ageMs);
    return isUsable
      ? ok(this.#buildConfirmed(value, { objects, peer, response, ageMs }))
      : err(NO_RECENT_COPY);
  }

  async #watchAt(
    peer: PeerInfo,
    objects: ObjectKind,
    afterRevision: number,
  ): SourceResult<StoredChanges> {
    const { links, getPeerWaitMs, getMaxAgeMs } = this.#dependencies;
    const call = new Stopwatch();
    const waitMs = getPeerWaitMs(objects);
    const response = await links.call(peer, {
      kind: "watch_objects",
      objects,
      afterRevision,
      waitMs,
      maxAgeMs: getMaxAgeMs(objects),
    }, waitMs + PEER_GRACE_MS);
    if (response === undefined) return err(UNRESPONSIVE);
    if (response.isHistoryGone) return err({ kind: "history_gone" });
    const { changes: value, heldMs = 0 } = response;
    const transitMs = Math.max(0, call.elapsedMs - heldMs);
    const ageMs = transitMs + (response.ageMs ?? Number.POSITIVE_INFINITY);
    // Changes are news, however old the copy is.
    const isUsable = value !== undefined &&
      (value.changes.length > 0 || this.#isRecent(objects, ageMs));
    return isUsable
      ? ok(this.#buildConfirmed(value, { objects, peer, response, ageMs }))
      : err(NO_RECENT_COPY);
  }

  /** An older build's copy is used, but says nothing of its own age. */
  #buildConfirmed<T>(
    value: T,
    { objects, peer, response, ageMs }: {
      readonly objects: ObjectKind;
      readonly peer: PeerInfo;
      readonly response: PeerResponse;
      readonly ageMs: number;
    },
  ): Confirmed<T> {
    const isTrusted = response.isAgeBound === true ||
      !this.#dependencies.needsAgeBound(objects);
    return {
      value,
      ageMs: isTrusted ? ageMs : Number.POSITIVE_INFINITY,
      source: peer.vmId,
    };
  }

  /** Lists the gateways to call when the store fails. */
  #listFallbackPeers(alreadyCalled: readonly PeerInfo[]): PeerInfo[] {
    const { directory, selfId } = this.#dependencies;
    return directory.sortRelays()
      .filter(({ vmId }) =>
        vmId !== selfId && !alreadyCalled.some((each) => each.vmId === vmId)
      )
      .slice(0, MAX_FALLBACK_PEERS);
  }

  #logSkipped(
    objects: ObjectKind,
    source: string,
    failure: StoreFailure,
    startedAtMs: number,
  ): void {
    const { log, metrics } = this.#dependencies;
    metrics.add("sources_skipped");
    log.write(EVENTS.SourceSkipped, {
      kind: objects,
      source,
      outcome: failure.kind,
      detail: "detail" in failure ? failure.detail : failure.kind,
      elapsed_ms: Math.round(performance.now() - startedAtMs),
    });
  }

  #isRecent(objects: ObjectKind, ageMs = Number.POSITIVE_INFINITY): boolean {
    return ageMs <= this.#dependencies.getMaxAgeMs(objects);
  }
}
