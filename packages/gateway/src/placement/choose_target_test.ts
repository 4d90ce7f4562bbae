import { expect } from "chai";
import { computeHash } from "@camphorlock/scheduler/hash";
import { chooseTarget, type PlacementRequest } from "./choose_target.ts";
import { TrackedTarget } from "../decisions/target_table.ts";

const GATEWAYS = 20;
const TARGETS = 10;
const SLOTS = 8;
/** Service time of one request, and the time until its first event. */
const SERVICE_TIME_MS = 400;
const FIRST_EVENT_MS = 40;
/** 150 requests a second keep three quarters of the slots busy. */
const ARRIVAL_COUNT = 1_500;
const ARRIVAL_INTERVAL_MS = 1_000 / 150;
/** The prefill of a prompt's shared part takes 25 ms. */
const SHARED_TOKENS = 12_600;
const SHARED_PARTS = 6;

type ChooseTarget = (
  targets: readonly TrackedTarget[],
  request: PlacementRequest,
) => TrackedTarget | undefined;

/** Baseline: the lowest cost by this gateway's own requests, first on ties. */
const chooseByOwnRequests: ChooseTarget = (targets, { prompt }) => {
  const cost = (each: TrackedTarget) =>
    each.prefixes.countUncached(prompt) / 500 + each.running * 4;
  return [...targets].sort((left, right) => cost(left) - cost(right))[0];
};

function buildTargets(): TrackedTarget[] {
  return Array.from({ length: TARGETS }, (_, index) =>
    new TrackedTarget({
      id: `i-${index}`,
      service: "s",
      host: "127.0.0.1",
      port: 1,
      failureDomain: "a",
      state: "ready",
      version: "v1",
      slots: SLOTS,
      startedAtMs: 1,
    }));
}

/** Replays arrivals at gateways that see only their own requests. */
function measureMeanWaitMs(choose: ChooseTarget): number {
  const targetsByGateway = Array.from({ length: GATEWAYS }, buildTargets);
  const freeAtMs = Array.from(
    { length: TARGETS },
    () => new Array<number>(SLOTS).fill(0),
  );
  const scheduled: { atMs: number; run: () => void }[] = [];
  let totalWaitMs = 0;
  for (let index = 0; index < ARRIVAL_COUNT; index += 1) {
    const nowMs = index * ARRIVAL_INTERVAL_MS;
    scheduled.sort((left, right) => left.atMs - right.atMs);
    while ((scheduled[0]?.atMs ?? Infinity) <= nowMs) scheduled.shift()?.run();
    const gateway = computeHash(`arrival ${index}`) % GATEWAYS;
    const part = computeHash(`prompt ${index}`) % SHARED_PARTS;
    const prompt = [{ id: `shared-${part}`, tokens: SHARED_TOKENS }];
    const chosen = choose(targetsByGateway[gateway] ?? [], {
      vmId: `g-${gateway}`,
      failureDomain: "a",
      regions: new Map(),
      excluded: new Set(),
      prompt,
      nowMs,
    });
    if (chosen === undefined) throw new Error("no target");
    const slots = freeAtMs[Number(chosen.target.id.slice(2))] ?? [];
    slots.sort((left, right) => left - right);
    const startMs = Math.max(nowMs, slots[0] ?? 0);
    slots[0] = startMs + SERVICE_TIME_MS;
    totalWaitMs += startMs - nowMs;
    chosen.prefixes.record(prompt);
    chosen.recordAttempt(`r-${index}`, nowMs);
    const firstEventAtMs = startMs + FIRST_EVENT_MS;
    scheduled.push({
      atMs: firstEventAtMs,
      run: () => chosen.recordFirstResponse(`r-${index}`, firstEventAtMs),
    }, { atMs: startMs + SERVICE_TIME_MS, run: () => chosen.running -= 1 });
  }
  return totalWaitMs / ARRIVAL_COUNT;
}

describe("targets under a burst through many gateways", () => {
  it("share the load although no gateway sees the others' requests", () => {
    const baselineMs = measureMeanWaitMs(chooseByOwnRequests);
    const meanWaitMs = measureMeanWaitMs(chooseTarget);
    expect(meanWaitMs).to.be.below(baselineMs / 4);
    expect(meanWaitMs).to.be.below(SERVICE_TIME_MS / 4);
  });
});

describe("the target of a turn or an object", () => {
  const request: PlacementRequest = {
    vmId: "g-1",
    failureDomain: "a",
    regions: new Map(),
    excluded: new Set(),
    prompt: [{ id: "shared-1", tokens: SHARED_TOKENS }],
    nowMs: 0,
  };

  it("is the one that ran the previous turn, unless it has long queues", () => {
    const targets = buildTargets();
    const previousTargetId = "i-7";
    expect(chooseTarget(targets, { ...request, previousTargetId })?.target.id)
      .to.equal("i-7");
    const previous = targets.find(({ target }) => target.id === "i-7");
    if (previous !== undefined) previous.running = SLOTS + 1;
    expect(chooseTarget(targets, { ...request, previousTargetId })?.target.id)
      .not.to.equal("i-7");
  });

  it("is the same at all gateways for one object, and differs by object", () => {
    const chosen = new Set<string>();
    for (let object = 0; object < 50; object += 1) {
      const ids = ["g-1", "g-2", "g-3"].map((vmId) =>
        chooseTarget(buildTargets(), {
          ...request,
          vmId,
          affinityKey: `object ${object}`,
        })?.target.id ?? ""
      );
      expect(new Set(ids).size).to.equal(1);
      chosen.add(ids[0] ?? "");
    }
    expect(chosen.size).to.be.greaterThan(TARGETS / 2);
  });
});
