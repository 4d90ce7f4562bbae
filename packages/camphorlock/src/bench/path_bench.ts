/**
 * Measures the latency that the path through the nodes adds to a call. The
 * baseline, a direct call of the same stand-in, is measured in the same run.
 */
import type { Failure } from "@camphorlock/codes";
import { build, type Histogram } from "hdr-histogram-js";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import {
  type DevelopmentCluster,
  startDevelopmentCluster,
} from "../cli/dev/development_cluster.ts";

const FIRST_PORT = 25_400;
const US_PER_MS = 1_000;
const WARM_UP_CALLS = 500;
const STOP_TIMEOUT_MS = 500;
const MEDIAN_PERCENTILE = 50;
const TAIL_PERCENTILE = 99;
const BUDGET_MICROS = 1_000_000_000;

/** The latency of calls over one path, in milliseconds. */
export interface PathLatency {
  readonly way: "direct" | "entry_on_owner" | "entry_elsewhere";
  readonly calls: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Runs the benchmark with three nodes in this process. */
export async function runPathBench(
  calls: number,
): Promise<Result<PathLatency[], Failure>> {
  const started = await startDevelopmentCluster({
    deployment: "zincir",
    nodeCount: 3,
    logLevel: "error",
    firstPort: FIRST_PORT,
  });
  if (started.isErr()) return err(started.error);
  const bench = new PathBench(started.value);
  const latencies = await bench.runAll(calls);
  await started.value.stop(STOP_TIMEOUT_MS);
  return ok(latencies);
}

class PathBench {
  readonly #cluster: DevelopmentCluster;
  #keyCount = 0;

  constructor(cluster: DevelopmentCluster) {
    this.#cluster = cluster;
  }

  async runAll(calls: number): Promise<PathLatency[]> {
    const { addresses } = this.#cluster;
    const program = await this.#createProgram(addresses[0] ?? "");
    const owner = this.#findOwner(program);
    const otherNode = (owner + 1) % addresses.length;
    const path = `/v1/programs/${program}/calls`;
    const callDirectly = (): Promise<void> => this.#callDirectly();
    const callOwner = (): Promise<void> =>
      this.#callNode(addresses[owner], path);
    const callOther = (): Promise<void> =>
      this.#callNode(addresses[otherNode], path);
    return await measurePaths(calls, [
      { way: "direct", run: callDirectly },
      { way: "entry_on_owner", run: callOwner },
      { way: "entry_elsewhere", run: callOther },
    ]);
  }

  #findOwner(program: string): number {
    return this.#cluster.nodes.findIndex((node) =>
      node.core.listPrograms().some((each) => each.spec.programId === program)
    );
  }

  async #createProgram(address: string): Promise<string> {
    const body = {
      partner: "zincir",
      agent: "bench",
      "budget_micros": BUDGET_MICROS,
    };
    const response = await sendJson(`http://${address}/v1/programs`, body);
    return String(response.program);
  }

  async #callNode(address: string | undefined, path: string): Promise<void> {
    const kind = "service";
    const { service } = this.#cluster;
    const body = { kind, service, operation: "look_up" };
    await sendJson(`http://${address}${path}`, body);
  }

  async #callDirectly(): Promise<void> {
    this.#keyCount += 1;
    const target = this.#cluster.targets.targets
      .find((each) => each.kind === "service");
    const url = `http://${target?.address}/v1/operations/look_up`;
    await sendJson(url, {}, `direct-${this.#keyCount}`);
  }
}

interface JsonObject {
  readonly [key: string]: unknown;
}

async function sendJson(
  url: string,
  body: JsonObject,
  key?: string,
): Promise<JsonObject> {
  const json = { "content-type": "application/json" };
  const headers = key === undefined
    ? json
    : { ...json, "idempotency-key": key };
  const response = await request(url, {
    method: "POST",
    headers,
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  try {
    return JSON.parse(text) as JsonObject;
  } catch {
    return {};
  }
}

interface MeasuredPath {
  readonly way: PathLatency["way"];
  readonly run: () => Promise<void>;
}

/** Measures the paths in turn, so that all run under the same conditions. */
async function measurePaths(
  calls: number,
  paths: readonly MeasuredPath[],
): Promise<PathLatency[]> {
  const histograms = paths.map(() => build({ useWebAssembly: false }));
  for (let call = -WARM_UP_CALLS; call < calls; call++) {
    for (const [index, { run }] of paths.entries()) {
      const startedAtMs = performance.now();
      await run();
      const elapsedMs = performance.now() - startedAtMs;
      if (call >= 0) histograms[index]?.recordValue(elapsedMs * US_PER_MS);
    }
  }
  return paths.map(({ way }, index) =>
    buildLatency(way, calls, histograms[index])
  );
}

function buildLatency(
  way: PathLatency["way"],
  calls: number,
  histogram: Histogram | undefined,
): PathLatency {
  const readMs = (percentile: number): number =>
    (histogram?.getValueAtPercentile(percentile) ?? 0) / US_PER_MS;
  return {
    way,
    calls,
    p50Ms: readMs(MEDIAN_PERCENTILE),
    p99Ms: readMs(TAIL_PERCENTILE),
  };
}
