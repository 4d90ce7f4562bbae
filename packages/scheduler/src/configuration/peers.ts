/**
 * What the configuration role knows of the other nodes: which exist, which
 * revision each has reported and when it was heard.
 */
import type { NodeState, Region, Revision, VmId } from "@camphorlock/types";
import type { ConfigurationInput } from "./inputs.ts";
import { chooseRanked } from "./rank.ts";

/** Nodes of each region that watch the platform. */
export const WATCHERS_PER_REGION = 2;

/** Peers of the own region that a new revision is pushed to. */
const PUSHES_IN_REGION = 3;

/** Peers of other regions that a new revision is pushed to. */
const PUSHES_ELSEWHERE = 1;

/** Nodes that stand for the others where most can't be heard in time. */
const HEARD_SAMPLE = 32;

interface Peer {
  readonly vmId: VmId;
  region: Region;
  state: NodeState;
  revision: Revision;
  heardAtMs: number | undefined;
}

/** The nodes by what they have reported of a revision. */
export interface RevisionSpread {
  readonly reached: readonly VmId[];
  readonly missing: readonly VmId[];
  readonly presumedDead: readonly VmId[];
}

type MembersInput = Extract<ConfigurationInput, { readonly kind: "members" }>;

/** The other nodes, as heartbeats and the membership tell of them. */
export class ConfigurationPeers {
  readonly #peers = new Map<VmId, Peer>();
  readonly #self: VmId;
  readonly #region: Region;
  #highestRevision: Revision = 0;
  #isKnown = false;
  /** Listed VMs that the membership doesn't know. */
  #unheard = 0;
  #isCutOff = false;

  constructor(self: VmId, region: Region) {
    this.#self = self;
    this.#region = region;
  }

  /** The highest revision that any node has reported. */
  get highestRevision(): Revision {
    return this.#highestRevision;
  }

  /** How many other nodes there are, dead ones included. */
  get count(): number {
    return this.#peers.size;
  }

  /** Takes the nodes that the membership knows and the VMs of the list. */
  update(members: MembersInput): void {
    const { view, isCutOff, listed = [] } = members;
    this.#isKnown = true;
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
    this.#unheard = listed.filter((vmId) => {
      return vmId !== this.#self && !present.has(vmId);
    }).length;
  }

  /** Notes that a node was heard from, at a revision. */
  record(
    vmId: VmId,
    report: { readonly revision: Revision; readonly nowMs: number },
  ): void {
    if (vmId === this.#self) return;
    const peer = this.#getPeer(vmId);
    this.#setRevision(peer, report.revision);
    peer.heardAtMs = report.nowMs;
  }

  /**
   * Whether most nodes were heard: more than half of all, this one included,
   * or a large sample while the membership doesn't find this node cut off.
   *
   * Never before the membership has told which nodes there are.
   */
  hasMost(sinceMs: number): boolean {
    if (!this.#isKnown) return false;
    let heard = 1;
    for (const { heardAtMs } of this.#peers.values()) {
      if (heardAtMs !== undefined && heardAtMs >= sinceMs) heard += 1;
    }
    if (heard * 2 > this.#peers.size + this.#unheard + 1) return true;
    return !this.#isCutOff && heard >= HEARD_SAMPLE;
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

  /** Splits the nodes by whether they have reported a revision. */
  splitByRevision(revision: Revision): RevisionSpread {
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
      heardAtMs: undefined,
    };
    this.#peers.set(vmId, peer);
    return peer;
  }
}
