import { expect } from "chai";
import type { MembershipMessage, NodeDigest, VmId } from "@camphorlock/types";
import { buildFakeSpec, FakeFleet } from "./fake_fleet.ts";
import { Membership } from "./membership.ts";
import type { MembershipStep } from "./messages.ts";
import { RandomChooser } from "./random.ts";
import {
  buildReportResponse,
  computeRevisionSummary,
} from "./revision_report.ts";
import { DEFAULT_MEMBERSHIP_SETTINGS } from "./settings.ts";

const JOINED_MS = 3_000;
const SPEC_0 = buildFakeSpec(0, { failureDomains: 3 });
const SPEC_1 = buildFakeSpec(1, { failureDomains: 3 });

function startFleet(
  nodes: number,
  isDropped?: (from: VmId, to: VmId) => boolean,
): FakeFleet {
  const shape = { nodes, failureDomains: 3, seed: 11 };
  const fleet = new FakeFleet(
    isDropped === undefined ? shape : { ...shape, isDropped },
  );
  fleet.runUntil(JOINED_MS);
  return fleet;
}

function buildDigest(change: Partial<NodeDigest>): NodeDigest {
  return { spec: SPEC_1, state: "alive", number: 1, revision: 0, ...change };
}

function buildHeartbeat(
  digest: readonly NodeDigest[],
  spec = SPEC_1,
): MembershipMessage {
  return {
    kind: "heartbeat",
    spec,
    state: "alive",
    revision: 4,
    number: 1,
    stateNumber: 1,
    knownNodes: 100,
    digest,
  };
}

function listSent(step: MembershipStep): MembershipMessage[] {
  return step.effects.flatMap((effect) =>
    effect.kind === "send_peer" ? [effect.message as MembershipMessage] : []
  );
}

function receive(
  node: Membership,
  message: MembershipMessage,
  nowMs = 0,
): MembershipStep {
  return node.handle({ kind: "peer", from: SPEC_1.vmId, message }, nowMs);
}

describe("membership", () => {
  it("discovers every node that the platform lists", () => {
    const fleet = startFleet(9);
    for (const node of fleet.nodes.values()) {
      const alive = node.view().nodes.filter((each) => each.state === "alive");
      expect(alive).to.have.length(9);
    }
  });

  for (const nodes of [2, 9, 40]) {
    it(`declares a killed node of ${nodes} dead in all views within 3 s`, () => {
      const fleet = startFleet(nodes);
      fleet.stopNode("vm-1");
      fleet.runUntil(JOINED_MS + 3_000);
      expect(fleet.isStateEverywhere("vm-1", "dead")).to.equal(true);
    });
  }

  it("detects the failure of all nodes of a failure domain within 4 s", () => {
    const fleet = startFleet(45);
    const failed = [...fleet.nodes.keys()].filter((_, index) =>
      index % 3 === 0
    );
    failed.forEach((vmId) => fleet.stopNode(vmId));
    fleet.runUntil(JOINED_MS + 4_000);
    const found = failed.every((vmId) => fleet.isStateEverywhere(vmId, "dead"));
    expect(found).to.equal(true);
  });

  it("keeps a node alive if only one other node can't reach it", () => {
    const pair = ["vm-0", "vm-1"];
    const fleet = startFleet(
      9,
      (from, to) => pair.includes(from) && pair.includes(to),
    );
    fleet.runUntil(20_000);
    expect(fleet.isStateEverywhere("vm-1", "alive")).to.equal(true);
    expect(fleet.isStateEverywhere("vm-0", "alive")).to.equal(true);
    const changes = [...fleet.notices.values()].flat().map((notice) =>
      notice.kind === "node_changed" ? notice.change.to : "other"
    );
    expect(changes).to.not.include("suspect");
  });

  it("declares a node dead when its messages are lost in one direction", () => {
    let silent = false;
    const fleet = startFleet(9, (from) => silent && from === "vm-1");
    silent = true;
    fleet.runUntil(JOINED_MS + 3_500);
    expect(fleet.findState("vm-2", "vm-1")).to.equal("dead");
  });

  it("rediscovers nodes after a partition heals", () => {
    let cut = false;
    const fleet = startFleet(
      10,
      (from, to) =>
        cut && Number(from.slice(3)) % 2 !== Number(to.slice(3)) % 2,
    );
    cut = true;
    fleet.runUntil(10_000);
    expect(fleet.findState("vm-0", "vm-1")).to.equal("dead");
    cut = false;
    fleet.runUntil(20_000);
    for (const vmId of fleet.nodes.keys()) {
      expect(fleet.isStateEverywhere(vmId, "alive")).to.equal(true);
    }
  });

  it("doesn't declare the others dead on a node that was paused", () => {
    const fleet = startFleet(9);
    fleet.setPaused("vm-3", true);
    fleet.runUntil(JOINED_MS + 10_000);
    expect(fleet.findState("vm-0", "vm-3")).to.equal("dead");
    fleet.setPaused("vm-3", false);
    fleet.runUntil(JOINED_MS + 16_000);
    expect(fleet.isStateEverywhere("vm-3", "alive")).to.equal(true);
    const deaths = (fleet.notices.get("vm-3") ?? []).filter((notice) =>
      notice.kind === "node_changed" && notice.change.to === "dead"
    );
    expect(deaths).to.have.length(0);
  });

  it("suspects no node for a heartbeat that was open during its own pause", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    receive(node, buildHeartbeat([]));
    for (let nowMs = 0; nowMs <= 600; nowMs += 100) {
      node.handle({ kind: "tick" }, nowMs);
    }
    node.handle({ kind: "tick" }, 30_000);
    node.handle({ kind: "tick" }, 30_100);
    expect(node.view().nodes[1]?.state).to.equal("alive");
  });

  it("distinguishes a restarted process from the one before it", () => {
    const fleet = startFleet(9);
    fleet.stopNode("vm-1");
    fleet.startNode(1, 2);
    fleet.runUntil(JOINED_MS + 3_000);
    for (const node of fleet.nodes.values()) {
      const found = node.view().nodes.find((each) => each.spec.vmId === "vm-1");
      expect(found?.spec.incarnation).to.equal(2);
      expect(found?.state).to.equal("alive");
    }
  });

  it("ignores updates about an earlier incarnation", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    const spec = { ...SPEC_1, incarnation: 5 };
    receive(node, buildHeartbeat([], spec));
    const stale = buildDigest({ state: "dead", number: 99 });
    receive(node, buildHeartbeat([stale], spec));
    expect(node.view().nodes[1]?.state).to.equal("alive");
  });

  it("refutes a suspicion about itself with a higher number", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    const update = buildDigest({ spec: SPEC_0, state: "suspect", number: 7 });
    const step = receive(node, buildHeartbeat([update]));
    expect(step.notices).to.deep.include({ kind: "self_refuted" });
    const [ack] = listSent(step);
    const own = ack?.kind === "heartbeat_ack"
      ? ack.digest.find((each) => each.spec.vmId === SPEC_0.vmId)
      : undefined;
    expect(own).to.include({ state: "alive", number: 8 });
  });

  it("keeps a suspicion until the node's own number is higher", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    const suspect = buildDigest({ state: "suspect", number: 3 });
    receive(node, buildHeartbeat([suspect]));
    receive(node, buildHeartbeat([buildDigest({ number: 3 })]));
    expect(node.view().nodes[1]?.state).to.equal("suspect");
    receive(node, buildHeartbeat([buildDigest({ number: 4 })]));
    expect(node.view().nodes[1]?.state).to.equal("alive");
  });

  it("ignores an acknowledgement from another incarnation", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    receive(node, buildHeartbeat([]));
    const ack: MembershipMessage = {
      kind: "heartbeat_ack",
      number: 1,
      incarnation: 2,
      revision: 9,
      digest: [],
    };
    receive(node, ack);
    expect(node.view().nodes[1]?.revision).to.equal(4);
  });

  it("reports that a later process runs on its VM", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    const spec = { ...SPEC_0, incarnation: 3 };
    const step = receive(node, buildHeartbeat([buildDigest({ spec })]));
    expect(step.notices).to.deep.include({
      kind: "self_superseded",
      incarnation: 3,
    });
  });

  it("shows a leaving node as leaving in every view", () => {
    const fleet = startFleet(9);
    const step = fleet.nodes.get("vm-4")?.startLeaving(fleet.nowMs);
    if (step !== undefined) fleet.applyStep("vm-4", step);
    fleet.runUntil(JOINED_MS + 1_000);
    expect(fleet.isStateEverywhere("vm-4", "leaving")).to.equal(true);
  });

  it("ignores a heartbeat whose spec isn't the sender's", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    const spec = { ...SPEC_1, vmId: "vm-7" };
    const step = receive(node, buildHeartbeat([], spec));
    expect(step.effects).to.deep.equal([]);
    expect(node.view().nodes).to.have.length(1);
  });

  it("never lowers a revision", () => {
    const node = new Membership({ self: SPEC_0, seed: 1 });
    receive(node, buildHeartbeat([]));
    receive(node, buildHeartbeat([buildDigest({ number: 2, revision: 1 })]));
    expect(node.view().nodes[1]?.revision).to.equal(4);
  });

  for (const nodes of [9, 60]) {
    it(`finds which of ${nodes} nodes lack a revision within 5 s`, () => {
      const fleet = startFleet(nodes);
      for (const [vmId, node] of fleet.nodes) {
        if (vmId === "vm-5") continue;
        const input = { kind: "revision", revision: 7 } as const;
        fleet.applyStep(vmId, node.handle(input, fleet.nowMs));
      }
      fleet.runUntil(JOINED_MS + 5_000);
      for (const node of fleet.nodes.values()) {
        const behind = node.view().nodes.filter((each) => each.revision < 7);
        expect(behind.map((each) => each.spec.vmId)).to.deep.equal(["vm-5"]);
      }
    });
  }

  it("doesn't apply a former process's revision to the current one", () => {
    const former = buildDigest({ revision: 9 });
    const summary = computeRevisionSummary([former]);
    const sample = { random: new RandomChooser(1), limit: 4 };
    const { revision, processes } = buildReportResponse(summary, {
      revision: 9,
      processes: new Uint8Array(),
      ...sample,
    });
    const node = new Membership({ self: SPEC_0, seed: 1 });
    receive(node, buildHeartbeat([], { ...SPEC_1, incarnation: 2 }));
    const report = { revision, processes };
    const heartbeat = buildHeartbeat([], { ...SPEC_1, incarnation: 2 });
    receive(node, { ...heartbeat, report } as MembershipMessage);
    expect(node.view().nodes[1]?.revision).to.equal(4);
  });

  it("bounds the updates in a message", () => {
    let longest = 0;
    const fleet = new FakeFleet({
      nodes: 60,
      failureDomains: 3,
      seed: 5,
      onSend: (_from, message) => {
        if (message.kind !== "heartbeat") return;
        longest = Math.max(longest, message.digest.length);
      },
    });
    fleet.runUntil(5_000);
    const { digestLimit } = DEFAULT_MEMBERSHIP_SETTINGS;
    expect(longest).to.be.within(1, digestLimit + 1);
  });

  it("detects that a node is cut off from most others, and that it no longer is", () => {
    let cut = false;
    const fleet = startFleet(
      9,
      (from, to) => cut && (from === "vm-0") !== (to === "vm-0"),
    );
    const isCutOff = (vmId: VmId): boolean | undefined =>
      fleet.nodes.get(vmId)?.isCutOff(fleet.nowMs);
    cut = true;
    fleet.runUntil(JOINED_MS + 12_000);
    expect(isCutOff("vm-0")).to.equal(true);
    expect(isCutOff("vm-1")).to.equal(false);
    cut = false;
    fleet.runUntil(JOINED_MS + 20_000);
    expect(isCutOff("vm-0")).to.equal(false);
  });
});
