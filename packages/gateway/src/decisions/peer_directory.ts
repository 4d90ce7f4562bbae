/**
 * The other gateways and which of them are the homes of a program's account.
 *
 * A gateway that failed to answer is passed over until it's heard of again.
 * Every gateway of a region ranks the homes of a program alike, so that all
 * turns of the program are counted at the same two places.
 */
import { computeHash } from "@camphorlock/scheduler/hash";

/** Homes of each account; one may be lost. */
export const HOME_COUNT = 2;
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
}

/** The known gateways. */
export class PeerDirectory {
  readonly #self: PeerInfo;
  readonly #byVm = new Map<string, KnownPeer>();

  constructor(self: PeerInfo) {
    this.#self = self;
  }

  /** Records news of a gateway that came from itself. */
  set(info: PeerInfo): PeerChange {
    if (info.vmId === this.#self.vmId) return "none";
    const known = this.#byVm.get(info.vmId);
    this.#byVm.set(info.vmId, { info, isSuspected: false });
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
    this.#byVm.set(info.vmId, { info, isSuspected: false });
    return true;
  }

  /** Records that a gateway didn't answer; false if that was known. */
  recordSilent(vmId: string): boolean {
    const known = this.#byVm.get(vmId);
    if (known === undefined || known.isSuspected) return false;
    known.isSuspected = true;
    return true;
  }

  find(vmId: string): PeerInfo | undefined {
    return this.#byVm.get(vmId)?.info;
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

  /** Chooses the homes as if a gateway were there. */
  chooseHomesWith(programId: string, peer: PeerInfo): PeerInfo[] {
    const others = this.#listHomeCandidates()
      .filter(({ vmId }) => vmId !== peer.vmId);
    return sortByRank(programId, [...others, peer]).slice(0, HOME_COUNT);
  }

  /** Chooses the homes as if a gateway weren't there. */
  chooseHomesWithout(programId: string, vmId: string): PeerInfo[] {
    const others = this.#listHomeCandidates()
      .filter((each) => each.vmId !== vmId);
    return sortByRank(programId, others).slice(0, HOME_COUNT);
  }

  /** Lists the regions of the other gateways but for this one's. */
  listOtherRegions(): string[] {
    const regions = new Set(this.list().map(({ region }) => region));
    regions.delete(this.#self.region);
    return [...regions];
  }

  /** Chooses the homes of a program in another region, best first. */
  chooseDistantHomes(programId: string, region: string): PeerInfo[] {
    const live = this.listLive(region).filter(({ isLeaving }) => !isLeaving);
    return sortByRank(programId, live).slice(0, HOME_COUNT);
  }

  #sortLive(key: string): PeerInfo[] {
    return sortByRank(key, this.#listHomeCandidates());
  }

  #listHomeCandidates(): PeerInfo[] {
    const live = this.listLive(this.#self.region)
      .filter(({ isLeaving }) => !isLeaving);
    return [...live, this.#self];
  }
}

function sortByRank(key: string, peers: readonly PeerInfo[]): PeerInfo[] {
  return peers
    .map((peer) => ({ peer, rank: computeHash(`${peer.vmId}|${key}`) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ peer }) => peer);
}
