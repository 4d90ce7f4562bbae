import type {
  AttemptOrder,
  CallerResponse,
  ProgramView,
} from "@camphorlock/types";
import { expect } from "chai";
import {
  MODEL_CALL,
  ORDER_CALL,
  OwnerFixture,
  PROGRAM,
  SPEC,
} from "./owner_fixture_test.ts";

function getLast(responses: CallerResponse[]): CallerResponse {
  const last = responses.at(-1);
  if (last === undefined) throw new Error("the request has no response");
  return last;
}

function getStatus(responses: CallerResponse[]): string {
  const last = getLast(responses);
  return last.kind === "outcome" ? last.outcome.status : last.kind;
}

function getSent(fixture: OwnerFixture, at = 0): AttemptOrder {
  const order = fixture.sent[at];
  if (order === undefined) throw new Error("no such attempt was sent");
  return order;
}

function showProgram(fixture: OwnerFixture): ProgramView {
  const request = fixture.request({ kind: "show_program", programId: PROGRAM });
  fixture.settle();
  const response = getLast(fixture.responsesTo(request));
  if (response.kind !== "program") throw new Error(response.kind);
  return response.program;
}

describe("the owner of a shard", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    fixture = new OwnerFixture();
    fixture.create();
  });

  it("sends no attempt before reservation and intent are durable", () => {
    fixture.run("k", ORDER_CALL);
    const [slot] = fixture.listSent("slot_request");
    fixture.handle({
      kind: "slot",
      message: {
        kind: "slot_granted",
        attemptId: slot?.attemptId ?? "",
        targetId: "e1",
        expiresInMs: 2_000,
      },
    });
    expect(fixture.sent).to.have.length(0);
    fixture.settle();
    expect(fixture.sent).to.have.length(1);
  });

  it("sends the outcome only once it is durable, after the text", () => {
    const request = fixture.run("k", MODEL_CALL);
    fixture.settle();
    fixture.grantAll();
    const { attemptId } = getSent(fixture);
    fixture.report(attemptId, {
      kind: "text",
      offset: 0,
      text: "12",
      tokens: 1,
    });
    fixture.complete(attemptId, "12 lira");
    expect(getLast(fixture.responsesTo(request)).kind).to.equal("text");
    fixture.settle();
    expect(getStatus(fixture.responsesTo(request))).to.equal("completed");
  });

  it("runs a call once, however often its key is sent", () => {
    const first = fixture.run("k", ORDER_CALL);
    const second = fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.complete(getSent(fixture).attemptId, "done");
    fixture.settle();
    const third = fixture.run("k", ORDER_CALL);
    fixture.settle();
    expect(fixture.sent).to.have.length(1);
    for (const request of [first, second, third]) {
      expect(getStatus(fixture.responsesTo(request))).to.equal("completed");
    }
  });

  it("refuses a key that was used for another call", () => {
    fixture.run("k", ORDER_CALL);
    const request = fixture.run("k", MODEL_CALL);
    const response = getLast(fixture.responsesTo(request));
    expect(response).to.have.nested.property("failure.code", 1005);
  });

  it("runs the calls of a program in the order of acceptance", () => {
    fixture.run("a", ORDER_CALL);
    fixture.run("b", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    expect(fixture.sent).to.have.length(1);
    fixture.complete(getSent(fixture).attemptId, "one");
    expect(fixture.listSent("slot_request")).to.have.length(1);
    fixture.settle();
    fixture.grantAll();
    expect(fixture.sent).to.have.length(2);
  });

  it("never retries a broken non-idempotent call", () => {
    const request = fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    const { attemptId } = getSent(fixture);
    fixture.report(attemptId, { kind: "broken", detail: "reset" });
    fixture.settle();
    fixture.grantAll();
    expect(fixture.sent).to.have.length(1);
    expect(getStatus(fixture.responsesTo(request))).to.equal("unknown");
    const repeat = fixture.run("k", ORDER_CALL);
    expect(getStatus(fixture.responsesTo(repeat))).to.equal("unknown");
  });

  it("retries a non-idempotent call elsewhere if it wasn't sent", () => {
    fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    const { attemptId, targetId } = getSent(fixture);
    fixture.report(attemptId, { kind: "not_sent", detail: "refused" });
    fixture.settle();
    fixture.grantAll();
    expect(getSent(fixture, 1).targetId).not.to.equal(targetId);
    expect(getSent(fixture, 1).attemptId).not.to.equal(attemptId);
  });

  it("resumes from the received text when a model attempt breaks", () => {
    fixture.run("k", MODEL_CALL);
    fixture.settle();
    fixture.grantAll();
    const { attemptId } = getSent(fixture);
    fixture.report(attemptId, {
      kind: "text",
      offset: 0,
      text: "12",
      tokens: 1,
    });
    fixture.report(attemptId, { kind: "broken", detail: "reset" });
    fixture.settle();
    fixture.grantAll();
    expect(getSent(fixture, 1).prefixText).to.equal("12");
  });

  it("reports not_run only if no attempt can have reached a target", () => {
    const request = fixture.run("k", MODEL_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.report(getSent(fixture).attemptId, { kind: "broken", detail: "" });
    fixture.targets = [];
    fixture.settle();
    fixture.nowMs = 60_000;
    fixture.handle({ kind: "tick" });
    fixture.settle();
    expect(getStatus(fixture.responsesTo(request))).to.equal("failed");
  });

  it("accepts a key again after its call ended as not_run", () => {
    fixture.targets = [];
    const first = fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.nowMs = 60_000;
    fixture.handle({ kind: "tick" });
    fixture.settle();
    expect(getStatus(fixture.responsesTo(first))).to.equal("not_run");
    fixture.targets = ["e1"];
    const second = fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.complete(getSent(fixture).attemptId, "done");
    fixture.settle();
    expect(getStatus(fixture.responsesTo(second))).to.equal("completed");
  });

  it("refuses a call beyond the budget, after a confirmation", () => {
    const spec = { ...SPEC, programId: "p0000-2", budgetMicros: 900 };
    fixture.create(spec);
    const call = { kind: "run_call", programId: "p0000-2" } as const;
    const rest = { call: ORDER_CALL, fromOffset: 0 };
    fixture.request({ ...call, ...rest, key: "a" });
    const request = fixture.request({ ...call, ...rest, key: "b" });
    expect(fixture.responsesTo(request)).to.have.length(0);
    fixture.settle();
    const response = getLast(fixture.responsesTo(request));
    expect(response).to.have.nested.property("failure.code", 3001);
  });

  it("counts a lost attempt against the budget", () => {
    fixture.create({ ...SPEC, programId: "p0000-2", budgetMicros: 250 });
    const call = { kind: "run_call", programId: "p0000-2" } as const;
    fixture.request({ ...call, key: "a", call: MODEL_CALL, fromOffset: 0 });
    fixture.settle();
    fixture.grantAll();
    fixture.report(getSent(fixture).attemptId, { kind: "broken", detail: "" });
    fixture.settle();
    fixture.grantAll();
    expect(fixture.sent).to.have.length(1);
  });

  it("releases an ended program's memory only at engines that hold it", () => {
    fixture.run("k", MODEL_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.complete(getSent(fixture).attemptId, "12 lira");
    fixture.settle();
    fixture.request({ kind: "end_program", programId: PROGRAM });
    fixture.settle();
    const orders = fixture.effects
      .filter((effect) => effect.kind === "order_target");
    expect(orders).to.have.length(1);
    expect(orders[0]).to.have.property("targetId", "e1");
    fixture.nowMs += 5_000;
    fixture.handle({ kind: "tick" });
    const repeated = fixture.effects
      .filter((effect) => effect.kind === "order_target");
    expect(repeated).to.have.length(2);
    fixture.handle({
      kind: "order_result",
      number: 2,
      result: { kind: "done" },
    });
    expect(fixture.ledger.entries.at(-1)?.kind).to.equal("memory_released");
  });

  it("stores only the new messages of a turn", () => {
    fixture.run("a", MODEL_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.complete(getSent(fixture).attemptId, "12 lira");
    fixture.settle();
    const messages = [
      ...MODEL_CALL.kind === "model" ? MODEL_CALL.messages : [],
      { role: "assistant", content: "12 lira" } as const,
      { role: "user", content: "and in silver?" } as const,
    ];
    const call = { kind: "model", model: "m", messages, maxTokens: 5 } as const;
    fixture.run("b", call);
    const entry = fixture.ledger.entries.at(-1);
    if (entry?.kind !== "call_accepted") throw new Error("no call_accepted");
    expect(entry.call).to.have.property("messages").with.length(1);
    fixture.settle();
    fixture.grantAll();
    expect(getSent(fixture, 1).call).to.deep.equal(call);
    const next = fixture.takeOver();
    const resumed = next.effects
      .find((effect) => effect.kind === "resume_attempt");
    expect(resumed).to.have.nested.property("order.call").deep.equal(call);
  });
});

describe("the owner of a shard with shared budgets", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    fixture = new OwnerFixture();
    fixture.create();
  });

  it("requests no slot until the shared budget is drawn", () => {
    fixture.reservation = { kind: "waiting" };
    fixture.run("k", ORDER_CALL);
    fixture.settle();
    expect(fixture.listSent("slot_request")).to.have.length(0);
    fixture.reservation = { kind: "reserved", parts: [] };
    fixture.handle({ kind: "tick" });
    fixture.settle();
    expect(fixture.listSent("slot_request")).to.have.length(1);
  });

  it("refuses a call whose budget draw times out", () => {
    fixture.reservation = { kind: "waiting" };
    const request = fixture.run("k", ORDER_CALL);
    fixture.nowMs = 10_000;
    fixture.handle({ kind: "tick" });
    fixture.settle();
    const response = getLast(fixture.responsesTo(request));
    expect(response).to.have.nested.property("failure.code", 6001);
  });

  it("settles and charges a call once", () => {
    fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.complete(getSent(fixture).attemptId, "done");
    fixture.settle();
    fixture.run("k", ORDER_CALL);
    fixture.settle();
    expect(fixture.settled).to.deep.equal([500]);
    expect(fixture.charged).to.have.length(1);
  });
});

describe("a new owner of a shard", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    fixture = new OwnerFixture();
    fixture.create();
  });

  it("never sends a non-idempotent call that has an intent", () => {
    fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    const next = fixture.takeOver();
    const request = next.run("k", ORDER_CALL);
    expect(next.sent).to.have.length(0);
    const { attemptId } = getSent(fixture);
    next.report(attemptId, { kind: "not_sent", detail: "no answer" });
    next.settle();
    next.grantAll();
    expect(next.sent).to.have.length(0);
    expect(getStatus(next.responsesTo(request))).to.equal("unknown");
  });

  it("stores the outcome that the target reports", () => {
    fixture.run("k", ORDER_CALL);
    fixture.settle();
    fixture.grantAll();
    const next = fixture.takeOver();
    const request = next.run("k", ORDER_CALL);
    next.complete(getSent(fixture).attemptId, "captured");
    next.settle();
    expect(getStatus(next.responsesTo(request))).to.equal("completed");
  });

  it("runs an accepted call that had no attempt", () => {
    fixture.run("k", ORDER_CALL);
    const next = fixture.takeOver();
    next.grantAll();
    expect(next.sent).to.have.length(1);
  });

  it("keeps histories, budgets and results", () => {
    fixture.run("k", MODEL_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.complete(getSent(fixture).attemptId, "12 lira");
    fixture.settle();
    const before = showProgram(fixture);
    const next = fixture.takeOver();
    expect(showProgram(next)).to.deep.equal(before);
    const repeat = next.run("k", MODEL_CALL);
    expect(getStatus(next.responsesTo(repeat))).to.equal("completed");
    const other = fixture.takeOverFromSnapshot();
    expect(showProgram(other)).to.deep.equal(before);
    const again = other.run("k", MODEL_CALL);
    expect(getStatus(other.responsesTo(again))).to.equal("completed");
  });

  it("continues to release the memory of ended programs", () => {
    fixture.run("k", MODEL_CALL);
    fixture.settle();
    fixture.grantAll();
    fixture.complete(getSent(fixture).attemptId, "12 lira");
    fixture.settle();
    fixture.request({ kind: "end_program", programId: PROGRAM });
    const next = fixture.takeOver();
    const orders = next.effects
      .filter((effect) => effect.kind === "order_target");
    expect(orders).to.have.length(1);
  });
});
