import { expect } from "chai";
import fc from "fast-check";
import type { ShardAssignment } from "@camphorlock/types";
import { FakeCluster } from "./fake_cluster.ts";
import { decodeGroup, formatGroupKey } from "./group_codec.ts";
import type { StoredShard } from "./messages.ts";

const SETTINGS = { shardCount: 96, groupSize: 32, startupDelayMs: 500 };
const STARTED_MS = 8_000;
const PROPERTY_SEED = 20_261;
const PROPERTY_RUNS = 40;

function startCluster(nodes = 9, seed = 1): FakeCluster {
  const shape = { nodes, failureDomains: 3, seed, settings: SETTINGS };
  const cluster = new FakeCluster(shape);
  cluster.runUntil(STARTED_MS);
  return cluster;
}

function countLoads(cluster: FakeCluster): number[] {
  const loads = new Map<string, number>();
  for (const vmId of cluster.nodes.keys()) loads.set(vmId, 0);
  for (const { assignment } of cluster.listStored()) {
    loads.set(assignment.owner, (loads.get(assignment.owner) ?? 0) + 1);
  }
  return [...loads.values()];
}

function getDomain(vmId: string): number {
  return Number(vmId.slice(3)) % 3;
}

/** Checks that only one process claims each epoch of a shard. */
function checkSingleOwners(cluster: FakeCluster): void {
  const owners = new Map<string, string>();
  for (const { assignment, vmId, incarnation } of cluster.claims) {
    const key = `${assignment.shard}|${assignment.epoch}`;
    const claimant = `${vmId}|${incarnation}`;
    expect(owners.get(key) ?? claimant, key).to.equal(claimant);
    owners.set(key, claimant);
    expect(assignment.owner).to.equal(vmId);
    expect(assignment.ownerIncarnation).to.equal(incarnation);
  }
}

/** Checks each stored assignment against the previous one of its shard. */
class StoredHistory {
  readonly #last = new Map<number, StoredShard>();
  readonly problems: string[] = [];

  constructor(cluster: FakeCluster) {
    const count = cluster.platform.onStored;
    cluster.platform.onStored = (object): void => {
      count(object);
      for (const stored of decodeGroup(object.value)._unsafeUnwrap()) {
        this.#checkStep(stored);
      }
    };
  }

  #checkStep(stored: StoredShard): void {
    const { assignment, predecessors } = stored;
    const last = this.#last.get(assignment.shard);
    this.#last.set(assignment.shard, stored);
    if (last === undefined) return;
    const step = assignment.epoch - last.assignment.epoch;
    if (step !== 0 && step !== 1) this.#report("unexpected epoch", assignment);
    if (step === 0 && assignment.owner !== last.assignment.owner) {
      this.#report("owner changed without epoch", assignment);
    }
    if (step !== 1) return;
    const expected = [last.assignment, ...last.predecessors];
    const epochs = (list: readonly ShardAssignment[]): string =>
      list.map((each) => each.epoch).join();
    if (epochs(predecessors) !== epochs(expected)) {
      this.#report("unexpected predecessors", assignment);
    }
  }

  #report(problem: string, assignment: ShardAssignment): void {
    this.problems.push(`${problem} ${JSON.stringify(assignment)}`);
  }
}

describe("shard assignment", () => {
  it("assigns every shard to one owner and balances the load", () => {
    const cluster = startCluster();
    expect(cluster.listStored()).to.have.length(SETTINGS.shardCount);
    const claimed = new Set(
      cluster.claims.map((each) => each.assignment.shard),
    );
    expect(claimed.size).to.equal(SETTINGS.shardCount);
    checkSingleOwners(cluster);
    const loads = countLoads(cluster);
    expect(Math.max(...loads) - Math.min(...loads)).to.be.at.most(6);
  });

  it("chooses replicas in distinct failure domains, without the owner", () => {
    for (const { assignment } of startCluster().listStored()) {
      const domains = assignment.keepers.map(getDomain);
      expect(new Set(domains).size).to.equal(3);
      expect(assignment.keepers).to.not.include(assignment.owner);
    }
  });

  it("reassigns a dead owner's shards and moves no others", () => {
    const cluster = startCluster();
    const before = new Map(
      cluster.listStored().map(({ assignment }) =>
        [assignment.shard, assignment.owner] as const
      ),
    );
    const settled = cluster.moves;
    cluster.stopNode("vm-4");
    cluster.runUntil(STARTED_MS + 6_000);
    expect(cluster.listOrphans()).to.have.length(0);
    const lost = [...before.values()].filter((owner) => owner === "vm-4");
    expect(cluster.moves - settled).to.be.within(
      lost.length,
      lost.length + 2,
    );
    checkSingleOwners(cluster);
  });

  it("doesn't let a restarted process own its predecessor's shards", () => {
    const cluster = startCluster();
    cluster.stopNode("vm-4");
    cluster.startNode(4, 2);
    const claimed = cluster.claims.length;
    cluster.runUntil(STARTED_MS + 50);
    expect(cluster.claims).to.have.length(claimed);
    cluster.runUntil(STARTED_MS + 8_000);
    expect(cluster.listOrphans()).to.have.length(0);
    checkSingleOwners(cluster);
  });

  it("changes no owner during an outage, replaces failed ones after it", () => {
    const cluster = startCluster();
    cluster.setPlatformDown(true);
    cluster.stopNode("vm-1");
    cluster.stopNode("vm-2");
    const { moves } = cluster;
    cluster.runUntil(STARTED_MS + 30_000);
    expect(cluster.moves).to.equal(moves);
    cluster.setPlatformDown(false);
    const { put } = cluster.platform.counts;
    cluster.runUntil(STARTED_MS + 45_000);
    expect(cluster.listOrphans()).to.have.length(0);
    expect(cluster.platform.counts.put - put).to.be.below(100);
    checkSingleOwners(cluster);
  });

  it("proposes nothing while it's cut off from most nodes", () => {
    const cluster = startCluster();
    for (const vmId of cluster.nodes.keys()) cluster.cutOff.add(vmId);
    cluster.stopNode("vm-1");
    const { put } = cluster.platform.counts;
    cluster.runUntil(STARTED_MS + 4_500);
    const before = cluster.platform.counts.put;
    cluster.runUntil(STARTED_MS + 20_000);
    expect(cluster.platform.counts.put).to.equal(before);
    expect(before - put).to.be.below(10);
    expect(cluster.listOrphans()).to.not.have.length(0);
  });

  it("reads again after an outage before it proposes", () => {
    const cluster = startCluster();
    cluster.runUntil(60_000);
    cluster.setPlatformDown(true);
    cluster.stopNode("vm-1");
    const { put } = cluster.platform.counts;
    cluster.runUntil(90_000);
    expect(cluster.platform.counts.put).to.equal(put);
    cluster.setPlatformDown(false);
    const readBy = new Set<string>();
    const blindPuts: string[] = [];
    cluster.onRequest = (vmId, request): void => {
      if (request.kind === "get") readBy.add(`${vmId}|${request.key}`);
      if (request.kind !== "put") return;
      const name = `${vmId}|${request.key}`;
      if (!readBy.has(name)) blindPuts.push(name);
    };
    cluster.runUntil(94_000);
    expect(cluster.listOrphans()).to.have.length(0);
    expect(blindPuts).to.deep.equal([]);
  });

  it("hands over every shard of a leaving node while it runs", () => {
    const cluster = startCluster();
    const spec = cluster.nodes.get("vm-3")?.spec;
    if (spec === undefined) throw new Error("cluster has no node vm-3");
    cluster.handle("vm-3", { kind: "leave" });
    cluster.setState(spec, "leaving");
    cluster.runUntil(STARTED_MS + 12_000);
    const notices = cluster.notices.get("vm-3") ?? [];
    expect(notices).to.deep.include({ kind: "handed_over" });
    const owners = cluster.listStored().map((each) => each.assignment.owner);
    expect(owners).to.not.include("vm-3");
    checkSingleOwners(cluster);
  });

  it("replaces a dead replica under a new epoch of the same owner", () => {
    const cluster = startCluster();
    cluster.stopNode("vm-5");
    cluster.runUntil(STARTED_MS + 55_000);
    for (const { assignment } of cluster.listStored()) {
      expect(assignment.keepers).to.not.include("vm-5");
      expect(assignment.keepers).to.have.length(3);
    }
    const notices = [...cluster.notices.values()].flat();
    expect(notices.some((notice) => notice.kind === "keepers_changed"))
      .to.equal(true);
    checkSingleOwners(cluster);
  });

  it("doesn't start ownership on another node's update", () => {
    const cluster = startCluster();
    const node = cluster.nodes.get("vm-0");
    if (node === undefined) throw new Error("cluster has no node vm-0");
    const { vmId, incarnation } = node.spec;
    const assignment = {
      shard: 1,
      epoch: 99,
      owner: vmId,
      ownerIncarnation: incarnation,
      keepers: [],
    };
    const claimed = cluster.claims.length;
    cluster.handle(vmId, {
      kind: "peer",
      from: "vm-1",
      message: { kind: "assignment_news", assignments: [assignment] },
    });
    cluster.runUntil(STARTED_MS + 1_000);
    expect(cluster.claims).to.have.length(claimed);
  });

  it("ends ownership on an update that names a successor", () => {
    const cluster = startCluster();
    const claim = cluster.claims[0];
    if (claim === undefined) throw new Error("cluster has no claims");
    const { shard, epoch } = claim.assignment;
    const successor = { ...claim.assignment, epoch: epoch + 1, owner: "vm-x" };
    cluster.handle(claim.vmId, {
      kind: "peer",
      from: "vm-1",
      message: { kind: "assignment_news", assignments: [successor] },
    });
    expect(cluster.notices.get(claim.vmId)).to.deep.include({
      kind: "lost",
      shard,
      epoch,
    });
  });

  it("keeps predecessors until the owner has recovered", () => {
    const cluster = startCluster();
    const history = new StoredHistory(cluster);
    cluster.stopNode("vm-4");
    cluster.runUntil(STARTED_MS + 5_000);
    const takenOver = cluster.listStored().filter((each) =>
      each.predecessors[0]?.owner === "vm-4"
    );
    expect(takenOver.length).to.be.above(0);
    cluster.runUntil(STARTED_MS + 60_000);
    const remaining = cluster.listStored().filter((each) =>
      each.predecessors.length > 0
    );
    expect(remaining).to.have.length(0);
    expect(history.problems).to.deep.equal([]);
  });

  it("reads a group when another node has observed a higher epoch", () => {
    const cluster = startCluster();
    cluster.runUntil(STARTED_MS + 5_000);
    const assigner = cluster.nodes.get("vm-0")?.assigner;
    const listReads = (knownEpoch: number): string[] => {
      const input = { kind: "stale", shard: 40, knownEpoch } as const;
      assigner?.handle(input, cluster.nowMs);
      const step = assigner?.handle({ kind: "tick" }, cluster.nowMs);
      return (step?.effects ?? []).flatMap((effect) =>
        effect.kind === "call_platform" && effect.request.kind === "get"
          ? [effect.request.key]
          : []
      );
    };
    expect(listReads(1)).to.deep.equal([]);
    expect(listReads(50)).to.deep.equal([formatGroupKey(1)]);
  });

  it("refuses a malformed group", () => {
    expect(decodeGroup(new Uint8Array([1, 2, 3])).isErr()).to.equal(true);
    expect(formatGroupKey(7)).to.equal("assignment/0007");
  });
});

type Fault =
  | { readonly kind: "kill"; readonly node: number }
  | { readonly kind: "restart"; readonly node: number }
  | { readonly kind: "pause"; readonly node: number }
  | { readonly kind: "false_death"; readonly node: number }
  | { readonly kind: "leave"; readonly node: number }
  | { readonly kind: "outage"; readonly node: number };

const FAULT_NODES = 7;

const faultArbitrary: fc.Arbitrary<{ fault: Fault; afterMs: number }> = fc
  .record({
    fault: fc.record({
      kind: fc.constantFrom(
        "kill",
        "restart",
        "pause",
        "false_death",
        "leave",
        "outage",
      ),
      node: fc.integer({ min: 1, max: FAULT_NODES - 1 }),
    }) as fc.Arbitrary<Fault>,
    afterMs: fc.integer({ min: 10, max: 4_000 }),
  });

/** Injects faults into a cluster; `heal` ends those that can be undone. */
class FaultInjector {
  readonly #cluster: FakeCluster;
  readonly #incarnations = new Map<number, number>();

  constructor(cluster: FakeCluster) {
    this.#cluster = cluster;
  }

  apply(fault: Fault): void {
    const cluster = this.#cluster;
    const vmId = `vm-${fault.node}`;
    const spec = cluster.nodes.get(vmId)?.spec;
    switch (fault.kind) {
      case "kill":
        cluster.stopNode(vmId);
        break;
      case "restart":
        this.#restart(fault.node);
        break;
      case "pause":
        cluster.setPaused(vmId, true);
        break;
      case "false_death":
        if (spec !== undefined) cluster.setState(spec, "dead");
        break;
      case "leave":
        if (spec !== undefined) cluster.setState(spec, "leaving");
        cluster.handle(vmId, { kind: "leave" });
        break;
      case "outage":
        cluster.setPlatformDown(!cluster.isPlatformDown);
        break;
    }
  }

  heal(): void {
    this.#cluster.setPlatformDown(false);
    for (const [vmId, node] of this.#cluster.nodes) {
      this.#cluster.setPaused(vmId, false);
      this.#cluster.setState(node.spec, "alive");
    }
  }

  #restart(index: number): void {
    const incarnation = (this.#incarnations.get(index) ?? 1) + 1;
    this.#incarnations.set(index, incarnation);
    this.#cluster.stopNode(`vm-${index}`);
    this.#cluster.startNode(index, incarnation);
  }
}

describe("shard assignment under random faults", () => {
  it("has one owner per epoch and finds a live owner for each shard", () => {
    const property = fc.property(
      fc.array(faultArbitrary, { minLength: 1, maxLength: 8 }),
      fc.integer({ min: 1, max: 1_000_000 }),
      (faults, seed) => {
        const cluster = new FakeCluster({
          nodes: FAULT_NODES,
          failureDomains: 3,
          seed,
          settings: { ...SETTINGS, pollPeriodMs: 20_000 },
          lostResponsePercent: 10,
          lostMessagePercent: 10,
        });
        const history = new StoredHistory(cluster);
        const injector = new FaultInjector(cluster);
        cluster.runUntil(3_000);
        for (const { fault, afterMs } of faults) {
          injector.apply(fault);
          cluster.runUntil(cluster.nowMs + afterMs);
        }
        injector.heal();
        cluster.runUntil(cluster.nowMs + 60_000);
        checkSingleOwners(cluster);
        expect(history.problems).to.deep.equal([]);
        expect(cluster.listStored()).to.have.length(SETTINGS.shardCount);
        expect(cluster.listOrphans()).to.deep.equal([]);
      },
    );
    fc.assert(property, { seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS });
  });
});
