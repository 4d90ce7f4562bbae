/**
 * The other gateways and which of them are the homes of a program's account.
 *
 * A gateway that failed to respond is skipped until an update arrives from it.
 * Every gateway of a region ranks the homes of a program in the same order, so
 * that the turns of the program are mostly counted at one home.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import {
  filterReceivers,
  type MessageKind,
} from "../peers/protocol_version.ts";

/** Homes that are called for a turn, one after another. */
const HOME_COUNT = 2;
/** Gateways above it that a gateway may watch instead of the store. */
const RELAY_COUNT = 2;
/** Gateways that watch the same one. */
const RELAY_FAN_OUT = 4;

/** One gateway process. */
export interface PeerInfo {
  readonly vmId: string;
  readonly host: string;
  readonly port: number;
  readonly region: string;
  /** Changes with each start of the process. */
  readonly bootId: string;
  readonly isLeaving: boolean;
  /** Version of the messages that its build knows; absent in version 1. */
  readonly protocol?: number;
}

/** Which gateways may be chosen. */
export interface HomeFilter {
  /** Only gateways whose builds know this kind of message. */
  readonly kind?: MessageKind;
}

/** How an update about a peer changed the directory. */
export type PeerChange =
  | "none"
  | "added"
  | "restarted"
  | "returned"
  | "leaving";

interface TrackedPeer {
  info: PeerInfo;
  isSuspected: boolean;
  /** When the peer first failed to respond. */
  suspectedAtMs: number;
}

/** The other gateways that this one has discovered. */
export class PeerDirectory {
  readonly #self: PeerInfo;
  readonly #byVm = new Map<string, TrackedPeer>();
  #isLeaving = false;
  #revision = 0;

  constructor(self: PeerInfo) {
    this.#self = self;
  }

  /** Changes whenever another choice of homes may result. */
  get revision(): number {
    return this.#revision;
  }

  /** Records an update that a gateway sent about itself. */
  set(info: PeerInfo): PeerChange {
    const change = this.#set(info);
    if (change !== "none") this.#revision += 1;
    return change;
  }

  #set(info: PeerInfo): PeerChange {
    if (info.vmId === this.#self.vmId) return "none";
    const tracked = this.#byVm.get(info.vmId);
    this.#byVm.set(info.vmId, { info, isSuspected: false, suspectedAtMs: 0 });
    if (tracked === undefined) return "added";
    if (tracked.info.bootId !== info.bootId) return "restarted";
    if (tracked.isSuspected) return "returned";
    return info.isLeaving && !tracked.info.isLeaving ? "leaving" : "none";
  }

  /** Adds a gateway that a peer listed; false if it's already present. */
  add(info: PeerInfo): boolean {
    if (info.vmId === this.#self.vmId || this.#byVm.has(info.vmId)) {
      return false;
    }
    this.#byVm.set(info.vmId, { info, isSuspected: false, suspectedAtMs: 0 });
    this.#revision += 1;
    return true;
  }

  /** Records that a gateway didn't respond; false if it's already suspected. */
  recordUnresponsive(vmId: string, nowMs = performance.now()): boolean {
    const tracked = this.#byVm.get(vmId);
    if (tracked === undefined || tracked.isSuspected) return false;
    tracked.isSuspected = true;
    tracked.suspectedAtMs = nowMs;
    this.#revision += 1;
    return true;
  }

  /** Records that this gateway is leaving; others take over its roles. */
  setLeaving(): void {
    this.#isLeaving = true;
    this.#revision += 1;
  }

  /**
   * Whether a process has ended: its VM runs another process, or became
   * suspected before `silentSinceMs`.
   */
  hasEnded(
    { vmId, bootId }: Pick<PeerInfo, "vmId" | "bootId">,
    silentSinceMs: number,
  ): boolean {
    if (vmId === this.#self.vmId) return bootId !== this.#self.bootId;
    const tracked = this.#byVm.get(vmId);
    if (tracked === undefined) return false;
    if (tracked.info.bootId !== bootId) return true;
    return tracked.isSuspected && tracked.suspectedAtMs < silentSinceMs;
  }

  find(vmId: string): PeerInfo | undefined {
    return this.#byVm.get(vmId)?.info;
  }

  /** Finds a gateway that isn't suspected. */
  findLive(vmId: string): PeerInfo | undefined {
    const tracked = this.#byVm.get(vmId);
    return tracked === undefined || tracked.isSuspected
      ? undefined
      : tracked.info;
  }

  /** Number of other gateways. */
  get size(): number {
    return this.#byVm.size;
  }

  /**
   * Counts the gateways of the group, with this one and without those that
   * leave or became suspected before `silentSinceMs`; and those of them that
   * aren't suspected.
   */
  countMembers(
    silentSinceMs: number,
  ): { readonly members: number; readonly reachable: number } {
    let members = 1;
    let reachable = 1;
    for (const { info, isSuspected, suspectedAtMs } of this.#byVm.values()) {
      if (info.isLeaving || (isSuspected && suspectedAtMs < silentSinceMs)) {
        continue;
      }
      members += 1;
      if (!isSuspected) reachable += 1;
    }
    return { members, reachable };
  }

  /** Lists every other gateway. */
  list(): PeerInfo[] {
    return [...this.#byVm.values()].map(({ info }) => info);
  }

  /** Lists the other gateways that are suspected. */
  listSuspected(): PeerInfo[] {
    return [...this.#byVm.values()]
      .filter(({ isSuspected }) => isSuspected)
      .map(({ info }) => info);
  }

  /** Lists a region's other gateways that aren't suspected. */
  listLive(region: string): PeerInfo[] {
    return [...this.#byVm.values()]
      .filter(({ info, isSuspected }) => info.region === region && !isSuspected)
      .map(({ info }) => info);
  }

  /**
   * Chooses the gateways above this one in the region's tree, nearest first.
   * Each is ranked before the one below, so that no two watch each other.
   */
  chooseRelays(): PeerInfo[] {
    const sorted = this.sortRelays();
    let position = sorted.findIndex(({ vmId }) => vmId === this.#self.vmId);
    if (position < 0) return sorted.slice(0, RELAY_COUNT);
    const relays: PeerInfo[] = [];
    while (position > 0 && relays.length < RELAY_COUNT) {
      position = Math.floor((position - 1) / RELAY_FAN_OUT);
      const relay = sorted[position];
      if (relay !== undefined) relays.push(relay);
    }
    return relays;
  }

  /** Finds this gateway's own rank as a relay in its region; 0 is the best. */
  findRelayRank(): number {
    return this.sortRelays().findIndex(({ vmId }) => vmId === this.#self.vmId);
  }

  /** Sorts the region's gateways by their rank as relays, best first. */
  sortRelays(): PeerInfo[] {
    return this.#sortLive("relay");
  }

  /** Chooses the homes of a program in this gateway's region, best first. */
  chooseHomes(programId: string): PeerInfo[] {
    return this.#sortLive(programId).slice(0, HOME_COUNT);
  }

  /**
   * Chooses the gateway that decides for all gateways on one key: one of the
   * given region, or of any region while that one has none.
   */
  chooseHomeIn(
    region: string | undefined,
    key: string,
    filter: HomeFilter = {},
  ): PeerInfo {
    const available = this.listAvailable(filter);
    const near = available.filter((peer) => peer.region === region);
    const [home] = sortByRank(key, near.length > 0 ? near : available);
    return home ?? this.#self;
  }

  /** Sorts the gateways that may decide for all on one key, best first. */
  sortHomes(key: string, filter: HomeFilter = {}): PeerInfo[] {
    return sortByRank(key, this.listAvailable(filter));
  }

  /** Lists all gateways, this one too, that aren't suspected or leaving. */
  listAvailable({ kind }: HomeFilter = {}): PeerInfo[] {
    const live = [...this.#byVm.values()]
      .filter(({ info, isSuspected }) => !isSuspected && !info.isLeaving)
      .map(({ info }) => info);
    return filterReceivers(
      this.#isLeaving ? live : [...live, this.#self],
      kind,
    );
  }

  /** Whether this gateway ranks first among those not suspected or leaving. */
  isTopRanked(key: string): boolean {
    return this.sortHomes(key)[0]?.vmId === this.#self.vmId;
  }

  #sortLive(key: string): PeerInfo[] {
    return sortByRank(key, this.#listCandidates());
  }

  #listCandidates(): PeerInfo[] {
    const live = this.listLive(this.#self.region)
      .filter(({ isLeaving }) => !isLeaving);
    // A leaving gateway is a home only if there's no other.
    return this.#isLeaving && live.length > 0 ? live : [...live, this.#self];
  }
}

/** Computes the rank of a gateway for a key; the highest is the first home. */
export function computeRank(vmId: string, key: string): number {
  return computeHash(`${vmId}|${key}`);
}

function sortByRank(key: string, peers: readonly PeerInfo[]): PeerInfo[] {
  return peers
    .map((peer) => ({ peer, rank: computeRank(peer.vmId, key) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ peer }) => peer);
}
