import { expect } from "chai";
import { computeHash } from "@camphorlock/scheduler/hash";
import { chooseTarget, type PlacementRequest } from "./choose_target.ts";
import { KnownTarget } from "./target_table.ts";

const GATEWAYS = 20;
const TARGETS = 10;
const SLOTS = 8;
/** Time of one request at a target, and until its first event. */
const RUN_MS = 400;
const FIRST_MS = 40;
/** 150 requests a second keep three quarters of the slots busy. */
const ARRIVALS = 1_500;
const BETWEEN_MS = 1_000 / 150;
/** A prompt's shared part takes 25 ms to read. */
const SHARED_TOKENS = 12_600;
const SHARED_PARTS = 6;

type Choose = (
  known: readonly KnownTarget[],
  request: PlacementRequest,
) => KnownTarget | undefined;

/** Takes the first of the targets that this gateway has used least. */
const chooseByOwnRequests: Choose = (known, { prompt }) => {
  const cost = (each: KnownTarget) =>
    each.prefixes.countMissing(prompt) / 500 + each.running * 4;
  return [...known].sort((left, right) => cost(left) - cost(right))[0];
};

function buildTargets(): KnownTarget[] {
  return Array.from({ length: TARGETS }, (_, index) =>
    new KnownTarget({
      id: `i-${index}`,
      service: "s",
      host: "127.0.0.1",
      port: 1,
      failureDomain: "a",
      state: "ready",
      slots: SLOTS,
      startedAtMs: 1,
    }));
}

/** Replays arrivals at gateways that don't know of each other's requests. */
function measureMeanWaitMs(choose: Choose): number {
  const views = Array.from({ length: GATEWAYS }, buildTargets);
  const freeAtMs = Array.from(
    { length: TARGETS },
    () => new Array<number>(SLOTS).fill(0),
  );
  const due: { atMs: number; act: () => void }[] = [];
  let waitedMs = 0;
  for (let index = 0; index < ARRIVALS; index += 1) {
    const nowMs = index * BETWEEN_MS;
    due.sort((left, right) => left.atMs - right.atMs);
    while ((due[0]?.atMs ?? Infinity) <= nowMs) due.shift()?.act();
    const gateway = computeHash(`arrival ${index}`) % GATEWAYS;
    const part = computeHash(`prompt ${index}`) % SHARED_PARTS;
    const prompt = [{ id: `shared-${part}`, tokens: SHARED_TOKENS }];
    const known = choose(views[gateway] ?? [], {
      vmId: `g-${gateway}`,
      failureDomain: "a",
      regions: new Map(),
      excluded: new Set(),
      prompt,
      nowMs,
    });
    if (known === undefined) throw new Error("no target");
    const slots = freeAtMs[Number(known.target.id.slice(2))] ?? [];
    slots.sort((left, right) => left - right);
    const startMs = Math.max(nowMs, slots[0] ?? 0);
    slots[0] = startMs + RUN_MS;
    waitedMs += startMs - nowMs;
    known.running += 1;
    known.prefixes.record(prompt);
    known.recordSend(`r-${index}`, nowMs);
    const firstMs = startMs + FIRST_MS;
    due.push({
      atMs: firstMs,
      act: () => known.recordFirstAnswer(`r-${index}`, firstMs),
    }, { atMs: startMs + RUN_MS, act: () => known.running -= 1 });
  }
  return waitedMs / ARRIVALS;
}

describe("targets under a burst through many gateways", () => {
  it("share the load though no gateway sees the others' requests", () => {
    const before = measureMeanWaitMs(chooseByOwnRequests);
    const now = measureMeanWaitMs(chooseTarget);
    expect(now).to.be.below(before / 4);
    expect(now).to.be.below(RUN_MS / 4);
  });
});
