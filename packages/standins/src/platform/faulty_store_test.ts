import type { PlatformRequest } from "@camphorlock/types";
import { expect } from "chai";
import { FaultPlan, type PlatformFault } from "./fault_plan.ts";
import { FaultyStore } from "./faulty_store.ts";
import { ObjectStore } from "./object_store.ts";

const PUT: PlatformRequest = {
  kind: "put",
  key: "a",
  value: new Uint8Array(1),
  condition: { kind: "absent" },
};
const GET: PlatformRequest = { kind: "get", key: "a" };

function createStore(fault: PlatformFault): FaultyStore {
  const plan = new FaultPlan({ seed: 3, faults: [fault] });
  return new FaultyStore(new ObjectStore(), plan);
}

describe("faulty store", () => {
  const interval = { fromMs: 0, untilMs: 100 };

  it("refuses a write during an outage without applying it", () => {
    const faulty = createStore({ kind: "outage", ...interval });
    expect(faulty.handle(PUT, 50)).to.deep.equal({
      kind: "answered",
      answer: { kind: "failed", reason: "refused" },
      delayMs: 0,
    });
    expect(faulty.store.handle(GET, 100).kind).to.equal("absent");
    expect(faulty.handle(PUT, 100)).to.have.nested.property("answer.kind")
      .that.equals("stored");
  });

  it("applies a write whose response is lost", () => {
    const faulty = createStore({ kind: "lost_answer", share: 1, ...interval });
    expect(faulty.handle(PUT, 50).kind).to.equal("cut");
    expect(faulty.store.handle(GET, 50).kind).to.equal("found");
  });

  it("applies a delayed write when it's due", () => {
    const faulty = createStore({
      kind: "late_effect",
      share: 1,
      delayMs: 500,
      ...interval,
    });
    expect(faulty.handle(PUT, 50).kind).to.equal("cut");
    expect(faulty.handle(GET, 549)).to.have.nested.property("answer.kind")
      .that.equals("absent");
    expect(faulty.findNextDelayedMs()).to.equal(550);
    expect(faulty.handle(GET, 550)).to.have.nested.property("answer.kind")
      .that.equals("found");
  });

  it("affects the same requests with the same seed", () => {
    const run = (): string => {
      const faulty = createStore({
        kind: "lost_answer",
        share: 0.3,
        ...interval,
      });
      const kinds = Array.from(
        { length: 40 },
        () => faulty.handle(GET, 1).kind,
      );
      return kinds.join();
    };
    expect(run()).to.equal(run());
    expect(run()).to.include("cut").and.to.include("answered");
  });

  it("drops a watch's response during a fault", () => {
    const faulty = createStore({ kind: "lost_answer", share: 1, ...interval });
    faulty.handle(PUT, 1);
    const responses: string[] = [];
    const listener = (each: { kind: string }): void => {
      responses.push(each.kind);
    };
    const request = { kind: "watch", prefix: "", afterPosition: 1 } as const;
    faulty.watch(request, { nowMs: 100, answer: listener });
    faulty.store.handle({ ...PUT, key: "b" } as PlatformRequest, 50);
    expect(responses).to.deep.equal([]);
    faulty.watch(request, { nowMs: 100, answer: listener });
    expect(responses).to.deep.equal(["changed"]);
  });

  it("applies a fault only to keys with its prefix", () => {
    const faulty = createStore({ kind: "silent", prefix: "b", ...interval });
    expect(faulty.handle(GET, 1).kind).to.equal("answered");
    expect(faulty.handle({ kind: "get", key: "b/1" }, 1).kind).to.equal(
      "silent",
    );
  });
});
