/**
 * Runs a workload on simulated nodes and engines in virtual time.
 */
import type { DispatchMessage, Region, VmId } from "@camphorlock/types";
import {
  type EngineInput,
  EngineModel,
  type EngineOutput,
} from "../../engine/mod.ts";
import { type BenchLink, BenchNode, createProgramRun } from "./bench_node.ts";
import { VirtualClock } from "../../fleet/virtual_clock.ts";
import type { ProgramRecord, RunCounters, RunRecords } from "./measurements.ts";
import type { PolicySet } from "./policies.ts";
import { getDelay, type Topology } from "./topology.ts";
import type { PlannedProgram, Workload } from "./workload.ts";

/** A scheduled change of an engine's speed. */
export interface SpeedChange {
  readonly atMs: number;
  readonly engine: number;
  readonly speed: number;
}

/** The input of a run. */
export interface RunOptions {
  readonly topology: Topology;
  readonly policies: PolicySet;
  readonly workload: Workload;
  readonly seed: number;
  readonly speedChanges: readonly SpeedChange[];
  /** Longest time that the run continues after the last arrival. */
  readonly drainMs: number;
  /** How long after a program's arrival its caller retries refusals. */
  readonly callerRetryWindowMs: number;
}

interface EngineHost {
  readonly model: EngineModel;
  readonly region: Region;
  readonly targetId: string;
  timerAtMs: number;
}

const TICK_MS = 50;

/** Runs a workload and returns its records. */
export function runCluster(options: RunOptions): RunRecords {
  return new BenchCluster(options).run();
}

class BenchCluster {
  readonly #options: RunOptions;
  readonly #clock = new VirtualClock();
  readonly #nodes = new Map<VmId, BenchNode>();
  readonly #regions = new Map<VmId, Region>();
  readonly #engines = new Map<string, EngineHost>();
  readonly #attemptNodes = new Map<string, VmId>();
  readonly #records: ProgramRecord[] = [];
  readonly #running = new Map<string, PlannedProgram>();
  readonly #refusals = new Map<string, number>();
  readonly #sentAtMs = new Map<string, number>();
  readonly #counters: RunCounters = {
    computedPromptTokens: 0,
    paidBytes: 0,
    decisions: 0,
    queueRefusals: 0,
    slowestRefusalMs: 0,
    firstTokenTimesMs: [],
    interTokenTimesMs: [],
  };

  constructor(options: RunOptions) {
    this.#options = options;
    this.#createEngines();
    this.#createNodes();
  }

  run(): RunRecords {
    const { workload, drainMs } = this.#options;
    for (const program of workload.programs) {
      this.#clock.addAt(
        program.arrivesAtMs,
        (atMs) => this.#startProgram(program, atMs),
      );
      this.#running.set(program.programId, program);
    }
    this.#scheduleSpeedChanges();
    const lastArrivalMs = workload.programs.at(-1)?.arrivesAtMs ?? 0;
    const endMs = this.#runUntilDone(lastArrivalMs + drainMs);
    for (const program of this.#running.values()) this.#record(program, {});
    for (const { model } of this.#engines.values()) {
      this.#counters.computedPromptTokens += model.countComputedPromptTokens();
    }
    const counters = this.#counters;
    return { workload, programs: this.#records, counters, endMs };
  }

  #runUntilDone(endMs: number): number {
    let atMs = 0;
    while (atMs < endMs && this.#running.size > 0) {
      atMs = Math.min(endMs, atMs + 1_000);
      this.#clock.runTo(atMs);
    }
    return atMs;
  }

  #createEngines(): void {
    const { topology, seed } = this.#options;
    topology.engines.forEach((target, index) => {
      const settings = { ...topology.engine, seed: seed * 50 + index };
      this.#engines.set(target.targetId, {
        model: new EngineModel(settings),
        region: target.region,
        targetId: target.targetId,
        timerAtMs: Infinity,
      });
    });
  }

  #createNodes(): void {
    const { topology, policies, seed } = this.#options;
    topology.nodes.forEach((node, index) => {
      const { vmId, region } = node.spec;
      this.#regions.set(vmId, region);
      const link = this.#createLink(vmId, region);
      const nodeSeed = seed * 1_000 + index * 10;
      const options = { node, topology, policies, seed: nodeSeed, link };
      const benchNode = new BenchNode(options);
      this.#nodes.set(vmId, benchNode);
      this.#scheduleTick(benchNode, index * TICK_MS / topology.nodes.length);
    });
  }

  #scheduleTick(node: BenchNode, atMs: number): void {
    this.#clock.addAt(atMs, (nowMs) => {
      node.handleTick(nowMs);
      this.#scheduleTick(node, nowMs + TICK_MS);
    });
  }

  #createLink(vmId: VmId, region: Region): BenchLink {
    return {
      counters: this.#counters,
      send: (to, message) => this.#send({ vmId, region }, to, message),
      schedule: (delayMs, run) =>
        this.#clock.addAt(this.#clock.nowMs + delayMs, run),
      generate: (targetId, request) => {
        this.#attemptNodes.set(request.attemptId, vmId);
        this.#sendToEngine(targetId, region, { kind: "generate", request });
      },
      cancel: (targetId, attemptId) =>
        this.#sendToEngine(targetId, region, { kind: "cancel", attemptId }),
    };
  }

  #send(
    from: { readonly vmId: VmId; readonly region: Region },
    to: VmId,
    message: DispatchMessage,
  ): void {
    const node = this.#nodes.get(to);
    if (node === undefined) return;
    const delayMs = to === from.vmId ? 0 : getDelay(
      this.#options.topology.delays,
      from.region,
      this.#regions.get(to) ?? "",
    );
    this.#clock.addAt(this.#clock.nowMs + delayMs, (atMs) => {
      node.receive(from.vmId, message, atMs);
    });
  }

  #sendToEngine(targetId: string, from: Region, input: EngineInput): void {
    const host = this.#engines.get(targetId);
    if (host === undefined) return;
    const delays = this.#options.topology.delays;
    const delayMs = getDelay(delays, from, host.region);
    this.#clock.addAt(this.#clock.nowMs + delayMs, (atMs) => {
      this.#handleEngine(host, input, atMs);
    });
  }

  #handleEngine(host: EngineHost, input: EngineInput, nowMs: number): void {
    const outputs = host.model.handle(input, nowMs);
    for (const output of outputs) this.#forwardOutput(host, output);
    const nextAtMs = host.model.getNextAtMs();
    if (nextAtMs === Infinity || nextAtMs === host.timerAtMs) return;
    host.timerAtMs = nextAtMs;
    this.#clock.addAt(nextAtMs, (atMs) => {
      if (host.timerAtMs !== atMs) return;
      host.timerAtMs = Infinity;
      this.#handleEngine(host, { kind: "advance" }, atMs);
    });
  }

  #forwardOutput(host: EngineHost, output: EngineOutput): void {
    if (output.kind === "cache_event") {
      for (const node of this.#nodes.values()) {
        node.receiveCacheEvent(host.targetId, output);
      }
      return;
    }
    if (output.kind !== "tokens" && output.kind !== "completed") return;
    const vmId = this.#attemptNodes.get(output.attemptId);
    const node = vmId === undefined ? undefined : this.#nodes.get(vmId);
    if (vmId === undefined || node === undefined) return;
    const delays = this.#options.topology.delays;
    const region = this.#regions.get(vmId) ?? "";
    const arrivesAtMs = output.atMs + getDelay(delays, host.region, region);
    if (output.kind === "tokens" && output.offset > 0) {
      node.receiveOutput(output, arrivesAtMs);
      return;
    }
    this.#clock.addAt(arrivesAtMs, (atMs) => node.receiveOutput(output, atMs));
    if (output.kind === "completed") {
      this.#attemptNodes.delete(output.attemptId);
    }
  }

  #scheduleSpeedChanges(): void {
    const targets = this.#options.topology.engines;
    for (const { atMs, engine, speed } of this.#options.speedChanges) {
      const host = this.#engines.get(targets[engine]?.targetId ?? "");
      if (host === undefined) continue;
      this.#clock.addAt(
        atMs,
        (nowMs) =>
          this.#handleEngine(host, { kind: "set_speed", speed }, nowMs),
      );
    }
  }

  /** Sends a program to a node. After a refusal, the next node gets it. */
  #startProgram(program: PlannedProgram, nowMs: number): void {
    const nodes = [...this.#nodes.values()];
    const refusals = this.#refusals.get(program.programId) ?? 0;
    const node = nodes[(program.place + refusals) % nodes.length];
    if (node === undefined) return;
    this.#sentAtMs.set(program.programId, nowMs);
    const tree = { startedAtMs: program.arrivesAtMs, attainedMs: 0 };
    const run = createProgramRun(program, {
      tree,
      onEnd: (atMs) => this.#recordEnd(program, atMs),
      onRefused: (retryAfterMs, atMs) =>
        this.#handleRefusal(program, retryAfterMs, atMs),
    });
    const { toClientMs } = this.#options.topology.delays;
    this.#clock.addAt(nowMs + toClientMs, (atMs) => {
      node.startProgram(run, { needsAdmission: true, nowMs: atMs });
    });
  }

  #handleRefusal(
    program: PlannedProgram,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    const { programId, arrivesAtMs } = program;
    const sentAtMs = this.#sentAtMs.get(programId) ?? arrivesAtMs;
    const { toClientMs } = this.#options.topology.delays;
    const refusedMs = nowMs + toClientMs - sentAtMs;
    const { slowestRefusalMs } = this.#counters;
    this.#counters.slowestRefusalMs = Math.max(slowestRefusalMs, refusedMs);
    const refusals = (this.#refusals.get(programId) ?? 0) + 1;
    this.#refusals.set(programId, refusals);
    const retryAtMs = nowMs + retryAfterMs;
    if (retryAtMs - arrivesAtMs <= this.#options.callerRetryWindowMs) {
      this.#clock.addAt(
        retryAtMs,
        (atMs) => this.#startProgram(program, atMs),
      );
      return;
    }
    this.#running.delete(programId);
    this.#record(program, { isAbandoned: true });
  }

  #record(
    program: PlannedProgram,
    outcome: Partial<Pick<ProgramRecord, "endedAtMs" | "isAbandoned">>,
  ): void {
    const { programId, arrivesAtMs } = program;
    this.#records.push({
      program,
      sentAtMs: this.#sentAtMs.get(programId) ?? arrivesAtMs,
      endedAtMs: undefined,
      isAbandoned: false,
      refusals: this.#refusals.get(programId) ?? 0,
      ...outcome,
    });
  }

  #recordEnd(program: PlannedProgram, nowMs: number): void {
    const { programId } = program;
    const { toClientMs } = this.#options.topology.delays;
    this.#running.delete(programId);
    this.#record(program, { endedAtMs: nowMs + toClientMs });
  }
}
