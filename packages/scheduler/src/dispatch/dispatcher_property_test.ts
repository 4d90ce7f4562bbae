import { expect } from "chai";
import fc from "fast-check";
import type { DispatchMessage, Effect, TargetSpec } from "@camphorlock/types";
import { DispatcherSet } from "./dispatcher_set.ts";
import {
  DEFAULT_DISPATCH_SETTINGS,
  type DispatchSettings,
} from "./settings.ts";

const SLOTS = 3;
const SETTINGS: DispatchSettings = {
  ...DEFAULT_DISPATCH_SETTINGS,
  limit: { kind: "fixed", slots: SLOTS },
};
const TARGET: TargetSpec = {
  targetId: "t",
  kind: "engine",
  serves: ["m"],
  region: "r",
  failureDomain: "d",
  address: "",
  checksFencing: true,
  leaving: false,
};

type Step =
  | {
    readonly kind: "request";
    readonly attempt: number;
    readonly size: number;
  }
  | { readonly kind: "renew" | "release"; readonly attempt: number }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "leave" };

const LENGTH = { minLength: 40, maxLength: 120, size: "max" } as const;

const attempt = fc.integer({ min: 0, max: 11 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("request" as const),
      attempt,
      size: fc.integer({ min: 1, max: 40_000 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom("renew" as const, "release" as const),
      attempt,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 10, max: 900 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "leave" as const }) },
);

/** Models the nodes that hold grants, and checks each grant and refusal. */
class Model {
  readonly #set = new DispatcherSet({ settings: SETTINGS, seed: 1 });
  /** When each held grant expires, by attempt. */
  readonly #held = new Map<string, number>();
  readonly #ended = new Set<string>();
  #nowMs = 0;
  #isLeaving = false;

  constructor() {
    this.#setTargets([TARGET]);
  }

  run(each: Step): void {
    switch (each.kind) {
      case "request":
        return this.#send(buildRequest(each.attempt, each.size));
      case "renew":
        return this.#renew(`a${each.attempt}`);
      case "release":
        return this.#release(`a${each.attempt}`);
      case "wait":
        return this.#wait(each.ms);
      case "leave":
        this.#isLeaving = true;
        return this.#setTargets([{ ...TARGET, leaving: true }]);
    }
  }

  #renew(attemptId: string): void {
    if (!this.#held.has(attemptId)) return;
    this.#held.set(attemptId, this.#nowMs + SETTINGS.grantLifeMs);
    const targetId = "t";
    this.#send({ kind: "slot_renewed", attemptId, targetId, tokens: 5 });
  }

  #release(attemptId: string): void {
    if (!this.#held.delete(attemptId)) return;
    this.#ended.add(attemptId);
    this.#send({
      kind: "slot_released",
      attemptId,
      targetId: "t",
      outcome: "completed",
      firstTokenMs: 10,
      durationMs: 100,
      tokens: 5,
    });
  }

  #wait(ms: number): void {
    this.#nowMs += ms;
    for (const [attemptId, expiresAtMs] of this.#held) {
      if (expiresAtMs <= this.#nowMs) this.#held.delete(attemptId);
    }
    this.#check(this.#set.handle({ kind: "tick" }, this.#nowMs).effects);
  }

  #setTargets(targets: TargetSpec[]): void {
    const input = { kind: "targets_changed", targets } as const;
    this.#check(this.#set.handle(input, this.#nowMs).effects);
  }

  #send(message: DispatchMessage): void {
    const input = { kind: "peer", from: "n", message } as const;
    this.#check(this.#set.handle(input, this.#nowMs).effects);
  }

  #check(effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind !== "send_peer") continue;
      const { message } = effect;
      if (message.kind === "slot_refused") this.#ended.add(message.attemptId);
      if (message.kind !== "slot_granted") continue;
      const { attemptId, expiresInMs } = message;
      expect(this.#ended.has(attemptId), "granted after end").to.equal(false);
      expect(this.#isLeaving, "granted on a leaving target").to.equal(false);
      expect(expiresInMs).to.be.below(2_000);
      this.#held.set(attemptId, this.#nowMs + expiresInMs);
      expect(this.#held.size, "grants above the limit").to.be.at.most(SLOTS);
    }
  }
}

function buildRequest(number: number, size: number): DispatchMessage {
  return {
    kind: "slot_request",
    attemptId: `a${number}`,
    targetId: "t",
    partner: number % 2 === 0 ? "zincir" : "okonkwo",
    programClass: number % 3 === 0 ? "short" : "background",
    agent: "a",
    programId: `p${number}`,
    attainedMs: 1,
    promptTokens: size,
    cachedTokens: 0,
    maxTokens: 100,
  };
}

describe("dispatcher under random messages", () => {
  it("grants within the limit, once each, and none on a leaving target", () => {
    fc.assert(
      fc.property(fc.array(step, LENGTH), (steps) => {
        const model = new Model();
        for (const each of steps) model.run(each);
      }),
      { seed: 20_261_204, numRuns: 200 },
    );
  });
});
