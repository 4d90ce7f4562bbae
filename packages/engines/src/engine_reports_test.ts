import type { AttemptEvent, AttemptOrder } from "@camphorlock/types";
import { type RunningEngine, serveEngine } from "@camphorlock/standins";
import { expect } from "chai";
import { EngineClient } from "./engine_client.ts";

const ORDER: AttemptOrder = {
  attemptId: "a1",
  programId: "p0001-a",
  callId: "c1",
  targetId: "engine-1",
  call: {
    kind: "model",
    model: "m",
    messages: [{ role: "user", content: "trace pattern 12" }],
    maxTokens: 10,
  },
  prefixText: "",
  progressTimeoutMs: 2_000,
};

describe("engine reports and memory", () => {
  let engines: RunningEngine[];
  let clients: EngineClient[];

  beforeEach(async () => {
    const options = { tokenMs: 1, firstTokenMs: 1 };
    engines = [await serveEngine(options), await serveEngine(options)];
    clients = engines.map(({ address }) => new EngineClient({ address }));
  });

  afterEach(async () => {
    await Promise.all(clients.map((client) => client.close()));
    await Promise.all(engines.map((engine) => engine.stop()));
  });

  function run(
    client: EngineClient,
    order: AttemptOrder,
  ): Promise<AttemptEvent> {
    return new Promise((resolve) => {
      client.runAttempt(order, (event) => {
        if (event.kind !== "text") resolve(event);
      });
    });
  }

  function getClients(): [EngineClient, EngineClient] {
    const [first, second] = clients;
    if (first === undefined || second === undefined) throw new Error("clients");
    return [first, second];
  }

  it("lists held memory by program, and none after its release", async () => {
    const [client] = getClients();
    await run(client, ORDER);
    const held = (await client.listHeldMemory())._unsafeUnwrap();
    expect(held.map(({ programId }) => programId)).to.deep.equal(["p0001-a"]);
    expect((await client.readLoad())._unsafeUnwrap().memoryUsedTokens).to.equal(
      held[0]?.tokens,
    );
    await client.releaseProgram("p0001-a");
    expect((await client.listHeldMemory())._unsafeUnwrap()).to.deep.equal([]);
  });

  it("counts the cache events that are missing", async () => {
    const [client] = getClients();
    await run(client, ORDER);
    await client.releaseProgram("p0001-a");
    engines[0]?.control.removeCacheEvent(1);
    const batch = (await client.readCacheEvents(0))._unsafeUnwrap();
    expect(batch.events.map(({ kind }) => kind)).to.deep.equal(["evicted"]);
    expect(batch).to.include({ lastNumber: 2, missing: 1 });
    const next = (await client.readCacheEvents(2))._unsafeUnwrap();
    expect(next).to.deep.equal({ events: [], lastNumber: 2, missing: 0 });
  });

  it("moves a program's KV cache to another engine", async () => {
    const [first, second] = getClients();
    await run(first, ORDER);
    const bytes = (await first.readKvCache("p0001-a"))._unsafeUnwrap();
    expect((await second.writeKvCache("p0001-a", bytes)).isOk()).to.equal(true);
    expect(engines[1]?.control.sumHeldTokens("p0001-a")).to.be.greaterThan(0);
    const none = await first.readKvCache("p0001-b");
    expect(none._unsafeUnwrapErr().name).to.equal("TargetRejected");
  });

  it("fails to read the reports of a stopped engine", async () => {
    const [client] = getClients();
    await engines[0]?.stop();
    const failure = (await client.readLoad())._unsafeUnwrapErr();
    expect(failure.name).to.equal("TargetBroken");
  });
});
