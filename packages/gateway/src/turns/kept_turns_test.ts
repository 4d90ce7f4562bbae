import { expect } from "chai";
import { mkdirSync, mkdtempSync, rmSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  waitUntil,
} from "../gateway_fixture_test.ts";
import { GatewayLog } from "../log.ts";
import { DiskVm } from "./disk_vm.ts";

const TOLERANCE = { disks: 1, failureDomains: 0, regions: 0 };
const RETIREMENTS = {
  decodeState: (status: unknown) =>
    status === "emptied" ? "emptied" as const : "requested" as const,
  encodeState: (state: string) => state,
};

/** Responds with the number of bytes received, then with two more events. */
function answerWithEvents(
  body: string,
  response: ServerResponse,
  isWhole = true,
): void {
  response.writeHead(200, { signed: "1" });
  response.write(`id: 1\ndata: got ${body.length}\n\n`);
  response.write("id: 2\nx: 1\ndata: a\ndata: b\n\n");
  if (isWhole) response.end("id: 3\ndata: last\n\n");
  else response.destroy();
}

function findOutput(length: number): string {
  return `got ${length}\na\nb\nlast\n`;
}

describe("kept turns", () => {
  let fixture: GatewayFixture;
  let target: FakeTarget;
  let folder: string;
  let disks: DiskVm[];
  const received: string[] = [];

  beforeEach(async () => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    target = await fixture.addTarget("t1");
    folder = mkdtempSync(join(tmpdir(), "kept-"));
    disks = [];
    received.length = 0;
    target.handle = (request, response) =>
      readBody(request, (body) => {
        received.push(body);
        answerWithEvents(body, response);
      });
  });

  afterEach(async () => {
    for (const disk of disks) disk.close();
    await fixture.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  async function addDisk(vmId: string, isFirstStart = true): Promise<DiskVm> {
    const path = join(folder, vmId);
    mkdirSync(path, { recursive: true });
    const disk = new DiskVm({
      vmId,
      store: fixture.store,
      log: new GatewayLog({ write: (_text, done) => done() }, vmId),
      retirements: RETIREMENTS,
      disk: {
        folder: path,
        place: {
          vmId,
          host: "127.0.0.1",
          port: await findFreePort(),
          failureDomain: vmId,
          region: "north",
        },
        tolerance: TOLERANCE,
        isFirstStart,
        maxDiskBytes: 10_000_000,
        maxTableBytes: 10_000_000,
      },
    });
    disks.push(disk);
    void disk.run();
    await waitUntil(() => fixture.store.get("turnDisks", vmId) !== undefined);
    return disk;
  }

  function sendTurn(
    id: string,
    body: string,
    { previous, gateway = 0, key }: {
      previous?: string;
      gateway?: number;
      key?: string;
    } = {},
  ): ReturnType<GatewayFixture["sendRequest"]> {
    return fixture.sendRequest(fixture.ports[gateway] ?? 0, {
      path: "/kept/1",
      method: "POST",
      headers: {
        id,
        ...(previous === undefined ? {} : { previous }),
        ...(key === undefined ? {} : { key }),
      },
      body,
    });
  }

  async function startWith(diskCount: number): Promise<void> {
    for (let at = 1; at <= diskCount; at += 1) await addDisk(`d${at}`);
    await fixture.addGateway("g1");
    await fixture.addGateway("g2");
    // The gateways watch the disks from their first configuration on.
    await new Promise((resolve) => setTimeout(resolve, 200));
  }

  it("reach the target with their chain, through any gateway", async () => {
    await startWith(3);
    expect((await sendTurn("a", "first.")).isComplete).to.equal(true);
    const second = await sendTurn("b", "second.", {
      previous: "a",
      gateway: 1,
    });
    expect(second.status).to.equal(200);
    const chain = `first.${findOutput(6)}second.`;
    expect(received).to.deep.equal(["first.", chain]);
    await sendTurn("c", "third.", { previous: "b" });
    expect(received[2]).to.equal(`${chain}${findOutput(chain.length)}third.`);
    // Several turns may continue one.
    await sendTurn("d", "other.", { previous: "a" });
    expect(received[3]).to.equal(`first.${findOutput(6)}other.`);
  });

  // Line feeds that no event had were sent in all later bodies of the chain.
  for (const wrong of ["\n".repeat(16), ": comment\n\n", "wrong\n\n"]) {
    it(`contain only the data of events beside ${JSON.stringify(wrong)}`, async () => {
      target.handle = (request, response) =>
        readBody(request, (body) => {
          received.push(body);
          response.writeHead(200, { signed: "1" });
          response.write(`${wrong}id: 1\ndata: a\n\n`);
          response.end(`${wrong}id: 2\ndata: b\n\n${wrong}`);
        });
      await startWith(2);
      expect((await sendTurn("a", "first.")).isComplete).to.equal(true);
      await sendTurn("b", "second.", { previous: "a", gateway: 1 });
      expect(received).to.deep.equal(["first.", "first.a\nb\nsecond."]);
    });
  }

  // The gateways' own records are kept under such ids.
  it("have no id that begins like those of the gateways' records", async () => {
    await startWith(2);
    const id = "camphorlock.grant.x";
    expect((await sendTurn(id, "first.")).status).to.equal(400);
    const next = await sendTurn("b", "second.", { previous: id });
    expect(next.status).to.equal(404);
    expect(received).to.deep.equal([]);
  });

  it("are unknown with 404 only if enough disks say so", async () => {
    await startWith(3);
    const unknown = await sendTurn("b", "x", { previous: "nothing" });
    expect(unknown.status).to.equal(404);
    disks[0]?.close();
    disks[1]?.close();
    const uncertain = await sendTurn("c", "x", { previous: "nothing" });
    expect(uncertain.status).to.equal(503);
    expect(Number(uncertain.headers["retry-after"])).to.be.greaterThan(0);
    expect(received).to.deep.equal([]);
  });

  it("are refused as not run while too few disks are registered", async () => {
    await startWith(1);
    const { status } = await sendTurn("a", "first.");
    expect(status).to.equal(503);
    expect(received).to.deep.equal([]);
  });

  it("don't look complete if too few disks confirm them", async () => {
    await startWith(2);
    disks[0]?.close();
    const result = await sendTurn("a", "first.")
      .then(({ isComplete }) => isComplete, () => false);
    expect(result).to.equal(false);
  });

  it("aren't kept if their stream broke off", async () => {
    await startWith(3);
    target.handle = (request, response) =>
      readBody(request, (body) => answerWithEvents(body, response, false));
    await sendTurn("a", "first.").catch(() => {});
    target.handle = (request, response) =>
      readBody(request, (body) => answerWithEvents(body, response));
    expect((await sendTurn("b", "x", { previous: "a" })).status)
      .to.equal(404);
  });

  it("are kept on other disks before one is reported as emptied", async () => {
    await startWith(3);
    await sendTurn("a", "first.");
    fixture.store.put("retirements", "d1", { durationS: 5 });
    await waitUntil(() => fixture.store.get("turnDisks", "d1") === undefined);
    await waitUntil(() => fixture.store.get("retirements", "d1") === "emptied");
    disks[0]?.close();
    const second = await sendTurn("b", "second.", {
      previous: "a",
      gateway: 1,
    });
    expect(second.status).to.equal(200);
    expect(received[1]).to.equal(`first.${findOutput(6)}second.`);
  });

  // A tenant that names another's turn would read that one's conversation.
  it("are unknown to another tenant, from memory and from the disks", async () => {
    const tenants = ["red", "blue"].map((name) => ({
      name,
      keys: [`key-${name}`],
      priority: undefined,
      quota: undefined,
    }));
    fixture.store.put("configuration", "main", {
      ...buildConfiguration(2),
      tenants,
    });
    await startWith(3);
    const [red, blue] = ["key-red", "key-blue"];
    expect((await sendTurn("a", "first.", { key: red })).status).to.equal(200);
    const texts: string[] = [];
    // g1 has the chain in memory, g2 loads it from the disks.
    for (const gateway of [0, 1]) {
      const denied = await sendTurn(`b${gateway}`, "x", {
        previous: "a",
        gateway,
        key: blue,
      });
      const absent = await sendTurn(`c${gateway}`, "x", {
        previous: "nothing",
        gateway,
        key: blue,
      });
      expect([denied.status, absent.status]).to.deep.equal([404, 404]);
      texts.push(denied.text, absent.text.replace("nothing", "a"));
    }
    // Neither answer tells whether the turn exists.
    expect(new Set(texts).size).to.equal(1);
    expect(received).to.deep.equal(["first."]);
    const own = await sendTurn("d", "second.", {
      previous: "a",
      gateway: 1,
      key: red,
    });
    expect(own.status).to.equal(200);
    expect(received[1]).to.equal(`first.${findOutput(6)}second.`);
  });

  it("are refused beyond the largest body", async () => {
    await startWith(3);
    await sendTurn("a", "x".repeat(900));
    const { status } = await sendTurn("b", "y".repeat(200), { previous: "a" });
    expect(status).to.equal(413);
  });
});

function readBody(
  request: IncomingMessage,
  handleBody: (body: string) => void,
): void {
  let body = "";
  request.on("data", (chunk) => body += chunk);
  request.on("end", () => handleBody(body));
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}
