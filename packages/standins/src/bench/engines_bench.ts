/**
 * Measures how many streamed tokens per second one client process receives.
 */
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import { Worker } from "node:worker_threads";
import type { AttemptOrder } from "@camphorlock/types";
import { EngineClient } from "@camphorlock/engines";

const MS_PER_SECOND = 1_000;
const PROGRESS_TIMEOUT_MS = 30_000;

/** Registers tsx in a worker, which doesn't inherit the parent's loader. */
const LOAD_TYPESCRIPT = `
  const { createRequire } = require("node:module");
  const { href } = require("node:worker_threads").workerData;
  const api = createRequire(href).resolve("tsx/esm/api");
  import(api.replace(/cjs$/, "mjs")).then(({ register }) => {
    register();
    return import(href);
  });
`;

/** The number of streams and servers, and their pace. */
export interface EnginesBenchOptions {
  /** Concurrent streams. */
  readonly streams: number;
  readonly tokensPerStream: number;
  /** Time between two tokens of a stream; zero sends without delay. */
  readonly stepMs: number;
  /** Server threads. A single one may be slower than the client. */
  readonly servers: number;
}

/** Measurements of one run. */
export interface EnginesBenchReport {
  readonly tokens: number;
  readonly seconds: number;
  readonly tokensPerSecond: number;
  /** Share of the run in which the client's event loop was busy. */
  readonly utilization: number;
  /** Tokens per second, extrapolated to a fully busy event loop. */
  readonly tokensPerSecondAtFullCore: number;
  readonly tokensPerEvent: number;
}

interface StreamTotals {
  tokens: number;
  events: number;
}

/** Streams from worker threads to one client until every stream has ended. */
export async function runEnginesBench(
  options: EnginesBenchOptions,
): Promise<EnginesBenchReport> {
  const workers = Array.from(
    { length: options.servers },
    () => createWorker(options),
  );
  const addresses = await Promise.all(workers.map(waitForAddress));
  const clients = addresses.map((address) => new EngineClient({ address }));
  const totals: StreamTotals = { tokens: 0, events: 0 };
  const startedAtMs = performance.now();
  const loopAtStart = performance.eventLoopUtilization();
  await Promise.all(Array.from({ length: options.streams }, (_, index) => {
    const client = clients[index % clients.length];
    if (client === undefined) return Promise.resolve();
    return runStream(client, { order: buildOrder(index), totals });
  }));
  const seconds = (performance.now() - startedAtMs) / MS_PER_SECOND;
  const report = buildReport(totals, { seconds, loopAtStart });
  await Promise.all(clients.map((client) => client.close()));
  await Promise.all(workers.map((worker) => worker.terminate()));
  return report;
}

function createWorker(options: EnginesBenchOptions): Worker {
  const { tokensPerStream, stepMs } = options;
  const { href } = new URL("./token_server.ts", import.meta.url);
  return new Worker(LOAD_TYPESCRIPT, {
    eval: true,
    execArgv: [],
    workerData: { tokensPerStream, stepMs, href },
  });
}

function waitForAddress(worker: Worker): Promise<string> {
  return new Promise((resolve, reject) => {
    worker.once("message", (address) => resolve(String(address)));
    worker.once("error", reject);
  });
}

function runStream(
  client: EngineClient,
  options: { readonly order: AttemptOrder; readonly totals: StreamTotals },
): Promise<void> {
  const { order, totals } = options;
  return new Promise((resolve, reject) => {
    client.runAttempt(order, (event) => {
      if (event.kind === "text") {
        totals.tokens += event.tokens;
        totals.events += 1;
      } else if (event.kind === "completed") {
        resolve();
      } else {
        reject(new Error(`${event.kind}: ${event.detail}`));
      }
    });
  });
}

function buildReport(
  totals: StreamTotals,
  run: { readonly seconds: number; readonly loopAtStart: EventLoopUtilization },
): EnginesBenchReport {
  const { utilization } = performance.eventLoopUtilization(run.loopAtStart);
  const tokensPerSecond = totals.tokens / run.seconds;
  return {
    tokens: totals.tokens,
    seconds: run.seconds,
    tokensPerSecond,
    utilization,
    tokensPerSecondAtFullCore: tokensPerSecond / utilization,
    tokensPerEvent: totals.tokens / totals.events,
  };
}

function buildOrder(index: number): AttemptOrder {
  return {
    attemptId: `attempt-${index}`,
    programId: `program-${index}`,
    callId: `call-${index}`,
    targetId: "engine",
    call: {
      kind: "model",
      model: "bench",
      messages: [{ role: "user", content: "bench" }],
      maxTokens: 1,
    },
    prefixText: "",
    progressTimeoutMs: PROGRESS_TIMEOUT_MS,
  };
}
