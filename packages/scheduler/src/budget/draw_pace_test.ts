/**
 * Tests that draws slow down when too many nodes draw at once.
 */
import type { PlatformAnswer } from "@camphorlock/types";
import { expect } from "chai";
import { DrawPace } from "./draw_pace.ts";

const CONFLICT: PlatformAnswer = { kind: "conflict", key: "k", version: 2 };
const STORED: PlatformAnswer = { kind: "stored", key: "k", version: 2 };

function countTaken(pace: DrawPace, from: number): number {
  let taken = 0;
  for (let nowMs = from; nowMs < from + 10_000; nowMs += 100) {
    if (pace.take(nowMs)) taken += 1;
  }
  return taken;
}

describe("DrawPace", () => {
  it("falls with conflicts and rises with successes", () => {
    const pace = new DrawPace();
    const usual = countTaken(pace, 0);
    for (let index = 0; index < 10; index += 1) pace.record(CONFLICT);
    const slow = countTaken(pace, 20_000);
    for (let index = 0; index < 40; index += 1) pace.record(STORED);
    const fast = countTaken(pace, 40_000);
    expect(usual).to.be.within(20, 22);
    expect(slow).to.be.within(1, 5);
    expect(fast).to.be.greaterThan(70);
  });
});
