import type { PlatformRequest, PlatformResponse } from "@camphorlock/types";
import { PlatformClient } from "@camphorlock/objects";
import { expect } from "chai";
import { type RunningPlatform, servePlatform } from "./serve_platform.ts";

const VALUE = new Uint8Array([0, 255, 10]);
const PUT: PlatformRequest = {
  kind: "put",
  key: "ledger/7/1 a",
  value: VALUE,
  condition: { kind: "absent" },
};
const GET: PlatformRequest = { kind: "get", key: "ledger/7/1 a" };
const LOST: PlatformResponse = { kind: "failed", reason: "lost" };
const REFUSED: PlatformResponse = { kind: "failed", reason: "refused" };

describe("platform client and stand-in", () => {
  let platform: RunningPlatform;
  let client: PlatformClient;
  const clients: PlatformClient[] = [];

  beforeEach(async () => {
    platform = await servePlatform();
    client = createClient({});
  });

  afterEach(async () => {
    await Promise.all(clients.splice(0).map((each) => each.close()));
    await platform.stop();
  });

  function createClient(
    options: Partial<ConstructorParameters<typeof PlatformClient>[0]>,
  ): PlatformClient {
    const baseUrl = `http://${platform.address}`;
    const created = new PlatformClient({
      baseUrl,
      callTimeoutMs: 300,
      ...options,
    });
    clients.push(created);
    return created;
  }

  it("stores, reads, lists and deletes objects with conditions", async () => {
    const { key } = GET as { key: string };
    expect(await client.call(GET)).to.deep.equal({ kind: "absent", key });
    expect(await client.call(PUT)).to.deep.equal({
      kind: "stored",
      key,
      version: 1,
    });
    expect(await client.call(PUT)).to.deep.equal({
      kind: "conflict",
      key,
      version: 1,
    });
    const found = await client.call(GET);
    expect(found.kind === "found" && [...found.object.value]).to.deep.equal(
      [...VALUE],
    );
    const listed = await client.call({
      kind: "list",
      prefix: "ledger/",
      limit: 9,
    });
    expect(listed).to.deep.equal({
      kind: "listed",
      keys: [{ key, version: 1 }],
    });
    const condition = { kind: "version", version: 1 } as const;
    expect(await client.call({ kind: "delete", key, condition })).to.deep
      .equal({ kind: "deleted", key });
  });

  it("reports a lost response after the write took effect", async () => {
    const durationMs = 60_000;
    platform.control.startFault({ kind: "lost_answer", share: 1, durationMs });
    expect(await client.call(PUT)).to.deep.equal(LOST);
    platform.control.removeFaults();
    expect((await client.call(GET)).kind).to.equal("found");
  });

  it("times out a call that gets no response", async () => {
    platform.control.startFault({ kind: "silent", durationMs: 60_000 });
    expect(await client.call(PUT)).to.deep.equal(LOST);
    platform.control.removeFaults();
    expect((await client.call(GET)).kind).to.equal("absent");
  });

  it("distinguishes rate limits from an outage or no listener", async () => {
    platform.control.startFault({ kind: "outage", durationMs: 60_000 });
    expect(await client.call(PUT)).to.deep.equal(REFUSED);
    platform.control.removeFaults();
    platform.control.startFault({
      kind: "throttled",
      share: 1,
      durationMs: 60_000,
    });
    expect(await client.call(PUT)).to.deep.equal({
      kind: "failed",
      reason: "rate_limited",
    });
    await platform.stop();
    expect(await createClient({}).call(PUT)).to.deep.equal(REFUSED);
  });

  it("responds to a watch as soon as a key changes", async () => {
    const first = await client.call({
      kind: "watch",
      prefix: "ledger/",
      afterPosition: 0,
    });
    expect(first).to.deep.equal({ kind: "changed", keys: [], position: 0 });
    await client.call({ ...PUT, key: "other" } as PlatformRequest);
    const waiting = client.call({
      kind: "watch",
      prefix: "ledger/",
      afterPosition: 1,
    });
    await client.call(PUT);
    const keys = [{ key: "ledger/7/1 a", version: 2 }];
    expect(await waiting).to.deep.equal({ kind: "changed", keys, position: 2 });
  });

  it("responds to a watch without a change after its wait time", async () => {
    await client.call(PUT);
    const shortWaitClient = createClient({ watchWaitMs: 50 });
    const response = await shortWaitClient.call({
      kind: "watch",
      prefix: "",
      afterPosition: 1,
    });
    expect(response).to.deep.equal({ kind: "changed", keys: [], position: 1 });
  });

  it("refuses calls locally beyond the client's own rate", async () => {
    const limited = createClient({ writesPerSecond: 1, maxQueueMs: 0 });
    const responses = [await limited.call(PUT), await limited.call(PUT)];
    expect(responses.map(({ kind }) => kind)).to.deep.equal([
      "stored",
      "failed",
    ]);
    expect(platform.control.getCounts().writes).to.equal(1);
  });
});
