import type {
  AttemptEvent,
  AttemptOrder,
  ChatMessage,
} from "@camphorlock/types";
import { EngineClient } from "@camphorlock/engines";
import { expect } from "chai";
import { DEFAULT_ENGINE_SETTINGS, EngineModel } from "../engine/mod.ts";
import { buildAnswerText } from "./answer_text.ts";
import { type RunningEngine, serveEngine } from "./serve_engine.ts";

const MAX_TOKENS = 64;
const PROGRAM = "p0001-a";
const SETTINGS = {
  ...DEFAULT_ENGINE_SETTINGS,
  stepBaseMs: 1,
  cacheEventDelayMs: 0,
  cacheEventLoss: 0,
  models: ["m"],
};
const FIRST: readonly ChatMessage[] = [
  { role: "system", content: "You quote castings for dealers. ".repeat(20) },
  { role: "user", content: "price of grate 12 [answer_tokens=12]" },
];

function buildOrder(
  attemptId: string,
  messages: readonly ChatMessage[],
  model = "m",
): AttemptOrder {
  return {
    attemptId,
    programId: PROGRAM,
    callId: "c",
    targetId: "t",
    call: { kind: "model", model, messages, maxTokens: MAX_TOKENS },
    prefixText: "",
    progressTimeoutMs: 2_000,
  };
}

describe("engine stand-in with the batching model", () => {
  let engine: RunningEngine;
  let client: EngineClient;

  beforeEach(async () => {
    engine = await serveEngine({ core: new EngineModel(SETTINGS) });
    client = new EngineClient({ address: engine.address });
  });

  afterEach(async () => {
    await client.close();
    await engine.stop();
  });

  function run(order: AttemptOrder): Promise<AttemptEvent> {
    return new Promise((resolve) => {
      client.runAttempt(order, (event) => {
        if (event.kind !== "text") resolve(event);
      });
    });
  }

  async function sumHeld(): Promise<number> {
    const held = (await client.listHeldMemory())._unsafeUnwrap();
    return held.reduce((sum, each) => sum + each.tokens, 0);
  }

  it("finds the prefix of a program's turn before in its cache", async () => {
    const { text } = buildAnswerText(FIRST, MAX_TOKENS);
    const first = await run(buildOrder("a1", FIRST));
    expect(first).to.include({ kind: "completed", text });
    expect(first).to.have.nested.property("usage.cachedTokens", 0);
    const next = [
      ...FIRST,
      { role: "assistant", content: text },
      { role: "user", content: "and of grate 13?" },
    ] as const;
    const second = await run(buildOrder("a2", next));
    expect(second).to.have.nested.property("usage.cachedTokens")
      .that.is.greaterThan(100);
  });

  it("holds nothing of a program after its release", async () => {
    await run(buildOrder("a1", FIRST));
    expect(await sumHeld()).to.be.greaterThan(0);
    const { events } = (await client.readCacheEvents(0))._unsafeUnwrap();
    expect(events.map(({ kind }) => kind)).to.include("stored");
    await client.releaseProgram(PROGRAM);
    expect(await sumHeld()).to.equal(0);
  });

  it("holds nothing after a release that follows the stop", async () => {
    const endless = [{ role: "user", content: "[answer_tokens=64]" }] as const;
    const running = client.runAttempt(buildOrder("a1", endless), () => {});
    while (!engine.control.isRunning("a1")) await nextTurn();
    await client.releaseProgram(PROGRAM);
    running.cancel();
    while (engine.control.isRunning("a1")) await nextTurn();
    await client.releaseProgram(PROGRAM);
    expect(await sumHeld()).to.equal(0);
  });

  it("runs nothing of a model that it doesn't serve", async () => {
    expect(await run(buildOrder("a1", FIRST, "other"))).to.include({
      kind: "rejected",
      notRun: true,
    });
    expect(engine.control.runs).to.have.length(0);
    const order = { kind: "load_model", model: "other", fence: 1 } as const;
    await client.runOrder(order);
    expect((await client.listModels())._unsafeUnwrap()).to.include("other");
    const second = await run(buildOrder("a2", FIRST, "other"));
    expect(second.kind).to.equal("completed");
  });

  it("runs a known attempt no second time", async () => {
    await run(buildOrder("a1", FIRST));
    expect(await run(buildOrder("a1", FIRST))).to.include({
      kind: "rejected",
      status: 409,
      notRun: false,
    });
    expect(engine.control.runs).to.have.length(1);
  });
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 1));
}
