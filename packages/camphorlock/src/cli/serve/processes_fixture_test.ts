/**
 * Runs nodes as child processes on loopback. Their stand-ins run in the test's
 * own process.
 */
import {
  type RunningEngine,
  type RunningPlatform,
  type RunningService,
  serveEngine,
  servePlatform,
  serveService,
  ServiceRuns,
} from "@camphorlock/standins";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { findFreePorts } from "../dev/free_ports.ts";

const MAIN = fileURLToPath(new URL("../main.ts", import.meta.url));
const REGIONS = ["marmara", "ege", "ic-anadolu"] as const;
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 100;
const FIRST_PORT = 23_400;

export interface JsonObject {
  readonly [key: string]: unknown;
}

/** The child process of a node, its caller address and its settings file. */
export interface NodeHandle {
  readonly vmId: string;
  readonly address: string;
  process: ChildProcess;
  readonly file: string;
}

/** Node processes and the stand-ins that they use. */
export class ProcessFleet {
  readonly folder = mkdtempSync(join(tmpdir(), "camphorlock-"));
  readonly nodes: NodeHandle[] = [];
  readonly runs = new ServiceRuns();
  engines: RunningEngine[] = [];
  services: RunningService[] = [];
  #platform: RunningPlatform | undefined;

  get platform(): RunningPlatform {
    if (this.#platform === undefined) throw new Error("start() was not called");
    return this.#platform;
  }

  async start(count: number): Promise<void> {
    this.#platform = await servePlatform();
    for (let index = 0; index < 3; index++) {
      this.engines.push(await serveEngine({ tokenMs: 20 }));
      this.services.push(await serveService({ runs: this.runs, delayMs: 30 }));
    }
    this.#writeConfiguration();
    const ports = await findFreePorts(FIRST_PORT, 2 * count);
    for (let index = 0; index < count; index++) {
      this.#startNode(`vm-${index + 1}`, ports.slice(2 * index, 2 * index + 2));
    }
    await this.waitReady();
  }

  /** Restarts a node whose process has ended. */
  restart(node: NodeHandle): void {
    node.process = spawnNode(node.file);
  }

  /** Waits until every running node can create programs in many shards. */
  async waitReady(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    for (let number = 0; number < 12; number++) {
      while (!await this.#canCreatePrograms(`ready-${number}`)) {
        if (performance.now() > deadlineMs) throw new Error("nodes not ready");
        await waitFor(POLL_INTERVAL_MS);
      }
    }
  }

  /** Sends a request. Returns undefined if the connection fails. */
  async send(
    node: NodeHandle | undefined,
    path: string,
    options: { readonly body: JsonObject; readonly key?: string },
  ): Promise<JsonObject | undefined> {
    const { body, key } = options;
    const json = { "content-type": "application/json" };
    const headers = key === undefined
      ? json
      : { ...json, "idempotency-key": key };
    try {
      const response = await request(`http://${node?.address}${path}`, {
        method: "POST",
        headers,
        body: JSON.stringify(body),
        headersTimeout: 60_000,
      });
      return await response.body.json() as JsonObject;
    } catch {
      return undefined;
    }
  }

  /** Sends a call with one key to one node after another until it ends. */
  async runCall(
    programId: unknown,
    options: {
      readonly body: JsonObject;
      readonly key: string;
      readonly at: number;
    },
  ): Promise<JsonObject> {
    const path = `/v1/programs/${programId}/calls`;
    for (let attempt = 0; attempt < 120; attempt++) {
      const node = this.nodes[(options.at + attempt) % this.nodes.length];
      const response = await this.send(node, path, options);
      const status = response?.status;
      const isFinal = status === "completed" || status === "unknown" ||
        status === "failed";
      if (response !== undefined && isFinal) return response;
      await waitFor(POLL_INTERVAL_MS * 2);
    }
    throw new Error("no node reported that the call ended");
  }

  /** Waits until a program's first call is accepted. */
  async waitAccepted(programId: unknown): Promise<void> {
    const address = this.nodes[2]?.address;
    for (let attempt = 0; attempt < 100; attempt++) {
      const response = await request(
        `http://${address}/v1/programs/${programId}`,
      );
      const program = await response.body.json() as JsonObject;
      if (Number(program.calls) > 0) return;
      await waitFor(POLL_INTERVAL_MS / 5);
    }
    throw new Error("the call wasn't accepted in time");
  }

  /** Creates a program. */
  async createProgram(firstNode: number, key: string): Promise<unknown> {
    const body = {
      partner: "zincir",
      agent: "quote",
      "budget_micros": 100_000_000,
    };
    for (let attempt = 0; attempt < 100; attempt++) {
      const node = this.nodes[(firstNode + attempt) % this.nodes.length];
      const response = await this.send(node, "/v1/programs", { body, key });
      if (response?.program !== undefined) return response.program;
      await waitFor(POLL_INTERVAL_MS * 2);
    }
    throw new Error("no node created the program");
  }

  /** Finds the running node that owns a program. */
  async findOwner(programId: unknown): Promise<NodeHandle | undefined> {
    for (const node of this.nodes) {
      if (node.process.exitCode !== null) continue;
      const statement = "show programs limit 1000";
      const body = { statement, by: "zincir/test" };
      const response = await this.send(node, "/v1/operate", { body });
      if (String(response?.text).includes(String(programId))) return node;
    }
    return undefined;
  }

  async stop(): Promise<void> {
    for (const { process } of this.nodes) process.kill("SIGKILL");
    const servers = [...this.engines, ...this.services, this.platform];
    await Promise.all(servers.map((server) => server.stop()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  async #canCreatePrograms(key: string): Promise<boolean> {
    const body = { partner: "zincir", agent: "ready", "budget_micros": 1_000 };
    for (const node of this.nodes) {
      if (node.process.exitCode !== null) continue;
      const response = await this.send(node, "/v1/programs", { body, key });
      if (response?.program === undefined) return false;
    }
    return true;
  }

  #startNode(vmId: string, ports: readonly number[]): void {
    const [callerPort = 0, peerPort = 0] = ports;
    const region = REGIONS[this.nodes.length % REGIONS.length] ?? "ege";
    const file = join(this.folder, `${vmId}.toml`);
    writeFileSync(
      file,
      `
[node]
vm = "${vmId}"
region = "${region}"
failure_domain = "${region}-1"
[listen]
caller_port = ${callerPort}
peer_port = ${peerPort}
[platform]
base_url = "http://${this.platform.address}"
calls_per_second = 400
[installation]
shard_count = 12
first_configuration = "${join(this.folder, "first.toml")}"
[log]
level = "error"
[calls]
progress_timeout_ms = 4000
`,
    );
    const address = `127.0.0.1:${callerPort}`;
    this.nodes.push({ vmId, address, process: spawnNode(file), file });
    this.platform.vms.set({
      vmId,
      address: `127.0.0.1:${peerPort}`,
      region,
      failureDomain: `${region}-1`,
      state: "live",
    }, 0);
  }

  #writeConfiguration(): void {
    const targets = [
      ...this.engines.map(({ address }, at) =>
        formatTarget("engine", at, address)
      ),
      ...this.services.map(({ address }, at) =>
        formatTarget("service", at, address)
      ),
    ];
    const prices = `
[[models]]
model = "engine"
prompt_micros = 1000
cached_micros = 100
completion_micros = 4000
[[services]]
service = "service"
call_micros = 500
`;
    writeFileSync(join(this.folder, "first.toml"), targets.join("") + prices);
  }
}

function formatTarget(kind: string, index: number, address: string): string {
  const region = REGIONS[index % REGIONS.length];
  return `
[[targets]]
target = "${kind}-${index + 1}"
kind = "${kind}"
serves = ["${kind}"]
region = "${region}"
failure_domain = "${region}-1"
address = "${address}"
`;
}

function spawnNode(file: string): ChildProcess {
  const options = ["--import", "tsx", MAIN, "serve", "--settings", file];
  return spawn(process.execPath, options, {
    stdio: ["ignore", "ignore", "inherit"],
  });
}

export function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
