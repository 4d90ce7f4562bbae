/**
 * Measures the time that the path through the nodes adds to a call, against
 * calling the same stand-in directly, in one run.
 */
import type { Failure } from "@camphorlock/codes";
import { build, type Histogram } from "hdr-histogram-js";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { type Development, startDevelopment } from "../cli/dev/development.ts";

const FIRST_PORT = 25_400;
const US_PER_MS = 1_000;
const WARM_UP_CALLS = 500;
const STOP_MS = 500;
const MEDIAN = 50;
const TAIL = 99;
const ALLOWANCE_MICROS = 1_000_000_000;

/** The time of one way to make a call, in milliseconds. */
export interface PathTimes {
  readonly way: "direct" | "entry_on_owner" | "entry_elsewhere";
  readonly calls: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Runs the bench with three nodes in this process. */
export async function runPathBench(
  calls: number,
): Promise<Result<PathTimes[], Failure>> {
  const started = await startDevelopment({
    deployment: "zincir",
    nodeCount: 3,
    logLevel: "error",
    firstPort: FIRST_PORT,
  });
  if (started.isErr()) return err(started.error);
  const run = new PathRun(started.value);
  const times = await run.runAll(calls);
  await started.value.stop(STOP_MS);
  return ok(times);
}

class PathRun {
  readonly #running: Development;
  #keys = 0;

  constructor(running: Development) {
    this.#running = running;
  }

  async runAll(calls: number): Promise<PathTimes[]> {
    const { addresses } = this.#running;
    const program = await this.#createProgram(addresses[0] ?? "");
    const owner = this.#findOwner(program);
    const other = (owner + 1) % addresses.length;
    const path = `/v1/programs/${program}/calls`;
    const direct = (): Promise<void> => this.#callDirectly();
    const near = (): Promise<void> => this.#callNode(addresses[owner], path);
    const far = (): Promise<void> => this.#callNode(addresses[other], path);
    return await recordTimes(calls, [
      { way: "direct", run: direct },
      { way: "entry_on_owner", run: near },
      { way: "entry_elsewhere", run: far },
    ]);
  }

  #findOwner(program: string): number {
    return this.#running.nodes.findIndex((node) =>
      node.core.listPrograms().some((each) => each.spec.programId === program)
    );
  }

  async #createProgram(address: string): Promise<string> {
    const body = {
      partner: "zincir",
      agent: "bench",
      "budget_micros": ALLOWANCE_MICROS,
    };
    const answer = await sendJson(`http://${address}/v1/programs`, body);
    return String(answer.program);
  }

  async #callNode(address: string | undefined, path: string): Promise<void> {
    const kind = "service";
    const { service } = this.#running;
    const body = { kind, service, operation: "look_up" };
    await sendJson(`http://${address}${path}`, body);
  }

  async #callDirectly(): Promise<void> {
    this.#keys += 1;
    const target = this.#running.targets.targets
      .find((each) => each.kind === "service");
    const url = `http://${target?.address}/v1/operations/look_up`;
    await sendJson(url, {}, `direct-${this.#keys}`);
  }
}

interface Json {
  readonly [key: string]: unknown;
}

async function sendJson(
  url: string,
  body: Json,
  key?: string,
): Promise<Json> {
  const json = { "content-type": "application/json" };
  const headers = key === undefined
    ? json
    : { ...json, "idempotency-key": key };
  const answer = await request(url, {
    method: "POST",
    headers,
    body: JSON.stringify(body),
  });
  const text = await answer.body.text();
  try {
    return JSON.parse(text) as Json;
  } catch {
    return {};
  }
}

interface PathWay {
  readonly way: PathTimes["way"];
  readonly run: () => Promise<void>;
}

/** Times the ways in turn, so that all of them meet the same conditions. */
async function recordTimes(
  calls: number,
  ways: readonly PathWay[],
): Promise<PathTimes[]> {
  const histograms = ways.map(() => build({ useWebAssembly: false }));
  for (let call = -WARM_UP_CALLS; call < calls; call++) {
    for (const [at, { run }] of ways.entries()) {
      const startedAtMs = performance.now();
      await run();
      const elapsedMs = performance.now() - startedAtMs;
      if (call >= 0) histograms[at]?.recordValue(elapsedMs * US_PER_MS);
    }
  }
  return ways.map(({ way }, at) => buildTimes(way, calls, histograms[at]));
}

function buildTimes(
  way: PathTimes["way"],
  calls: number,
  times: Histogram | undefined,
): PathTimes {
  const readMs = (percentile: number): number =>
    (times?.getValueAtPercentile(percentile) ?? 0) / US_PER_MS;
  return { way, calls, p50Ms: readMs(MEDIAN), p99Ms: readMs(TAIL) };
}
