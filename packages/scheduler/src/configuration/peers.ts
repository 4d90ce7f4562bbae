/**
 * What the configuration role knows of the other nodes: which exist, which
 * revision each has reported and when it was heard.
 */
import type {
  MembershipView,
  NodeState,
  Region,
  Revision,
  VmId,
} from "@camphorlock/types";
import { chooseRanked } from "./rank.ts";

/** Nodes of each region that watch the platform. */
export const WATCHERS_PER_REGION = 2;

/** Peers of the own region that a new revision is pushed to. */
const PUSHES_IN_REGION = 3;

/** Peers of other regions that a new revision is pushed to. */
const PUSHES_ELSEWHERE = 1;

interface Peer {
  readonly vmId: VmId;
  region: Region;
  state: NodeState;
  revision: Revision;
  heardAtMs: number | undefined;
}

/** The other nodes, as heartbeats and the membership tell of them. */
export class ConfigurationPeers {
  readonly #peers = new Map<VmId, Peer>();
  readonly #self: VmId;
  readonly #region: Region;
  #isKnown = false;

  constructor(self: VmId, region: Region) {
    this.#self = self;
    this.#region = region;
  }

  /** How many other nodes there are, dead ones included. */
  get count(): number {
    return this.#peers.size;
  }

  /** Takes the nodes that the membership knows. */
  update(view: MembershipView): void {
    this.#isKnown = true;
    const present = new Set<VmId>();
    for (const { spec, state, revision } of view.nodes) {
      if (spec.vmId === this.#self) continue;
      present.add(spec.vmId);
      const peer = this.#getPeer(spec.vmId);
      peer.region = spec.region;
      peer.state = state;
      peer.revision = Math.max(peer.revision, revision);
    }
    for (const vmId of this.#peers.keys()) {
      if (!present.has(vmId)) this.#peers.delete(vmId);
    }
  }

  /** Notes that a node was heard from, at a revision. */
  record(
    vmId: VmId,
    report: { readonly revision: Revision; readonly nowMs: number },
  ): void {
    if (vmId === this.#self) return;
    const peer = this.#getPeer(vmId);
    peer.revision = Math.max(peer.revision, report.revision);
    peer.heardAtMs = report.nowMs;
  }

  /** The highest revision that any node has reported. */
  getHighestRevision(): Revision {
    let highest: Revision = 0;
    for (const peer of this.#peers.values()) {
      highest = Math.max(highest, peer.revision);
    }
    return highest;
  }

  /**
   * Whether more than half of all nodes, this one included, were heard.
   *
   * Never before the membership has told which nodes there are.
   */
  hasMost(sinceMs: number): boolean {
    if (!this.#isKnown) return false;
    let heard = 1;
    for (const { heardAtMs } of this.#peers.values()) {
      if (heardAtMs !== undefined && heardAtMs >= sinceMs) heard += 1;
    }
    return heard * 2 > this.#peers.size + 1;
  }

  /** Whether this node is one of those that watch for its region. */
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
  choosePushed(revision: Revision): readonly VmId[] {
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
        count: PUSHES_ELSEWHERE,
      }),
    ];
  }

  /** Chooses a peer that has more than a revision, another at each try. */
  findAhead(revision: Revision, tries: number): VmId | undefined {
    const ahead = this.#listAlive().filter((peer) => peer.revision > revision);
    const near = ahead.filter((peer) => peer.region === this.#region);
    const candidates = near.length > 0 && tries % 2 === 0 ? near : ahead;
    return chooseRanked(candidates.map(({ vmId }) => vmId), {
      purpose: `${this.#self}/${revision}/${tries}`,
      count: 1,
    })[0];
  }

  /** Splits the nodes that aren't dead by whether they have a revision. */
  splitByRevision(
    revision: Revision,
  ): { readonly reached: readonly VmId[]; readonly missing: readonly VmId[] } {
    const reached: VmId[] = [this.#self];
    const missing: VmId[] = [];
    for (const peer of this.#peers.values()) {
      if (peer.state === "dead") continue;
      (peer.revision >= revision ? reached : missing).push(peer.vmId);
    }
    return { reached, missing };
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
      heardAtMs: undefined,
    };
    this.#peers.set(vmId, peer);
    return peer;
  }
}
