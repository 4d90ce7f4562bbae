import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  buildConfiguration,
  type FakeTarget,
  findFreePort,
  GatewayFixture,
  waitUntil,
} from "../gateway_fixture_test.ts";
import type { DiskVm } from "../turns/disk_vm.ts";

const EVENTS_IN_STREAM = 4;
/** Far longer than the replacements take, so that no fact expires. */
const TIMEOUT_MS = 5_000;
/** Time that the loss tolerance grants between two losses, shortened. */
const CATCH_UP_MS = 1_000;

// Gateways read the list of keepers every 30 s, and a lost copy of a fact was
// never made again: once all had been replaced in turn, no stream went on.
describe("a stream whose keepers were all replaced in turn", () => {
  let fixture: GatewayFixture;
  let keepers: DiskVm[];
  let target: FakeTarget;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    const configuration = buildConfiguration(1);
    fixture.store.put("configuration", "main", {
      ...configuration,
      routes: configuration.routes.map((route) => ({
        ...route,
        timeoutMs: TIMEOUT_MS,
      })),
    });
    target = await fixture.addTarget("t1", "v1");
    target.handle = sendStream;
    keepers = await Promise.all(
      ["d1", "d2", "d3"].map((id) => fixture.addKeeper(id)),
    );
    await fixture.addGateway("g1");
    await waitForKeepers("g1", 3);
  });

  afterEach(() => fixture.stop());

  /** Breaks off after half of the events; ends what's taken up. */
  function sendStream(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const after = Number(request.headers["resume-after"]);
    response.writeHead(200, { signed: "1" });
    const last = after === 0 ? EVENTS_IN_STREAM / 2 : EVENTS_IN_STREAM;
    for (let id = after + 1; id <= last; id += 1) {
      response.write(`id: ${id}\ndata: v1\n\n`);
    }
    if (after > 0) return void response.end();
    // No target may go on within the same answer.
    fixture.store.put("targets", "t1", {
      ...fixture.store.get("targets", "t1") as object,
      state: "draining",
    });
    setTimeout(() => request.socket.destroy(), 200);
  }

  async function waitForKeepers(vm: string, count: number): Promise<void> {
    await waitUntil(() =>
      fixture.lines.findLast((line) =>
        line["name"] === "KeepersChanged" && line["vm"] === vm &&
        (line["keepers"] as unknown[]).length === count
      ) !== undefined
    );
  }

  /** Replaces each keeper by an empty one; its entry stays in the store. */
  async function replaceKeepers(): Promise<void> {
    for (const [index, keeper] of keepers.entries()) {
      keeper.close();
      await fixture.addKeeper(`r${index + 1}`);
      await new Promise((resolve) => setTimeout(resolve, CATCH_UP_MS));
    }
  }

  async function beginStream(): Promise<void> {
    const begun = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/stream/1",
      headers: { id: "begun" },
    });
    expect(begun.isComplete).to.equal(false);
    expect(begun.text.match(/id: \d/g)).to.have.length(EVENTS_IN_STREAM / 2);
    await fixture.gateways[0]?.close();
  }

  async function takeUp(keeperCount = 6): Promise<number> {
    const other = await fixture.addTarget("t2", "v1");
    other.handle = sendStream;
    await fixture.addGateway("g2");
    await waitForKeepers("g2", keeperCount);
    const result = await fixture.sendRequest(fixture.ports[1] ?? 0, {
      path: "/stream/1",
      headers: {
        id: "again",
        resumes: "begun",
        "last-event": String(EVENTS_IN_STREAM / 2),
      },
    });
    return result.status;
  }

  it("is taken up if it began after the replacements", async () => {
    await replaceKeepers();
    await beginStream();
    expect(await takeUp()).to.equal(200);
  }).timeout(20_000);

  it("is taken up if it began before the replacements", async () => {
    await beginStream();
    await replaceKeepers();
    expect(await takeUp()).to.equal(200);
  }).timeout(20_000);

  // Everything that knew of the stream lost its memory at the same moment.
  it("is taken up if all processes were lost, but not the disks", async () => {
    const places = await Promise.all(["e1", "e2", "e3"].map(async (vmId) => ({
      vmId,
      folder: await mkdtemp(join(tmpdir(), "keeper-")),
      port: await findFreePort(),
    })));
    for (const keeper of keepers) keeper.close();
    for (const vmId of ["d1", "d2", "d3"]) {
      fixture.store.drop("turnDisks", vmId);
    }
    const stored = await Promise.all(
      places.map((place) => fixture.addKeeper(place.vmId, place)),
    );
    await waitForKeepers("g1", 3);
    await beginStream();
    // A write and a sync may take this long.
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (const keeper of stored) keeper.close();
    await new Promise((resolve) => setTimeout(resolve, 100));
    for (const place of places) await fixture.addKeeper(place.vmId, place);
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(await takeUp(3)).to.equal(200);
  }).timeout(20_000);
});
