import type { AttemptEvent, AttemptOrder } from "@camphorlock/types";
import {
  buildOperationText,
  type RunningBalancer,
  type RunningService,
  serveBalancer,
  serveService,
} from "@camphorlock/standins";
import { expect } from "chai";
import { ServiceClient } from "./service_client.ts";

const BODY = '{"order":17}';

function buildOrder(attemptId: string, timeoutMs = 2_000): AttemptOrder {
  return {
    attemptId,
    programId: "p0001-a",
    callId: "c1",
    targetId: "stock-1",
    call: {
      kind: "service",
      service: "stock",
      operation: "capture_payment",
      body: BODY,
      idempotent: false,
    },
    prefixText: "",
    progressTimeoutMs: timeoutMs,
  };
}

describe("service client", () => {
  let service: RunningService;
  let client: ServiceClient;
  let balancer: RunningBalancer | undefined;

  beforeEach(async () => {
    service = await serveService();
    client = new ServiceClient({ address: service.address });
  });

  afterEach(async () => {
    await client.close();
    await balancer?.stop();
    balancer = undefined;
    await service.stop();
  });

  function run(order: AttemptOrder): Promise<AttemptEvent> {
    return new Promise((resolve) => {
      client.runAttempt(order, (event) => {
        if (event.kind !== "text") resolve(event);
      });
    });
  }

  it("runs an operation once and reports its complete text", async () => {
    const event = await run(buildOrder("a1"));
    expect(event).to.deep.include({
      kind: "completed",
      text: buildOperationText("capture_payment", BODY),
    });
    expect(service.control.runs.runs).to.have.length(1);
    expect(service.control.runs.runs[0]).to.include({
      key: "a1",
      programId: "p0001-a",
    });
  });

  it("reports not_sent when no server listens", async () => {
    await service.stop();
    expect((await run(buildOrder("a1"))).kind).to.equal("not_sent");
  });

  for (const kind of ["break_before", "break_after"] as const) {
    it(`reports broken after ${kind} and never sends again`, async () => {
      service.control.addNext({ kind });
      expect((await run(buildOrder("a1"))).kind).to.equal("broken");
      const runs = kind === "break_after" ? 1 : 0;
      expect(service.control.runs.countRuns("a1")).to.equal(runs);
      expect(service.control.requests).to.equal(1);
    });
  }

  for (const kind of ["hang", "hang_after"] as const) {
    it(`reports broken after ${kind}`, async () => {
      service.control.addNext({ kind });
      expect((await run(buildOrder("a1", 100))).kind).to.equal("broken");
      expect(service.control.requests).to.equal(1);
    });
  }

  it("reports an operation as not run only if the service states it", async () => {
    service.control.addNext({ kind: "refuse" });
    service.control.addNext({ kind: "fail", detail: "no stock" });
    expect(await run(buildOrder("a1"))).to.include({
      kind: "rejected",
      notRun: true,
    });
    expect(await run(buildOrder("a2"))).to.include({
      kind: "rejected",
      notRun: false,
      detail: "no stock",
    });
  });

  it("reports no text of a response to another attempt", async () => {
    service.control.addNext({ kind: "cross" });
    expect(await run(buildOrder("a1"))).to.deep.equal({
      kind: "broken",
      detail: "the response is for a1-crossed",
    });
  });

  it("sends a non-idempotent operation on a fresh connection", async () => {
    balancer = await serveBalancer({ backends: [service.address] });
    await client.close();
    client = new ServiceClient({ address: balancer.address });
    const { call, ...order } = buildOrder("a1");
    await run({ ...order, call: { ...call, idempotent: true } as typeof call });
    await new Promise((resolve) => setImmediate(resolve));
    balancer.control.setOpenSilent(service.address);
    expect((await run(buildOrder("a2", 200))).kind).to.equal("completed");
  });

  it("requests the outcome of a broken attempt", async () => {
    service.control.addNext({ kind: "break_after" });
    await run(buildOrder("a1"));
    expect(await client.settleOutcome("a1")).to.deep.equal({
      kind: "completed",
      text: buildOperationText("capture_payment", BODY),
    });
    service.control.addNext({ kind: "hang" });
    await run(buildOrder("a2", 100));
    expect(await client.settleOutcome("a2")).to.deep.equal({ kind: "running" });
  });

  it("is rejected after the service reported it as not run", async () => {
    expect(await client.settleOutcome("a1")).to.deep.equal({ kind: "not_run" });
    expect(await run(buildOrder("a1"))).to.include({
      kind: "rejected",
      notRun: true,
    });
    expect(service.control.runs.runs).to.have.length(0);
  });

  it("reports unknown if the service has no outcomes", async () => {
    await service.stop();
    service = await serveService({ reportsOutcomes: false });
    await client.close();
    client = new ServiceClient({ address: service.address });
    expect((await client.settleOutcome("a1")).kind).to.equal("unknown");
  });
});
