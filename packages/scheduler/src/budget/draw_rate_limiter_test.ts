/**
 * Tests that the rate of draws falls when too many nodes draw at once.
 */
import type { PlatformResponse } from "@camphorlock/types";
import { expect } from "chai";
import { DrawRateLimiter } from "./draw_rate_limiter.ts";

const CONFLICT: PlatformResponse = { kind: "conflict", key: "k", version: 2 };
const STORED: PlatformResponse = { kind: "stored", key: "k", version: 2 };

function countAcquired(limiter: DrawRateLimiter, from: number): number {
  let acquired = 0;
  for (let nowMs = from; nowMs < from + 10_000; nowMs += 100) {
    if (limiter.acquire(nowMs)) acquired += 1;
  }
  return acquired;
}

describe("DrawRateLimiter", () => {
  it("lowers the rate on conflicts and raises it on successes", () => {
    const limiter = new DrawRateLimiter();
    const usual = countAcquired(limiter, 0);
    for (let index = 0; index < 10; index += 1) limiter.record(CONFLICT);
    const slow = countAcquired(limiter, 20_000);
    for (let index = 0; index < 40; index += 1) limiter.record(STORED);
    const fast = countAcquired(limiter, 40_000);
    expect(usual).to.be.within(20, 22);
    expect(slow).to.be.within(1, 5);
    expect(fast).to.be.greaterThan(70);
  });
});
