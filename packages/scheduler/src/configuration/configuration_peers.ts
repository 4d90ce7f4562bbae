/**
 * The other nodes as the configuration role observes them: the revision that
 * each one reported, and the time of its last message.
 */
import type { NodeState, Region, Revision, VmId } from "@camphorlock/types";
import type { ConfigurationInput } from "./inputs.ts";
import { chooseRanked } from "./rank.ts";

/** Number of nodes in each region that watch the platform. */
export const WATCHERS_PER_REGION = 2;

/** Number of peers in this region that a new revision is pushed to. */
const PUSHES_IN_REGION = 3;

/** Number of peers in other regions that a new revision is pushed to. */
const PUSHES_TO_OTHER_REGIONS = 1;

/**
 * Reachable nodes that suffice in place of a majority, for fleets too large to
 * receive a message from most nodes in time.
 */
const MIN_REACHABLE_SAMPLE = 32;

interface Peer {
  readonly vmId: VmId;
  region: Region;
  state: NodeState;
  revision: Revision;
  lastSeenAtMs: number | undefined;
}

/** The nodes, grouped by whether they have reported a revision. */
export interface RevisionPropagation {
  readonly reached: readonly VmId[];
  readonly missing: readonly VmId[];
  readonly presumedDead: readonly VmId[];
}

type MembersInput = Extract<ConfigurationInput, { readonly kind: "members" }>;

/** The other nodes, as heartbeats and the membership report them. */
export class ConfigurationPeers {
  readonly #peers = new Map<VmId, Peer>();
  readonly #self: VmId;
  readonly #region: Region;
  #highestRevision: Revision = 0;
  #hasMembership = false;
  /** Number of listed VMs that are missing from the membership view. */
  #undiscovered = 0;
  #isCutOff = false;

  constructor(self: VmId, region: Region) {
    this.#self = self;
    this.#region = region;
  }

  /** The highest revision that any node has reported. */
  get highestRevision(): Revision {
    return this.#highestRevision;
  }

  /** The number of other nodes, including dead ones. */
  get count(): number {
    return this.#peers.size;
  }

  /** Updates the peers from the membership view and the list of VMs. */
  update(members: MembersInput): void {
    const { view, isCutOff, listed = [] } = members;
    this.#hasMembership = true;
    this.#isCutOff = isCutOff;
    const present = new Set<VmId>();
    for (const { spec, state, revision } of view.nodes) {
      if (spec.vmId === this.#self) continue;
      present.add(spec.vmId);
      const peer = this.#getPeer(spec.vmId);
      peer.region = spec.region;
      peer.state = state;
      this.#setRevision(peer, revision);
    }
    for (const vmId of this.#peers.keys()) {
      if (!present.has(vmId)) this.#peers.delete(vmId);
    }
    this.#undiscovered = listed.filter((vmId) => {
      return vmId !== this.#self && !present.has(vmId);
    }).length;
  }

  /** Records the revision of a message from a node, and its time. */
  record(
    vmId: VmId,
    report: { readonly revision: Revision; readonly nowMs: number },
  ): void {
    if (vmId === this.#self) return;
    const peer = this.#getPeer(vmId);
    this.#setRevision(peer, report.revision);
    peer.lastSeenAtMs = report.nowMs;
  }

  /**
   * Whether enough nodes sent a message since a time: more than half of all,
   * this one included, or a large sample while the membership doesn't consider
   * this node cut off.
   *
   * Always false before the first membership view.
   */
  isMajorityReachable(sinceMs: number): boolean {
    if (!this.#hasMembership) return false;
    let reachable = 1;
    for (const { lastSeenAtMs } of this.#peers.values()) {
      if (lastSeenAtMs !== undefined && lastSeenAtMs >= sinceMs) reachable += 1;
    }
    if (reachable * 2 > this.#peers.size + this.#undiscovered + 1) return true;
    return !this.#isCutOff && reachable >= MIN_REACHABLE_SAMPLE;
  }

  /** Whether this node is one of its region's watchers. */
  isWatcher(): boolean {
    const inRegion = this.#listAlive().filter((peer) => {
      return peer.region === this.#region;
    });
    const vmIds = [this.#self, ...inRegion.map((peer) => peer.vmId)];
    const watchers = chooseRanked(vmIds, {
      purpose: "watch",
      count: WATCHERS_PER_REGION,
    });
    return watchers.includes(this.#self);
  }

  /** Chooses the peers that a new revision is pushed to. */
  choosePushReceivers(revision: Revision): readonly VmId[] {
    const behind = this.#listAlive().filter((peer) => {
      return peer.revision < revision;
    });
    const near = behind.filter((peer) => peer.region === this.#region);
    const far = behind.filter((peer) => peer.region !== this.#region);
    const purpose = `${this.#self}/${revision}`;
    return [
      ...chooseRanked(near.map(({ vmId }) => vmId), {
        purpose,
        count: PUSHES_IN_REGION,
      }),
      ...chooseRanked(far.map(({ vmId }) => vmId), {
        purpose,
        count: PUSHES_TO_OTHER_REGIONS,
      }),
    ];
  }

  /** Chooses a peer that is ahead of a revision, ranked anew per attempt. */
  findPeerAhead(revision: Revision, attempts: number): VmId | undefined {
    const ahead = this.#listAlive().filter((peer) => peer.revision > revision);
    const near = ahead.filter((peer) => peer.region === this.#region);
    const candidates = near.length > 0 && attempts % 2 === 0 ? near : ahead;
    return chooseRanked(candidates.map(({ vmId }) => vmId), {
      purpose: `${this.#self}/${revision}/${attempts}`,
      count: 1,
    })[0];
  }

  /** Groups the nodes by whether they have reported a revision. */
  splitByRevision(revision: Revision): RevisionPropagation {
    const reached: VmId[] = [this.#self];
    const missing: VmId[] = [];
    const presumedDead: VmId[] = [];
    for (const peer of this.#peers.values()) {
      if (peer.revision >= revision) reached.push(peer.vmId);
      else if (peer.state === "dead") presumedDead.push(peer.vmId);
      else missing.push(peer.vmId);
    }
    return { reached, missing, presumedDead };
  }

  #setRevision(peer: Peer, revision: Revision): void {
    peer.revision = Math.max(peer.revision, revision);
    this.#highestRevision = Math.max(this.#highestRevision, revision);
  }

  #listAlive(): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) => {
      return peer.state === "alive" || peer.state === "leaving";
    });
  }

  #getPeer(vmId: VmId): Peer {
    const found = this.#peers.get(vmId);
    if (found !== undefined) return found;
    const peer: Peer = {
      vmId,
      region: "",
      state: "alive",
      revision: 0,
      lastSeenAtMs: undefined,
    };
    this.#peers.set(vmId, peer);
    return peer;
  }
}
