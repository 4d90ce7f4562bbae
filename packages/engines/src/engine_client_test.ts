import type {
  AttemptEvent,
  AttemptOrder,
  ChatMessage,
} from "@camphorlock/types";
import {
  buildCompletionText,
  type RunningEngine,
  serveEngine,
} from "@camphorlock/standins";
import { expect } from "chai";
import { EngineClient } from "./engine_client.ts";

const MAX_TOKENS = 200;

function buildOrder(
  attemptId: string,
  options: { tokens?: number; prefixText?: string; timeoutMs?: number } = {},
): AttemptOrder {
  const content = `quote ${attemptId} [answer_tokens=${options.tokens ?? 20}]`;
  return {
    attemptId,
    programId: "p0001-a",
    callId: "c1",
    targetId: "engine-1",
    call: {
      kind: "model",
      model: "quote-model",
      messages: [{ role: "user", content }],
      maxTokens: MAX_TOKENS,
    },
    prefixText: options.prefixText ?? "",
    progressTimeoutMs: options.timeoutMs ?? 2_000,
  };
}

function getResponseText(order: AttemptOrder): string {
  const messages: readonly ChatMessage[] = order.call.kind === "model"
    ? order.call.messages
    : [];
  return buildCompletionText(messages, MAX_TOKENS).text;
}

/** Collects the events of one attempt. */
class Recorder {
  readonly events: AttemptEvent[] = [];
  readonly #waiters: (() => void)[] = [];

  readonly receive = (event: AttemptEvent): void => {
    this.events.push(event);
    for (const resolve of this.#waiters.splice(0)) resolve();
  };

  get last(): AttemptEvent | undefined {
    return this.events.at(-1);
  }

  get text(): string {
    return this.events.map((each) => each.kind === "text" ? each.text : "")
      .join("");
  }

  async waitFor(isReached: () => boolean): Promise<void> {
    while (!isReached()) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }

  async waitForEnd(): Promise<AttemptEvent | undefined> {
    await this.waitFor(() =>
      this.last !== undefined && this.last.kind !== "text"
    );
    return this.last;
  }
}

describe("engine client", () => {
  let engine: RunningEngine;
  let client: EngineClient;

  beforeEach(async () => {
    engine = await serveEngine({ tokenMs: 2, firstTokenMs: 1 });
    client = new EngineClient({ address: engine.address });
  });

  afterEach(async () => {
    await client.close();
    await engine.stop();
  });

  it("streams a complete response with its usage", async () => {
    const order = buildOrder("a1");
    const recorder = new Recorder();
    client.runAttempt(order, recorder.receive);
    const end = await recorder.waitForEnd();
    expect(end).to.deep.include({
      kind: "completed",
      text: getResponseText(order),
    });
    expect(recorder.text).to.equal(getResponseText(order));
    expect(end).to.have.nested.property("usage.completionTokens", 20);
    const tokens = recorder.events.reduce(
      (sum, each) => sum + (each.kind === "text" ? each.tokens : 0),
      0,
    );
    expect(tokens).to.equal(20);
  });

  it("continues from the text of an earlier attempt", async () => {
    const order = buildOrder("a1");
    const text = getResponseText(order);
    const prefixText = text.slice(0, 31);
    const recorder = new Recorder();
    client.runAttempt({ ...order, prefixText }, recorder.receive);
    const end = await recorder.waitForEnd();
    expect(end).to.deep.include({ kind: "completed", text: text });
    const first = recorder.events[0];
    expect(first?.kind === "text" && first.offset).to.equal(31);
    expect(prefixText + recorder.text).to.equal(text);
  });

  it("reports not_sent when no server listens", async () => {
    await engine.stop();
    const recorder = new Recorder();
    client.runAttempt(buildOrder("a1"), recorder.receive);
    expect((await recorder.waitForEnd())?.kind).to.equal("not_sent");
  });

  it("reports broken when the connection ends after sending", async () => {
    engine.control.silent = true;
    const recorder = new Recorder();
    client.runAttempt(buildOrder("a1"), recorder.receive);
    await waitUntil(() => engine.control.requests === 1);
    await engine.stop();
    expect((await recorder.waitForEnd())?.kind).to.equal("broken");
  });

  it("reports broken when the engine stays silent", async () => {
    engine.control.silent = true;
    const recorder = new Recorder();
    client.runAttempt(buildOrder("a1", { timeoutMs: 100 }), recorder.receive);
    expect(await recorder.waitForEnd()).to.deep.equal({
      kind: "broken",
      detail: "silent for 100 ms",
    });
  });

  it("resumes a stream that stalled, on a fresh connection", async () => {
    const order = buildOrder("a1", { tokens: 100, timeoutMs: 150 });
    const recorder = new Recorder();
    client.runAttempt(order, recorder.receive);
    await recorder.waitFor(() => recorder.events.length > 0);
    engine.control.setOpenStreamsSilent();
    expect((await recorder.waitForEnd())?.kind).to.equal("broken");
    const resumed = new Recorder();
    client.resumeAttempt(order, {
      fromOffset: recorder.text.length,
      onEvent: resumed.receive,
    });
    expect((await resumed.waitForEnd())?.kind).to.equal("completed");
    expect(recorder.text + resumed.text).to.equal(getResponseText(order));
    expect(engine.control.runs).to.have.length(1);
  });

  it("never reports a truncated response as complete", async () => {
    const recorder = new Recorder();
    client.runAttempt(buildOrder("a1", { tokens: 100 }), recorder.receive);
    await recorder.waitFor(() => recorder.events.length > 0);
    engine.control.closeOpenStreams();
    expect((await recorder.waitForEnd())?.kind).to.equal("broken");
  });

  it("reports no text of a response to another attempt", async () => {
    engine.control.mismatchedResponses = 1;
    const recorder = new Recorder();
    client.runAttempt(buildOrder("a1"), recorder.receive);
    expect((await recorder.waitForEnd())?.kind).to.equal("broken");
    expect(recorder.text).to.equal("");
  });

  it("reports a rejected attempt as not run only if the engine states it", async () => {
    engine.control.refusing = true;
    const recorder = new Recorder();
    client.runAttempt(buildOrder("a1"), recorder.receive);
    expect(await recorder.waitForEnd()).to.deep.equal({
      kind: "rejected",
      status: 503,
      detail: "taking no new work",
      notRun: true,
    });
    const resumed = new Recorder();
    client.resumeAttempt(buildOrder("a2"), {
      fromOffset: 0,
      onEvent: resumed.receive,
    });
    expect(await resumed.waitForEnd()).to.deep.include({
      kind: "rejected",
      status: 404,
      notRun: false,
    });
  });

  it("never reports not_sent for a resumed attempt", async () => {
    await engine.stop();
    const recorder = new Recorder();
    client.resumeAttempt(buildOrder("a1"), {
      fromOffset: 0,
      onEvent: recorder.receive,
    });
    expect((await recorder.waitForEnd())?.kind).to.equal("broken");
  });

  it("stops the engine's work when the attempt is cancelled", async () => {
    const recorder = new Recorder();
    const order = buildOrder("a1", { tokens: MAX_TOKENS });
    const running = client.runAttempt(order, recorder.receive);
    await recorder.waitFor(() => recorder.events.length > 0);
    running.cancel();
    await waitUntil(() => !engine.control.isRunning("a1"));
    expect(engine.control.isCancelled("a1")).to.equal(true);
    expect(recorder.events.every((each) => each.kind === "text")).to.equal(
      true,
    );
    expect(engine.control.getLoad().running).to.equal(0);
  });

  it("stops an attempt that its cancellation overtook", async () => {
    engine.control.startDelayMs = 60;
    const order = buildOrder("a1", { tokens: MAX_TOKENS });
    const running = client.runAttempt(order, () => {});
    await waitUntil(() => engine.control.requests === 1);
    running.cancel();
    await waitUntil(() => engine.control.runs.length === 1);
    await waitUntil(() => !engine.control.isRunning("a1"));
    expect(engine.control.isCancelled("a1")).to.equal(true);
  });

  it("stops an attempt that another node started", async () => {
    engine.control.startDelayMs = 60;
    client.runAttempt(buildOrder("a1", { tokens: MAX_TOKENS }), () => {});
    await waitUntil(() => engine.control.requests === 1);
    const other = new EngineClient({ address: engine.address });
    expect(await other.cancelAttempt("a1")).to.deep.equal({ kind: "done" });
    expect(engine.control.isCancelled("a1")).to.equal(true);
    await other.close();
  });

  it("releases the memory of a program", async () => {
    const recorder = new Recorder();
    client.runAttempt(buildOrder("a1"), recorder.receive);
    await recorder.waitForEnd();
    expect(engine.control.sumHeldTokens("p0001-a")).to.be.greaterThan(0);
    expect(await client.releaseProgram("p0001-a")).to.deep.equal({
      kind: "done",
    });
    expect(engine.control.sumHeldTokens("p0001-a")).to.equal(0);
  });

  it("distinguishes a fenced order from a done one", async () => {
    const load = (fence: number): Promise<unknown> =>
      client.runOrder({ kind: "load_model", model: "m", fence });
    expect(await load(7)).to.deep.equal({ kind: "done" });
    expect(await load(6)).to.deep.equal({ kind: "fenced", highest: 7 });
  });
});

async function waitUntil(isReached: () => boolean): Promise<void> {
  while (!isReached()) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}
