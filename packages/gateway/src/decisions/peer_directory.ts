/**
 * The other gateways and which of them are the homes of a program's account.
 *
 * A gateway that failed to answer is passed over until it's heard of again.
 * Every gateway of a region ranks the homes of a program alike, so that the
 * turns of the program are mostly counted at one place.
 */
import { computeHash } from "@camphorlock/scheduler/hash";

/** Homes that are asked for a turn, one after another. */
const HOME_COUNT = 2;
/** Gateways of a region that others may follow instead of the store. */
const RELAY_COUNT = 2;

/** One gateway process. */
export interface PeerInfo {
  readonly vmId: string;
  readonly host: string;
  readonly port: number;
  readonly region: string;
  /** Differs from start to start of the process. */
  readonly bootId: string;
  readonly isLeaving: boolean;
}

/** How news of a peer changed the view. */
export type PeerChange =
  | "none"
  | "added"
  | "restarted"
  | "returned"
  | "leaving";

interface KnownPeer {
  info: PeerInfo;
  isSuspected: boolean;
  /** When it was found not to answer. */
  suspectedAtMs: number;
}

/** The known gateways. */
export class PeerDirectory {
  readonly #self: PeerInfo;
  readonly #byVm = new Map<string, KnownPeer>();
  #isLeaving = false;

  constructor(self: PeerInfo) {
    this.#self = self;
  }

  /** Records news of a gateway that came from itself. */
  set(info: PeerInfo): PeerChange {
    if (info.vmId === this.#self.vmId) return "none";
    const known = this.#byVm.get(info.vmId);
    this.#byVm.set(info.vmId, { info, isSuspected: false, suspectedAtMs: 0 });
    if (known === undefined) return "added";
    if (known.info.bootId !== info.bootId) return "restarted";
    if (known.isSuspected) return "returned";
    return info.isLeaving && !known.info.isLeaving ? "leaving" : "none";
  }

  /** Adds a gateway that others name; false if it was known. */
  add(info: PeerInfo): boolean {
    if (info.vmId === this.#self.vmId || this.#byVm.has(info.vmId)) {
      return false;
    }
    this.#byVm.set(info.vmId, { info, isSuspected: false, suspectedAtMs: 0 });
    return true;
  }

  /** Records that a gateway didn't answer; false if that was known. */
  recordSilent(vmId: string, nowMs = performance.now()): boolean {
    const known = this.#byVm.get(vmId);
    if (known === undefined || known.isSuspected) return false;
    known.isSuspected = true;
    known.suspectedAtMs = nowMs;
    return true;
  }

  /** Records that this gateway leaves; others take its part. */
  setLeaving(): void {
    this.#isLeaving = true;
  }

  /** Whether a process ended, as far as its VM's last news or silence tell. */
  hasEnded(
    { vmId, bootId }: Pick<PeerInfo, "vmId" | "bootId">,
    silentSinceMs: number,
  ): boolean {
    if (vmId === this.#self.vmId) return bootId !== this.#self.bootId;
    const known = this.#byVm.get(vmId);
    if (known === undefined) return false;
    if (known.info.bootId !== bootId) return true;
    return known.isSuspected && known.suspectedAtMs < silentSinceMs;
  }

  find(vmId: string): PeerInfo | undefined {
    return this.#byVm.get(vmId)?.info;
  }

  /** Finds a gateway that answers. */
  findLive(vmId: string): PeerInfo | undefined {
    const known = this.#byVm.get(vmId);
    return known === undefined || known.isSuspected ? undefined : known.info;
  }

  /** Number of other gateways known. */
  get size(): number {
    return this.#byVm.size;
  }

  /** Lists every other gateway. */
  list(): PeerInfo[] {
    return [...this.#byVm.values()].map(({ info }) => info);
  }

  /** Lists the other gateways that didn't answer lately. */
  listSuspected(): PeerInfo[] {
    return [...this.#byVm.values()]
      .filter(({ isSuspected }) => isSuspected)
      .map(({ info }) => info);
  }

  /** Lists a region's other gateways that answer. */
  listLive(region: string): PeerInfo[] {
    return [...this.#byVm.values()]
      .filter(({ info, isSuspected }) => info.region === region && !isSuspected)
      .map(({ info }) => info);
  }

  /** Chooses the region's gateways that others follow, best first. */
  chooseRelays(): PeerInfo[] {
    return this.sortRelays().slice(0, RELAY_COUNT);
  }

  /** Sorts the region's gateways in the order in which others follow them. */
  sortRelays(): PeerInfo[] {
    return this.#sortLive("relay");
  }

  /** Chooses the homes of a program in this gateway's region, best first. */
  chooseHomes(programId: string): PeerInfo[] {
    return this.#sortLive(programId).slice(0, HOME_COUNT);
  }

  /** Lists all gateways that answer and stay, this one among them. */
  listStaying(): PeerInfo[] {
    const live = [...this.#byVm.values()]
      .filter(({ info, isSuspected }) => !isSuspected && !info.isLeaving)
      .map(({ info }) => info);
    return this.#isLeaving ? live : [...live, this.#self];
  }

  /** Whether this gateway comes first by rank among all that stay. */
  isFirst(key: string): boolean {
    return sortByRank(key, this.listStaying())[0]?.vmId === this.#self.vmId;
  }

  #sortLive(key: string): PeerInfo[] {
    return sortByRank(key, this.#listHomeCandidates());
  }

  #listHomeCandidates(): PeerInfo[] {
    const live = this.listLive(this.#self.region)
      .filter(({ isLeaving }) => !isLeaving);
    // One that leaves is a home only where nobody else is.
    return this.#isLeaving && live.length > 0 ? live : [...live, this.#self];
  }
}

function sortByRank(key: string, peers: readonly PeerInfo[]): PeerInfo[] {
  return peers
    .map((peer) => ({ peer, rank: computeHash(`${peer.vmId}|${key}`) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ peer }) => peer);
}
