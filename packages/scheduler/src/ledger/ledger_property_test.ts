/**
 * Random fault schedules over one shard: no fault revokes a result that an
 * owner reported.
 */
import { expect } from "chai";
import fc from "fast-check";
import { FakeCluster } from "./fake_cluster_test.ts";

type Action =
  | { readonly kind: "takeover"; readonly node: number }
  | { readonly kind: "restart"; readonly node: number }
  | { readonly kind: "pause"; readonly node: number }
  | { readonly kind: "resume"; readonly node: number }
  | { readonly kind: "close"; readonly node: number }
  | { readonly kind: "platform"; readonly isDown: boolean }
  | { readonly kind: "cut"; readonly node: number; readonly other: number }
  | { readonly kind: "heal" };

interface Step {
  readonly waitMs: number;
  readonly action: Action;
}

const RUNS = Number(process.env["LEDGER_RUNS"] ?? 150);
const SEED = Number(process.env["LEDGER_SEED"] ?? 20260101);
const DOMAINS = ["a", "b", "c", "d", "a", "b"];

const node = fc.integer({ min: 0, max: DOMAINS.length - 1 });
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant("takeover"), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("restart"), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("pause"), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("resume"), node }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("close"), node }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("platform"),
      isDown: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("cut"), node, other: node }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("heal") }) },
) as fc.Arbitrary<Action>;

const schedule = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  dropped: fc.constantFrom(0, 5, 25),
  duplicated: fc.constantFrom(0, 20),
  lostResponses: fc.constantFrom(0, 10, 40),
  refused: fc.constantFrom(0, 10),
  segmentBytes: fc.constantFrom(300, 900_000),
  steps: fc.array(
    fc.record({ waitMs: fc.constantFrom(20, 150, 600, 2_500), action }),
    { minLength: 4, maxLength: 30 },
  ),
});

function applyAction(cluster: FakeCluster, action: Action): void {
  switch (action.kind) {
    case "takeover":
      return cluster.startTakeover(action.node);
    case "restart":
      return cluster.restart(action.node);
    case "pause":
      return cluster.pause(action.node);
    case "resume":
      return cluster.resume(action.node);
    case "close": {
      const owner = cluster.findOwner();
      return owner === undefined ? undefined : cluster.close(owner);
    }
    case "platform":
      cluster.isPlatformDown = action.isDown;
      return;
    case "cut": {
      const pair = [`vm-${action.node}`, `vm-${action.other}`].sort().join();
      cluster.cutPairs.add(pair);
      return;
    }
    case "heal":
      cluster.cutPairs.clear();
      return;
  }
}

/** Ends all faults and recovers the shard under one more owner. */
function settleCluster(cluster: FakeCluster): void {
  cluster.isPlatformDown = false;
  cluster.cutPairs.clear();
  cluster.faults = { dropped: 0, duplicated: 0, lostResponses: 0, refused: 0 };
  DOMAINS.forEach((_, index) => cluster.resume(index));
  cluster.run(15_000);
  const next = cluster.nodes.findIndex((each) => each.epoch < cluster.epoch);
  cluster.startTakeover(Math.max(0, next));
  cluster.run(15_000);
}

describe("a shard's ledger under random faults", () => {
  it("never revokes what it reported", () => {
    const totals = {
      reported: 0,
      confirmed: 0,
      served: 0,
      exposed: 0,
      lost: 0,
    };
    const property = fc.property(schedule, (plan) => {
      const cluster = new FakeCluster({
        seed: plan.seed,
        domains: DOMAINS,
        faults: plan,
        limits: {
          ringSize: 256,
          snapshotAfterSegments: 6,
          segmentBytes: plan.segmentBytes,
          messageBytes: 400,
        },
      });
      cluster.startTakeover(0);
      for (const step of plan.steps as Step[]) {
        cluster.run(step.waitMs);
        applyAction(cluster, step.action);
      }
      settleCluster(cluster);
      const { history } = cluster;
      expect(history.servedEpoch, "the last epoch").to.equal(cluster.epoch);
      totals.reported += history.reported;
      totals.confirmed += history.confirmed;
      totals.served += history.servedEpoch;
      totals.exposed += history.exposed;
      totals.lost += history.lost;
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
    if (process.env["LEDGER_RUNS"] !== undefined) console.log(totals);
    expect(totals.reported).to.be.above(RUNS * 10);
    expect(totals.confirmed).to.be.above(RUNS * 5);
  });
});
