import { expect } from "chai";
import type { DispatchMessage, Effect } from "@camphorlock/types";
import { DispatcherSet } from "./dispatcher_set.ts";
import {
  DEFAULT_DISPATCH_SETTINGS,
  type DispatchSettings,
} from "./settings.ts";

type Request = Extract<DispatchMessage, { kind: "slot_request" }>;

const SETTINGS: DispatchSettings = {
  ...DEFAULT_DISPATCH_SETTINGS,
  limit: { kind: "fixed", slots: 2 },
  shortRoom: { kind: "none" },
};
const TARGET = {
  targetId: "t",
  kind: "engine",
  serves: ["m"],
  region: "r",
  failureDomain: "d",
  address: "",
  checksFencing: true,
  leaving: false,
} as const;

class Fixture {
  readonly set: DispatcherSet;
  constructor(settings: Partial<DispatchSettings> = {}) {
    this.set = new DispatcherSet({
      settings: { ...SETTINGS, ...settings },
      seed: 1,
    });
    this.set.handle({ kind: "targets_changed", targets: [TARGET] }, 0);
  }

  request(
    attemptId: string,
    overrides: Partial<Request> = {},
    nowMs = 0,
  ): string[] {
    return this.send({
      kind: "slot_request",
      attemptId,
      targetId: "t",
      partner: "zincir",
      programClass: "standard",
      agent: "a",
      programId: attemptId,
      attainedMs: 0,
      promptTokens: 100,
      cachedTokens: 0,
      maxTokens: 100,
      ...overrides,
    }, nowMs);
  }

  release(attemptId: string, nowMs = 0): string[] {
    return this.send({
      kind: "slot_released",
      attemptId,
      targetId: "t",
      outcome: "completed",
      firstTokenMs: 10,
      durationMs: 1_000,
      tokens: 10,
    }, nowMs);
  }

  renew(attemptId: string, tokens: number, nowMs: number): string[] {
    const targetId = "t";
    const renewed = { kind: "slot_renewed", attemptId, targetId, tokens };
    return this.send(renewed as DispatchMessage, nowMs);
  }

  tick(nowMs: number): string[] {
    return listResponses(this.set.handle({ kind: "tick" }, nowMs).effects);
  }

  send(message: DispatchMessage, nowMs: number): string[] {
    const input = { kind: "peer", from: "n1", message } as const;
    return listResponses(this.set.handle(input, nowMs).effects);
  }

  getLimit(): number | undefined {
    return this.set.listLoads()[0]?.limit;
  }
}

/** Lists grants as `+attempt` and refusals as `-attempt reason`. */
function listResponses(effects: readonly Effect[]): string[] {
  return effects.flatMap((each) => {
    if (each.kind !== "send_peer") return [];
    const { message } = each;
    if (message.kind === "slot_granted") return [`+${message.attemptId}`];
    if (message.kind !== "slot_refused") return [];
    return [`-${message.attemptId} ${message.reason}`];
  });
}

describe("dispatcher", () => {
  it("grants up to the limit, and the rest as slots are freed", () => {
    const fixture = new Fixture();
    expect(fixture.request("a")).to.deep.equal(["+a"]);
    expect(fixture.request("b")).to.deep.equal(["+b"]);
    expect(fixture.request("c")).to.deep.equal([]);
    expect(fixture.release("a")).to.deep.equal(["+c"]);
  });

  it("gives a repeated request the same response and counts it once", () => {
    const fixture = new Fixture();
    fixture.request("a");
    expect(fixture.request("a")).to.deep.equal(["+a"]);
    expect(fixture.request("b")).to.deep.equal(["+b"]);
  });

  it("prefers programs with little attained service", () => {
    const fixture = new Fixture();
    fixture.request("a");
    fixture.request("b");
    fixture.request("old", { attainedMs: 60_000 });
    fixture.request("new", { attainedMs: 100 });
    expect(fixture.release("a")).to.deep.equal(["+new"]);
  });

  it("lets a long wait outweigh attained service", () => {
    const fixture = new Fixture();
    fixture.request("a");
    fixture.request("b");
    fixture.request("old", { attainedMs: 60_000 });
    fixture.request("new", { attainedMs: 100 }, 30_000);
    expect(fixture.release("a", 30_000)).to.deep.equal(["+old"]);
  });

  it("prefers a call whose history is cached", () => {
    const fixture = new Fixture();
    fixture.request("a");
    fixture.request("b");
    const history = { attainedMs: 20_000, promptTokens: 4_000 };
    fixture.request("uncached", history);
    fixture.request("cached", { ...history, cachedTokens: 3_900 });
    expect(fixture.release("a")).to.deep.equal(["+cached"]);
  });

  it("grants in order of arrival under the first-come policy", () => {
    const fixture = new Fixture({ order: { kind: "first_come" } });
    fixture.request("a");
    fixture.request("b");
    fixture.request("old", { attainedMs: 60_000 });
    fixture.request("new", { attainedMs: 100 });
    expect(fixture.release("a")).to.deep.equal(["+old"]);
  });

  it("reserves slots for short calls", () => {
    const fixture = new Fixture({
      shortRoom: { kind: "reserved", slotShare: 0.5 },
    });
    expect(fixture.request("a")).to.deep.equal(["+a"]);
    expect(fixture.request("b")).to.deep.equal([]);
    const short = fixture.request("s", { programClass: "short" });
    expect(short).to.deep.equal(["+s"]);
  });

  it("bounds the prompt tokens that are computed at a time", () => {
    const fixture = new Fixture({
      prefill: { kind: "bounded", mostTokens: 1_000, smallTokens: 5_000 },
    });
    expect(fixture.request("a", { promptTokens: 5_000 })).to.deep.equal(["+a"]);
    expect(fixture.request("b", { promptTokens: 5_000 })).to.deep.equal([]);
    fixture.renew("a", 1, 400);
    expect(fixture.tick(400)).to.deep.equal(["+b"]);
  });

  it("lets small prompts overtake a long one, but no long ones", () => {
    const fixture = new Fixture({
      limit: { kind: "fixed", slots: 9 },
      prefill: { kind: "bounded", mostTokens: 8_000, smallTokens: 2_000 },
    });
    fixture.request("a", { promptTokens: 6_000 });
    expect(fixture.request("long", { promptTokens: 9_000 })).to.deep.equal([]);
    expect(fixture.request("other", { promptTokens: 4_500 })).to.deep.equal([]);
    expect(fixture.request("small", { promptTokens: 500 }))
      .to.deep.equal(["+small"]);
    fixture.renew("a", 1, 400);
    expect(fixture.tick(400)).to.deep.equal(["+long"]);
  });

  it("gives a partner its share while the other floods the queue", () => {
    const fixture = new Fixture();
    for (let number = 0; number < 20; number += 1) {
      fixture.request(`z${number}`);
    }
    fixture.request("o1", { partner: "okonkwo" });
    fixture.request("o2", { partner: "okonkwo" });
    expect(fixture.release("z0", 4_000)).to.deep.equal(["+o1"]);
    expect(fixture.release("z1", 4_000)).to.deep.equal(["+o2"]);
  });

  it("frees a grant that isn't renewed within two seconds", () => {
    const fixture = new Fixture();
    fixture.request("a");
    fixture.request("b");
    fixture.request("c");
    fixture.renew("b", 1, 1_400);
    expect(fixture.tick(1_900)).to.deep.equal(["-a expired", "+c"]);
  });

  it("extends a grant whose request is repeated", () => {
    const fixture = new Fixture();
    fixture.request("a");
    fixture.request("b");
    fixture.request("c");
    fixture.request("a", {}, 1_000);
    fixture.renew("b", 1, 1_000);
    expect(fixture.tick(2_000)).to.deep.equal([]);
  });

  it("never grants a slot to an expired attempt", () => {
    const fixture = new Fixture();
    fixture.request("a");
    fixture.tick(1_900);
    expect(fixture.request("a", {}, 1_950)).to.deep.equal(["-a expired"]);
  });

  it("grants nothing on a leaving target", () => {
    const fixture = new Fixture();
    fixture.request("a");
    fixture.request("b");
    fixture.request("c");
    const targets = [{ ...TARGET, leaving: true }];
    const input = { kind: "targets_changed", targets } as const;
    const step = fixture.set.handle(input, 10);
    expect(listResponses(step.effects)).to.deep.equal(["-c leaving"]);
    expect(fixture.release("a")).to.deep.equal([]);
    expect(fixture.request("d")).to.deep.equal(["-d leaving"]);
  });

  it("refuses a new program when its expected wait is too long", () => {
    const fixture = new Fixture();
    let refused: string[] = [];
    for (let number = 0; number < 20; number += 1) {
      refused = fixture.request(`a${number}`);
    }
    expect(refused).to.deep.equal(["-a19 queue_full"]);
    expect(fixture.request("begun", { attainedMs: 5 })).to.deep.equal([]);
  });

  it("counts running slots that an earlier dispatcher granted", () => {
    const fixture = new Fixture();
    fixture.renew("x", 10, 100);
    fixture.request("a", {}, 100);
    expect(fixture.request("b", {}, 100)).to.deep.equal([]);
  });

  it("lowers the adaptive limit on slow tokens and raises it again", () => {
    const fixture = new Fixture({
      limit: {
        kind: "adaptive",
        initialSlots: 10,
        leastSlots: 2,
        mostSlots: 100,
        targetTokenMs: 36,
        windowMs: 1_000,
      },
    });
    for (let number = 0; number < 12; number += 1) {
      fixture.request(`a${number}`, { attainedMs: 1 });
    }
    runWindow(fixture, 0, 5);
    expect(fixture.getLimit()).to.be.below(10);
    const low = fixture.getLimit() ?? 0;
    runWindow(fixture, 2_000, 40);
    expect(fixture.getLimit()).to.be.above(low);
  });
});

/** Renews every slot each 500 ms for two seconds, with `tokens` tokens. */
function runWindow(fixture: Fixture, fromMs: number, tokens: number): void {
  for (let atMs = fromMs; atMs <= fromMs + 2_000; atMs += 500) {
    for (let number = 0; number < 10; number += 1) {
      fixture.renew(`a${number}`, tokens, atMs);
    }
    fixture.tick(atMs);
  }
}
