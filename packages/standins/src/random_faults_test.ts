import { setTimeout as waitFor } from "node:timers/promises";
import type { AttemptEvent, AttemptOrder, Call } from "@camphorlock/types";
import { EngineClient } from "@camphorlock/engines";
import { ServiceClient } from "@camphorlock/services";
import { expect } from "chai";
import fc from "fast-check";
import {
  type RunningBalancer,
  serveBalancer,
} from "./balancer/serve_balancer.ts";
import { buildCompletionText } from "./engine_server/completion_text.ts";
import {
  type RunningEngine,
  serveEngine,
} from "./engine_server/serve_engine.ts";
import {
  buildOperationText,
  type RunningService,
  serveService,
} from "./service/serve_service.ts";
import type { ServiceBehavior } from "./service/service_control.ts";

const TIMEOUT_MS = 60;
const ATTEMPTS = 8;
const MAX_TOKENS = 40;
const RUNS = 12;
const SEED = 20_261;

/** The network fault that follows the start of an attempt. */
const NETWORK_FAULTS = ["none", "open_silent", "closed"] as const;
type NetworkFault = typeof NETWORK_FAULTS[number];
const NETWORK_PLAN = fc.oneof(
  { weight: 3, arbitrary: fc.constant<NetworkFault>("none") },
  { weight: 2, arbitrary: fc.constantFrom<NetworkFault[]>(...NETWORK_FAULTS) },
);

const SERVICE_FAULTS: readonly ServiceBehavior[] = [
  { kind: "normal" },
  { kind: "delay", ms: 5 },
  { kind: "refuse" },
  { kind: "hang" },
  { kind: "hang_after" },
  { kind: "break_before" },
  { kind: "break_after" },
  { kind: "cross" },
  { kind: "fail", detail: "no stock" },
];

const ENGINE_FAULTS = ["none", "silence", "cut", "cross", "refuse"] as const;
type EngineFault = typeof ENGINE_FAULTS[number];

interface EndedAttempt {
  readonly order: AttemptOrder;
  readonly events: readonly AttemptEvent[];
  readonly end: AttemptEvent;
}

type StartAttempt = (
  order: AttemptOrder,
  onEvent: (event: AttemptEvent) => void,
) => unknown;

function buildOrder(attemptId: string, call: Call): AttemptOrder {
  return {
    attemptId,
    programId: "p0001-a",
    callId: "c",
    targetId: "t",
    call,
    prefixText: "",
    progressTimeoutMs: TIMEOUT_MS,
  };
}

function runToEnd(
  order: AttemptOrder,
  start: StartAttempt,
): Promise<EndedAttempt> {
  const events: AttemptEvent[] = [];
  return new Promise((resolve) => {
    start(order, (event) => {
      events.push(event);
      if (event.kind !== "text") resolve({ order, events, end: event });
    });
  });
}

function joinText(events: readonly AttemptEvent[]): string {
  return events.map((each) => each.kind === "text" ? each.text : "").join("");
}

describe("engine and service clients under random faults", () => {
  let service: RunningService;
  let engine: RunningEngine;
  let balancer: RunningBalancer;

  beforeEach(async () => {
    service = await serveService();
    engine = await serveEngine({ tokenMs: 0.5, firstTokenMs: 1 });
  });

  afterEach(async () => {
    await balancer.stop();
    await Promise.all([service.stop(), engine.stop()]);
  });

  function applyNetworkFault(fault: NetworkFault, backend: string): void {
    if (fault === "open_silent") balancer.control.setOpenSilent(backend);
    if (fault === "closed") balancer.control.closeConnections();
  }

  it("reports the true outcome of every service operation", async () => {
    balancer = await serveBalancer({ backends: [service.address] });
    const { control } = service;
    const attempts: EndedAttempt[] = [];
    let number = 0;
    const plan = fc.array(
      fc.tuple(
        fc.constantFrom(...SERVICE_FAULTS),
        NETWORK_PLAN,
        fc.boolean(),
      ),
      { minLength: ATTEMPTS, maxLength: ATTEMPTS },
    );
    const check = async (
      [behavior, network, idempotent]: [ServiceBehavior, NetworkFault, boolean],
      client: ServiceClient,
    ): Promise<void> => {
      number += 1;
      const key = `s${number}`;
      control.addNext(behavior);
      const call = {
        kind: "service",
        service: "orders",
        operation: "confirm",
        body: key,
        idempotent,
      } as const;
      const ended = await runToEnd(buildOrder(key, call), (order, onEvent) => {
        client.runAttempt(order, onEvent);
        if (network !== "none") {
          setTimeout(() => applyNetworkFault(network, service.address), 2);
        }
      });
      if (control.requests < number) control.takeBehavior("confirm");
      attempts.push(ended);
    };
    await fc.assert(
      fc.asyncProperty(plan, async (steps) => {
        const client = new ServiceClient({ address: balancer.address });
        for (const step of steps) await check(step, client);
        await client.close();
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
    // A request may take effect after its caller has timed out.
    await waitFor(TIMEOUT_MS);
    for (const ended of attempts) {
      checkOperation(ended, control.runs.countRuns(ended.order.attemptId));
    }
    expect(countKinds(attempts)).to.include.keys(
      "completed",
      "broken",
      "rejected",
    );
  });

  it("reports the true outcome of every engine attempt", async () => {
    balancer = await serveBalancer({ backends: [engine.address] });
    const { control } = engine;
    const attempts: EndedAttempt[] = [];
    let number = 0;
    const plan = fc.array(
      fc.tuple(
        fc.constantFrom(...ENGINE_FAULTS),
        NETWORK_PLAN,
      ),
      { minLength: ATTEMPTS, maxLength: ATTEMPTS },
    );
    const check = async (
      [fault, network]: [EngineFault, NetworkFault],
      client: EngineClient,
    ): Promise<void> => {
      number += 1;
      const call = {
        kind: "model",
        model: "m",
        messages: [{ role: "user", content: `trace ${number}` }],
        maxTokens: MAX_TOKENS,
      } as const;
      control.refusing = fault === "refuse";
      control.mismatchedResponses = fault === "cross" ? 1 : 0;
      const order = buildOrder(`e${number}`, call);
      const ended = await runToEnd(order, (order, onEvent) => {
        client.runAttempt(order, (event) => {
          onEvent(event);
          if (fault === "silence") control.setOpenStreamsSilent();
          if (fault === "cut") control.closeOpenStreams();
        });
        if (network !== "none") {
          setTimeout(() => applyNetworkFault(network, engine.address), 4);
        }
      });
      attempts.push(ended);
    };
    await fc.assert(
      fc.asyncProperty(plan, async (steps) => {
        const client = new EngineClient({ address: balancer.address });
        for (const step of steps) await check(step, client);
        await client.close();
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
    for (const ended of attempts) {
      const runs = control.runs.filter((run) =>
        run.attemptId === ended.order.attemptId
      );
      checkAttempt(ended, runs.length);
    }
    expect(countKinds(attempts)).to.include.keys(
      "completed",
      "broken",
      "rejected",
    );
  });
});

function countKinds(ended: readonly EndedAttempt[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { end } of ended) counts[end.kind] = (counts[end.kind] ?? 0) + 1;
  return counts;
}

function checkOperation(ended: EndedAttempt, runs: number): void {
  const { order, end } = ended;
  expect(runs, "runs of one key").to.be.at.most(1);
  if (end.kind === "not_sent") expect(runs).to.equal(0);
  if (end.kind === "rejected" && end.notRun) expect(runs).to.equal(0);
  if (end.kind !== "completed") return;
  expect(runs).to.equal(1);
  expect(end.text).to.equal(buildOperationText("confirm", order.attemptId));
}

function checkAttempt(ended: EndedAttempt, runs: number): void {
  const { order, events, end } = ended;
  const messages = order.call.kind === "model" ? order.call.messages : [];
  const { text } = buildCompletionText(messages, MAX_TOKENS);
  expect(runs, "runs of one attempt").to.be.at.most(1);
  expect(text.startsWith(joinText(events)), "delivered text").to.equal(true);
  if (end.kind === "not_sent") expect(runs).to.equal(0);
  if (end.kind === "rejected" && end.notRun) expect(runs).to.equal(0);
  if (end.kind === "completed") expect(end.text).to.equal(text);
}
