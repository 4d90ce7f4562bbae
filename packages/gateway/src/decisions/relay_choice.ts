/**
 * Chooses the gateway through which a target is reached.
 *
 * The load: of 430 gateways most are cut off from all targets at the same
 * moment, and each of them needs one that isn't. Nobody knows which ones these
 * are, and the few must not all be asked at once for everything. A gateway that
 * refuses is left alone for a while, and names those that work for it. Among
 * those that have worked, the one that relays the least is taken, and now and then
 * one that isn't known yet; gateways of the region go first, in an order of this
 * gateway's own.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import { BoundedMap } from "../model/bounded_map.ts";
import type { PeerInfo } from "./peer_directory.ts";

/** How long a gateway that refused or didn't respond isn't asked. */
const AVOID_MS = 1_000;
/** How long a gateway counts as one that works. */
const PROVEN_MS = 5_000;
/** Gateways that should be known to work before no others are tried. */
const WANTED_PROVEN = 3;
/** While there are fewer, each so many-th connection tries another one. */
const EXPLORE_EACH = 4;
/** The same once there are enough, so that the load spreads. */
const SPREAD_EACH = 8;
/** Gateways that are named to others. */
const MAX_HINTS = 3;
const MAX_TRACKED = 1_024;

interface TrackedRelay {
  /** Connections that it relayed when it last opened one, and since. */
  load: number;
  provenAtMs: number;
  avoidedUntilMs: number;
}

/** What one gateway knows of the others as relays. */
export class RelayChoice {
  readonly #self: Pick<PeerInfo, "vmId" | "region">;
  readonly #relays = new BoundedMap<string, TrackedRelay>(MAX_TRACKED);
  #choices = 0;

  constructor(self: Pick<PeerInfo, "vmId" | "region">) {
    this.#self = self;
  }

  /** Records that a gateway opened a connection, and how many it relays. */
  recordOpened(vmId: string, nowMs: number, load: number): void {
    const relay = this.#get(vmId);
    relay.load = load;
    relay.provenAtMs = nowMs;
    relay.avoidedUntilMs = 0;
  }

  recordClosed(vmId: string): void {
    const relay = this.#get(vmId);
    relay.load = Math.max(0, relay.load - 1);
  }

  /** Records that a gateway can't relay, and which ones work for it. */
  recordRefused(
    vmId: string,
    nowMs: number,
    hints: readonly string[] = [],
  ): void {
    const relay = this.#get(vmId);
    relay.provenAtMs = Number.NEGATIVE_INFINITY;
    relay.avoidedUntilMs = nowMs + AVOID_MS;
    for (const hint of hints.slice(0, MAX_HINTS)) {
      const hinted = this.#get(hint);
      if (hinted.avoidedUntilMs > nowMs) continue;
      hinted.provenAtMs = Math.max(hinted.provenAtMs, nowMs - PROVEN_MS / 2);
    }
  }

  /** Lists some gateways that have worked lately, to name them to others. */
  listHints(nowMs: number): string[] {
    return this.listProven(nowMs).slice(0, MAX_HINTS);
  }

  /** Lists the gateways that have worked lately. */
  listProven(nowMs: number): string[] {
    return this.#relays.list()
      .filter(([, relay]) => isProven(relay, nowMs))
      .map(([vmId]) => vmId);
  }

  /** Chooses among gateways; undefined if none should be asked now. */
  choose(
    candidates: readonly PeerInfo[],
    tried: ReadonlySet<string>,
    nowMs: number,
  ): PeerInfo | undefined {
    this.#choices += 1;
    const usable = candidates.filter(({ vmId }) =>
      vmId !== this.#self.vmId && !tried.has(vmId) &&
      (this.#relays.get(vmId)?.avoidedUntilMs ?? 0) <= nowMs
    );
    const proven = usable.filter(({ vmId }) => {
      const relay = this.#relays.get(vmId);
      return relay !== undefined && isProven(relay, nowMs);
    });
    const unknown = usable.filter((each) => !proven.includes(each));
    const each = proven.length < WANTED_PROVEN ? EXPLORE_EACH : SPREAD_EACH;
    const explores = this.#choices % each === 0;
    const preferred = proven.length === 0 || (explores && unknown.length > 0)
      ? unknown
      : proven;
    return this.#chooseBest(preferred);
  }

  #chooseBest(peers: readonly PeerInfo[]): PeerInfo | undefined {
    let best: { readonly peer: PeerInfo; readonly rank: number } | undefined;
    for (const peer of peers) {
      const rank = this.#computeRank(peer);
      if (best === undefined || rank < best.rank) best = { peer, rank };
    }
    return best?.peer;
  }

  /** Lower is better: near, little loaded, in an order of one's own. */
  #computeRank({ vmId, region }: PeerInfo): number {
    const distance = region === this.#self.region ? 0 : 1_000_000;
    const load = this.#relays.get(vmId)?.load ?? 0;
    const order = computeHash(`${this.#self.vmId}|${vmId}`) / 2 ** 32;
    return distance + load + order;
  }

  #get(vmId: string): TrackedRelay {
    const known = this.#relays.get(vmId);
    if (known !== undefined) return known;
    const relay: TrackedRelay = {
      load: 0,
      provenAtMs: Number.NEGATIVE_INFINITY,
      avoidedUntilMs: 0,
    };
    this.#relays.set(vmId, relay);
    return relay;
  }
}

function isProven(relay: TrackedRelay, nowMs: number): boolean {
  return nowMs - relay.provenAtMs < PROVEN_MS && relay.avoidedUntilMs <= nowMs;
}
