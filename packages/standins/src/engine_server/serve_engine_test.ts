import type {
  AttemptEvent,
  AttemptOrder,
  ChatMessage,
} from "@camphorlock/types";
import { EngineClient } from "@camphorlock/engines";
import { expect } from "chai";
import { DEFAULT_ENGINE_SETTINGS, EngineModel } from "../engine/mod.ts";
import { buildCompletionText } from "./completion_text.ts";
import { type RunningEngine, serveEngine } from "./serve_engine.ts";

const MAX_TOKENS = 64;
const PROGRAM_ID = "p0001-a";
const SETTINGS = {
  ...DEFAULT_ENGINE_SETTINGS,
  stepBaseMs: 1,
  cacheEventDelayMs: 0,
  cacheEventLoss: 0,
  models: ["m"],
};
const FIRST_MESSAGES: readonly ChatMessage[] = [
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
    programId: PROGRAM_ID,
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

  it("reuses the cached prefix of a program's previous turn", async () => {
    const { text } = buildCompletionText(FIRST_MESSAGES, MAX_TOKENS);
    const first = await run(buildOrder("a1", FIRST_MESSAGES));
    expect(first).to.include({ kind: "completed", text });
    expect(first).to.have.nested.property("usage.cachedTokens", 0);
    const next = [
      ...FIRST_MESSAGES,
      { role: "assistant", content: text },
      { role: "user", content: "and of grate 13?" },
    ] as const;
    const second = await run(buildOrder("a2", next));
    expect(second).to.have.nested.property("usage.cachedTokens")
      .that.is.greaterThan(100);
  });

  it("holds no memory of a program after its release", async () => {
    await run(buildOrder("a1", FIRST_MESSAGES));
    expect(await sumHeld()).to.be.greaterThan(0);
    const { events } = (await client.readCacheEvents(0))._unsafeUnwrap();
    expect(events.map(({ kind }) => kind)).to.include("stored");
    await client.releaseProgram(PROGRAM_ID);
    expect(await sumHeld()).to.equal(0);
  });

  it("holds no memory after a cancellation and a release", async () => {
    const endless = [{ role: "user", content: "[answer_tokens=64]" }] as const;
    const running = client.runAttempt(buildOrder("a1", endless), () => {});
    while (!engine.control.isRunning("a1")) await waitOneMs();
    await client.releaseProgram(PROGRAM_ID);
    running.cancel();
    while (engine.control.isRunning("a1")) await waitOneMs();
    await client.releaseProgram(PROGRAM_ID);
    expect(await sumHeld()).to.equal(0);
  });

  it("rejects requests for a model until it's loaded", async () => {
    expect(await run(buildOrder("a1", FIRST_MESSAGES, "other"))).to.include({
      kind: "rejected",
      notRun: true,
    });
    expect(engine.control.runs).to.have.length(0);
    const order = { kind: "load_model", model: "other", fence: 1 } as const;
    await client.runOrder(order);
    expect((await client.listModels())._unsafeUnwrap()).to.include("other");
    const second = await run(buildOrder("a2", FIRST_MESSAGES, "other"));
    expect(second.kind).to.equal("completed");
  });

  it("doesn't run a duplicate attempt", async () => {
    await run(buildOrder("a1", FIRST_MESSAGES));
    expect(await run(buildOrder("a1", FIRST_MESSAGES))).to.include({
      kind: "rejected",
      status: 409,
      notRun: false,
    });
    expect(engine.control.runs).to.have.length(1);
  });
});

function waitOneMs(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 1));
}
