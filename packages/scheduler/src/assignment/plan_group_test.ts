import { expect } from "chai";
import type { NodeState, NodeView, ShardAssignment } from "@camphorlock/types";
import { buildFakeSpec } from "../membership/fake_fleet.ts";
import { chooseReplicas } from "./choose_nodes.ts";
import { Fleet } from "./fleet.ts";
import type { StoredShard } from "./messages.ts";
import {
  buildPlan,
  type PlanContext,
  type PlannedChange,
  PREDECESSOR_LIMIT,
} from "./plan_group.ts";

const SELF = buildFakeSpec(0, { failureDomains: 3 });
const ASSIGNMENT: ShardAssignment = {
  shard: 0,
  epoch: 4,
  owner: "vm-0",
  ownerIncarnation: 1,
  keepers: ["vm-1", "vm-2", "vm-3"],
};

function buildFleet(states: Readonly<Record<number, NodeState>> = {}): Fleet {
  const nodes: NodeView[] = Array.from({ length: 9 }, (_, index) => ({
    spec: buildFakeSpec(index, { failureDomains: 3 }),
    state: states[index] ?? "alive",
    revision: 0,
  }));
  return new Fleet({ self: SELF.vmId, nodes });
}

function plan(
  stored: Partial<StoredShard>,
  change: Partial<PlanContext> = {},
): PlannedChange[] {
  const full = { assignment: ASSIGNMENT, predecessors: [], ...stored };
  const fleet = change.fleet ?? buildFleet();
  return buildPlan({
    self: SELF,
    fleet,
    shardCount: 1,
    shardIds: [0],
    stored: new Map([[0, full]]),
    loads: new Map(),
    isOwnerEnded: (each) => fleet.getOwnerStatus(each) === "ended",
    isReplicaUnavailable: (vmId) => fleet.getReplicaStatus(vmId) !== "present",
    takesOver: true,
    updatesReplicas: true,
    offers: new Map(),
    recovered: new Map(),
    ...change,
  });
}

describe("group plan", () => {
  it("changes nothing about a healthy shard", () => {
    expect(plan({})).to.deep.equal([]);
  });

  it("takes over from a dead owner under the next epoch", () => {
    const [change] = plan({}, { fleet: buildFleet({ 0: "dead" }) });
    expect(change?.reason).to.equal("takeover");
    expect(change?.stored.assignment.epoch).to.equal(5);
    expect(change?.stored.assignment.owner).to.not.equal("vm-0");
    expect(change?.stored.predecessors).to.deep.equal([ASSIGNMENT]);
  });

  it("doesn't replace a suspected owner", () => {
    expect(plan({}, { fleet: buildFleet({ 0: "suspect" }) })).to.deep.equal([]);
  });

  it("accepts an offer from the owner only", () => {
    const self = buildFakeSpec(5, { failureDomains: 3 });
    const offer = (from: string): PlannedChange[] =>
      plan({}, { self, offers: new Map([[0, from]]) });
    expect(offer("vm-7")).to.deep.equal([]);
    expect(offer("vm-0")[0]?.stored.assignment).to.include({
      owner: "vm-5",
      epoch: 5,
    });
  });

  it("replaces a dead replica and retains the others", () => {
    const [change] = plan({}, { fleet: buildFleet({ 2: "dead" }) });
    expect(change?.reason).to.equal("keepers");
    const { assignment } = change?.stored ?? { assignment: ASSIGNMENT };
    expect(assignment).to.include({ owner: "vm-0", epoch: 5 });
    expect(assignment.keepers).to.include.members(["vm-1", "vm-3"]);
    expect(assignment.keepers).to.not.include("vm-2");
  });

  it("spreads replicas that share a failure domain", () => {
    const replicas = ["vm-1", "vm-4", "vm-7"];
    const [change] = plan({ assignment: { ...ASSIGNMENT, keepers: replicas } });
    const domains = change?.stored.assignment.keepers.map((vmId) =>
      Number(vmId.slice(3)) % 3
    );
    expect(new Set(domains).size).to.be.above(1);
  });

  it("removes predecessors only for the epoch that was recovered", () => {
    const predecessors = [{ ...ASSIGNMENT, epoch: 3 }];
    const recover = (epoch: number): PlannedChange[] =>
      plan({ predecessors }, { recovered: new Map([[0, epoch]]) });
    expect(recover(3)).to.deep.equal([]);
    expect(recover(4)[0]?.stored).to.deep.equal({
      assignment: ASSIGNMENT,
      predecessors: [],
    });
  });

  it("doesn't reassign a shard at the predecessor limit", () => {
    const predecessors = Array.from({ length: PREDECESSOR_LIMIT }, () => ({
      ...ASSIGNMENT,
    }));
    const fleet = buildFleet({ 0: "dead" });
    expect(plan({ predecessors }, { fleet })).to.deep.equal([]);
  });

  it("chooses fewer replicas if there are fewer nodes", () => {
    const nodes = [0, 1].map((index): NodeView => ({
      spec: buildFakeSpec(index, { failureDomains: 3 }),
      state: "alive",
      revision: 0,
    }));
    const fleet = new Fleet({ self: "vm-0", nodes });
    const replicas = chooseReplicas(0, { owner: "vm-0", held: [], fleet });
    expect(replicas).to.deep.equal(["vm-1"]);
  });
});
