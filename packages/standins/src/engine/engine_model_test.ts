import { expect } from "chai";
import { EngineModel } from "./engine_model.ts";
import {
  DEFAULT_ENGINE_SETTINGS,
  type EngineOutput,
  type EngineSettings,
  type GenerateRequest,
} from "./engine_types.ts";

const SETTINGS: EngineSettings = {
  ...DEFAULT_ENGINE_SETTINGS,
  memoryTokens: 10_000,
  cacheEventLoss: 0,
};

function buildRequest(
  attemptId: string,
  programId: string,
  promptTokens: number,
): GenerateRequest {
  return {
    attemptId,
    programId,
    model: "m",
    promptTokens,
    parts: [
      { key: "agent", tokens: 100, shared: true },
      { key: programId, tokens: promptTokens, shared: false },
    ],
    storeKey: programId,
    completionTokens: 10,
    producedTokens: 0,
  };
}

function runAllSteps(engine: EngineModel): EngineOutput[] {
  const outputs: EngineOutput[] = [];
  while (engine.getNextAtMs() < Infinity) {
    outputs.push(...engine.handle({ kind: "advance" }, engine.getNextAtMs()));
  }
  return outputs;
}

function findCompletion(
  outputs: EngineOutput[],
  attemptId: string,
): EngineOutput & { kind: "completed" } {
  for (const output of outputs) {
    if (output.kind === "completed" && output.attemptId === attemptId) {
      return output;
    }
  }
  throw new Error(`${attemptId} didn't complete`);
}

describe("EngineModel", () => {
  it("produces every token and reuses a program's cached prefix", () => {
    const engine = new EngineModel(SETTINGS);
    const request = buildRequest("a1", "p", 1_000);
    engine.handle({ kind: "generate", request }, 0);
    const first = runAllSteps(engine);
    const tokens = first.filter((each) => each.kind === "tokens");
    expect(tokens).to.have.length(10);
    const next = buildRequest("a2", "p", 1_200);
    engine.handle({ kind: "generate", request: next }, 10_000);
    const second = findCompletion(runAllSteps(engine), "a2");
    expect(second.cachedTokens).to.equal(1_010);
  });

  it("takes longer per token in a larger batch", () => {
    const alone = new EngineModel(SETTINGS);
    const request = buildRequest("a", "p", 200);
    alone.handle({ kind: "generate", request }, 0);
    const aloneMs = findCompletion(runAllSteps(alone), "a").atMs;
    const shared = new EngineModel(SETTINGS);
    for (let number = 0; number < 20; number += 1) {
      const other = buildRequest(`o${number}`, `o${number}`, 200);
      shared.handle({ kind: "generate", request: other }, 0);
    }
    shared.handle({ kind: "generate", request }, 0);
    const sharedMs = findCompletion(runAllSteps(shared), "a").atMs;
    expect(sharedMs).to.be.greaterThan(aloneMs * 1.4);
  });

  it("makes a short prompt wait behind a long prefill", () => {
    const engine = new EngineModel(SETTINGS);
    const long = buildRequest("long", "l", 9_000);
    engine.handle({ kind: "generate", request: long }, 0);
    const short = buildRequest("short", "s", 200);
    engine.handle({ kind: "generate", request: short }, 1);
    const first = runAllSteps(engine).find((each) =>
      each.kind === "tokens" && each.attemptId === "short"
    );
    expect(first?.atMs).to.be.greaterThan(400);
  });

  it("evicts the least recently used prefix and reports it late", () => {
    const engine = new EngineModel(SETTINGS);
    const outputs: EngineOutput[] = [];
    for (const number of [1, 2, 3]) {
      const name = `p${number}`;
      const request = buildRequest(name, name, 4_000);
      engine.handle({ kind: "generate", request }, number * 10_000);
      outputs.push(...runAllSteps(engine));
    }
    const evicted = outputs.flatMap((each) =>
      each.kind === "cache_event" && each.event.kind === "evicted"
        ? [each.event.key]
        : []
    );
    expect(evicted).to.deep.equal(["p1"]);
    expect(engine.getTrueLoad().memoryUsedTokens).to.be.at.most(10_000);
  });

  it("evicts a released program's prefixes but keeps shared ones", () => {
    const engine = new EngineModel(SETTINGS);
    const request = buildRequest("a", "p", 1_000);
    engine.handle({ kind: "generate", request }, 0);
    runAllSteps(engine);
    const order = { kind: "release", programId: "p" } as const;
    engine.handle({ kind: "order", order }, 5_000);
    expect(engine.listPrefixes().map((each) => each.key))
      .to.deep.equal(["agent"]);
  });

  it("refuses an order with an old fencing token", () => {
    const engine = new EngineModel(SETTINGS);
    const newer = { kind: "load_model", model: "b", fence: 2 } as const;
    const older = { kind: "load_model", model: "a", fence: 1 } as const;
    const done = engine.handle({ kind: "order", order: newer }, 0);
    const fenced = engine.handle({ kind: "order", order: older }, 1);
    expect(done[0]?.kind).to.equal("order_done");
    expect(fenced[0]).to.deep.include({ kind: "order_fenced", highest: 2 });
  });

  it("rejects a duplicate attempt and stops a cancelled one", () => {
    const engine = new EngineModel(SETTINGS);
    const request = buildRequest("a", "p", 200);
    engine.handle({ kind: "generate", request }, 0);
    const again = engine.handle({ kind: "generate", request }, 1);
    expect(again[0]?.kind).to.equal("rejected");
    const cancelled = engine.handle({ kind: "cancel", attemptId: "a" }, 2);
    expect(cancelled[0]?.kind).to.equal("cancelled");
    expect(engine.getTrueLoad().running).to.equal(0);
  });

  it("reports its load after the lag", () => {
    const engine = new EngineModel(SETTINGS);
    const request = buildRequest("a", "p", 5_000);
    engine.handle({ kind: "generate", request }, 0);
    expect(engine.getReportedLoad(10).running).to.equal(0);
    expect(engine.getTrueLoad().running).to.equal(1);
  });
});
