/**
 * Runs one node: connects its core to the network, the clients, the timers and
 * the log, and starts and stops them.
 */
import {
  createCallerApp,
  type RunningServer,
  serveApp,
} from "@camphorlock/callers";
import { createFailure, EVENTS, type Failure } from "@camphorlock/codes";
import { Engines } from "@camphorlock/engines";
import { PeerNetwork } from "@camphorlock/nodes";
import { PlatformClient, VmListClient } from "@camphorlock/objects";
import {
  DEFAULT_NODE_LIMITS,
  NodeCore,
  type NodeInput,
  type NodeNotice,
  type NodeOptions,
} from "@camphorlock/scheduler";
import { Services } from "@camphorlock/services";
import type {
  AttemptEvent,
  CallerRequest,
  CallerResponse,
  NodeSpec,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import type { LogWriter } from "../logs/log_writer.ts";
import { Metrics } from "../metrics/metrics.ts";
import type { NodeSettings } from "../settings/schema.ts";
import { AttemptRegistry } from "./attempt_registry.ts";
import { CallerAdapter } from "./caller_adapter.ts";
import { EffectRunner } from "./effect_runner.ts";
import { buildLimits } from "./node_limits.ts";
import {
  buildSecurity,
  buildSpec,
  createLogWriter,
} from "./settings_mapping.ts";
import { waitUntil } from "./wait_until.ts";
import { findCharge, readStatement } from "./published_charges.ts";
import { Operations } from "./operations.ts";

const TICK_INTERVAL_MS = 50;
const VM_LIST_INTERVAL_MS = 2_000;
/** Longest wait at shutdown until the platform stores replicated entries. */
const REPLICA_STORE_LIMIT_MS = 10_000;
const SEED_BYTES = 4;

/** Settings, first configuration and log of a node. */
export interface NodeProcessOptions {
  readonly settings: NodeSettings;
  readonly initial?: NodeOptions["initial"];
  readonly logs?: LogWriter;
}

/** A running node. */
export class NodeProcess {
  readonly core: NodeCore;
  readonly metrics = new Metrics();
  readonly #settings: NodeSettings;
  readonly #spec: NodeSpec;
  readonly #logs: LogWriter;
  readonly #network: PeerNetwork;
  readonly #platform: PlatformClient;
  readonly #vmList: VmListClient;
  readonly #engines = new Engines();
  readonly #services = new Services();
  readonly #attempts: AttemptRegistry;
  readonly #runner: EffectRunner;
  readonly #callerAdapter: CallerAdapter;
  readonly #operations: Operations;
  readonly #timers: NodeJS.Timeout[] = [];
  #server: RunningServer | undefined;
  #isHandedOver = false;

  constructor(options: NodeProcessOptions) {
    const { settings, initial } = options;
    this.#settings = settings;
    this.#spec = buildSpec(settings);
    this.#logs = options.logs ?? createLogWriter(settings);
    this.core = new NodeCore({
      spec: this.#spec,
      seed: randomBytes(SEED_BYTES).readUInt32LE(),
      limits: buildLimits(settings, DEFAULT_NODE_LIMITS),
      getWallClockMs: () => Date.now(),
      ...(initial === undefined ? {} : { initial }),
    });
    this.#network = this.#createNetwork();
    this.#platform = new PlatformClient({
      baseUrl: settings.platform.base_url,
      readsPerSecond: settings.platform.calls_per_second,
    });
    this.#vmList = new VmListClient({ baseUrl: settings.platform.base_url });
    this.#attempts = new AttemptRegistry({
      engines: this.#engines,
      services: this.#services,
      report: (attemptId, event) => {
        this.#countAttemptEvent(event);
        this.#handle({ kind: "attempt", attemptId, event });
      },
    });
    this.#operations = this.#createOperations();
    this.#callerAdapter = this.#createCallerAdapter();
    this.#runner = this.#createRunner();
  }

  /** The address of the caller API, once the node has started. */
  get callerAddress(): string {
    const { host, port } = this.#server?.address ?? { host: "", port: 0 };
    return `${host}:${port}`;
  }

  /** Listens for peers and callers, and starts the timers. */
  async start(): Promise<Result<void, Failure>> {
    const peers = await this.#network.start();
    if (peers.isErr()) return err(peers.error);
    const { host, caller_port: port } = this.#settings.listen;
    const app = createCallerApp(this.#callerAdapter);
    const server = await serveApp(app, { host, port });
    if (server.isErr()) return err(server.error);
    this.#server = server.value;
    this.#startTimers();
    this.#log("NodeStarted");
    return ok(undefined);
  }

  /**
   * Shuts down gracefully: accepts no new requests, hands its shards over and
   * waits for open requests. Then waits until the platform stores the entries
   * that this node replicates for other owners, and closes.
   */
  async stop(limitMs: number): Promise<void> {
    this.#log("NodeStopping");
    this.#handle({ kind: "stop" });
    await waitUntil(() => this.#isDrained(), limitMs);
    const replicaLimitMs = Math.min(limitMs, REPLICA_STORE_LIMIT_MS);
    await waitUntil(() => this.core.replicaBytes === 0, replicaLimitMs);
    await this.close();
    this.#log("NodeStopped");
  }

  /** Stops the timers and closes every connection without draining. */
  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    await this.#server?.stop();
    await this.#network.stop();
    await this.#engines.close();
    await this.#services.close();
    await this.#platform.close();
    await this.#vmList.close();
  }

  #isDrained(): boolean {
    return this.#isHandedOver && this.core.openRequests === 0 &&
      this.#attempts.count === 0;
  }

  #handle(input: NodeInput): void {
    const startedAtMs = performance.now();
    const step = this.core.handle(input, startedAtMs);
    for (const effect of step.effects) this.#runner.run(effect);
    for (const notice of step.notices) this.#handleNotice(notice);
    this.metrics.record("node_step", performance.now() - startedAtMs);
  }

  #countAttemptEvent(event: AttemptEvent): void {
    if (event.kind === "broken") this.metrics.add("attempts_broken");
    if (event.kind === "text") this.metrics.add("text_tokens", event.tokens);
  }

  #handleNotice(notice: NodeNotice): void {
    this.#operations.waiters.handle(notice);
    if (notice.kind === "handed_over") this.#isHandedOver = true;
    if (notice.kind !== "in_force") return;
    this.#engines.setTargets(notice.value.targets);
    this.#services.setTargets(notice.value.targets);
  }

  #startTimers(): void {
    const tick = (): void => this.#handle({ kind: "tick" });
    this.#timers.push(setInterval(tick, TICK_INTERVAL_MS));
    const readList = (): void => void this.#readVmList();
    this.#timers.push(setInterval(readList, VM_LIST_INTERVAL_MS));
    readList();
  }

  async #readVmList(): Promise<void> {
    const listed = await this.#vmList.list();
    if (listed.isErr()) return;
    const vms = listed.value.map(({ address, ...rest }) => ({
      ...rest,
      peerAddress: address,
    }));
    this.#handle({ kind: "vm_list", vms });
  }

  #createNetwork(): PeerNetwork {
    const { host, peer_port: port } = this.#settings.listen;
    return new PeerNetwork({
      self: this.#spec,
      listenAddress: `${host}:${port}`,
      security: buildSecurity(this.#settings),
      log: (record) => this.#logs.write(record),
      onMessage: (from, message) => {
        this.metrics.add("peer_messages_received");
        this.#handle({ kind: "peer", from, message });
      },
    });
  }

  #createCallerAdapter(): CallerAdapter {
    return new CallerAdapter({
      core: this.core,
      shardCount: this.#settings.installation.shard_count,
      processName: this.#formatProcessName(),
      metrics: this.metrics,
      handle: (input) => this.#handle(input),
      operate: (request) => this.#operations.run(request),
    });
  }

  #createOperations(): Operations {
    return new Operations({
      core: this.core,
      processName: this.#formatProcessName(),
      handle: (input) => this.#handle(input),
      stopProgram: (programId) => this.#stopProgram(programId),
      findCharge: (callId) =>
        findCharge(
          callId,
          this.core.configuration,
          (request) => this.#sendRequest(request),
        ),
      buildStatement: (command) => readStatement(this.#platform, command),
    });
  }

  #createRunner(): EffectRunner {
    return new EffectRunner({
      network: this.#network,
      platform: this.#platform,
      engines: this.#engines,
      attempts: this.#attempts,
      logs: this.#logs,
      metrics: this.metrics,
      findPeerAddress: (vmId) => this.core.findPeerAddress(vmId),
      sendResponse: (requestId, response) =>
        this.#callerAdapter.sendResponse(requestId, response),
      handle: (input) => this.#handle(input),
    });
  }

  async #stopProgram(
    programId: string,
  ): ReturnType<Operations["run"]> {
    const response = await this.#sendRequest({
      kind: "end_program",
      programId,
    });
    if (response.kind === "program") {
      const text = `program ${programId} ended`;
      return ok({ text, data: response.program });
    }
    const detail = response.kind === "refused"
      ? response.failure.detail
      : response.kind;
    return err(createFailure("ProgramUnknown", detail));
  }

  /** Submits a request like a caller and waits for its final response. */
  #sendRequest(request: CallerRequest): Promise<CallerResponse> {
    return new Promise((resolve) => {
      this.#callerAdapter.runRequest(request, {
        mayBeRepeat: true,
        onResponsePart(response): void {
          if (response.kind !== "text") resolve(response);
        },
      });
    });
  }

  #formatProcessName(): string {
    return `${this.#spec.vmId}-${this.#spec.incarnation.toString(36)}`;
  }

  #log(name: "NodeStarted" | "NodeStopping" | "NodeStopped"): void {
    const { event } = EVENTS[name];
    const { region, incarnation } = this.#spec;
    const callers = this.callerAddress;
    this.#logs.write({ event, fields: { region, incarnation, callers } });
  }
}
