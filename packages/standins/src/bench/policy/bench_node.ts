/**
 * One node of a bench: the production dispatchers and placement, with a stale
 * view of their own, and a simulated owner that runs programs through them.
 */
import {
  Admission,
  chooseRetry,
  DispatcherSet,
  Placement,
  type PlacementDecision,
  type PlacementRequest,
  RandomSource,
  RetryBudget,
} from "@camphorlock/scheduler";
import type {
  DispatchMessage,
  Effect,
  NodeView,
  PlacementRule,
  VmId,
} from "@camphorlock/types";
import type { EngineOutput, GenerateRequest } from "../../engine/mod.ts";
import type { RunCounters } from "./measurements.ts";
import type { PolicySet } from "./policies.ts";
import type { AttemptRun, ProgramRun } from "./program_run.ts";
import { BENCH_MODEL, createView, type Topology } from "./topology.ts";
import type { PlannedCall, PlannedProgram } from "./workload.ts";

/** The network, engines, timers and counters that a node uses. */
export interface BenchLink {
  send(to: VmId, message: DispatchMessage): void;
  generate(targetId: string, request: GenerateRequest): void;
  cancel(targetId: string, attemptId: string): void;
  schedule(delayMs: number, run: (nowMs: number) => void): void;
  readonly counters: RunCounters;
}

/** The settings of a bench node. */
export interface BenchNodeOptions {
  readonly node: NodeView;
  readonly topology: Topology;
  readonly policies: PolicySet;
  readonly seed: number;
  readonly link: BenchLink;
}

const NO_RULES: readonly PlacementRule[] = [];
const RENEWAL_PERIOD_MS = 400;
const BYTES_PER_TOKEN = 4;
/** Immediate retries on other targets, before a back-off or a refusal. */
const FAST_RETRIES = 2;
const CADENCE_SAMPLE_EVERY = 16;

/** A node in virtual time. */
export class BenchNode {
  readonly #options: BenchNodeOptions;
  readonly #dispatchers: DispatcherSet;
  readonly #placement: Placement;
  readonly #admission: Admission;
  readonly #random: RandomSource;
  readonly #retryBudget: RetryBudget;
  readonly #attempts = new Map<string, AttemptRun>();
  #renewedAtMs = 0;
  #attemptNumber = 0;

  constructor(options: BenchNodeOptions) {
    const { node, topology, policies, seed } = options;
    this.#options = options;
    const view = createView(topology, node);
    this.#placement = new Placement({
      region: node.spec.region,
      settings: policies.placement,
      seed,
      getTargets: () => topology.engines,
      getRules: () => NO_RULES,
      getView: () => view,
    });
    this.#dispatchers = new DispatcherSet({
      settings: policies.dispatch,
      seed: seed + 1,
      findReportedLoad: (targetId) => this.#placement.findLoad(targetId),
    });
    const targets = topology.engines;
    this.#dispatchers.handle({ kind: "targets_changed", targets }, 0);
    this.#admission = new Admission(policies.admission, seed + 3);
    this.#random = new RandomSource(seed + 2);
    this.#retryBudget = new RetryBudget(policies.retry.budget);
  }

  get vmId(): VmId {
    return this.#options.node.spec.vmId;
  }

  /** Handles a message from this node or another. */
  receive(from: VmId, message: DispatchMessage, nowMs: number): void {
    switch (message.kind) {
      case "slot_granted":
        if (message.load !== undefined) {
          const loads = [message.load];
          this.#placement.handle({ kind: "loads", loads }, nowMs);
        }
        return this.#startAttempt(message.attemptId, nowMs);
      case "slot_refused":
        if (message.load !== undefined) {
          const loads = [message.load];
          this.#placement.handle({ kind: "loads", loads }, nowMs);
        }
        return this.#handleRefusal(message, nowMs);
      case "target_loads":
        return this.#placement.handle(
          { kind: "loads", loads: message.loads },
          nowMs,
        );
      default:
        return this.#handleEffect({ kind: "peer", from, message }, nowMs);
    }
  }

  /** Runs the periodic work; renews slots once per renewal period. */
  handleTick(nowMs: number): void {
    this.#handleEffect({ kind: "tick" }, nowMs);
    this.#placement.handle({ kind: "tick" }, nowMs);
    if (nowMs - this.#renewedAtMs < RENEWAL_PERIOD_MS) return;
    this.#renewedAtMs = nowMs;
    for (const attempt of this.#attempts.values()) this.#renewSlot(attempt);
  }

  /** Starts a program. Admission may refuse it unless it's a sub-agent. */
  startProgram(
    run: ProgramRun,
    options: { readonly needsAdmission: boolean; readonly nowMs: number },
  ): void {
    const { needsAdmission, nowMs } = options;
    if (needsAdmission) {
      const loads = this.#placement.listLoads("engine", BENCH_MODEL);
      const { programClass, partner } = run.plan;
      const request = { partner, programClass, loads };
      const admitted = this.#admission.check(request, nowMs);
      if (admitted.isErr()) {
        return run.onRefused(admitted.error.retryAfterMs ?? 1_000, nowMs);
      }
    }
    this.#startCall(run, nowMs);
  }

  /** Handles the output of an engine for an attempt of this node. */
  receiveOutput(output: EngineOutput, nowMs: number): void {
    if (output.kind === "tokens") this.#recordTokens(output, nowMs);
    if (output.kind === "completed") this.#endAttempt(output, nowMs);
  }

  /** Handles a cache event, which arrives after the engine's event delay. */
  receiveCacheEvent(
    targetId: string,
    output: EngineOutput & { readonly kind: "cache_event" },
  ): void {
    const { event, atMs } = output;
    const { cacheEventDelayMs } = this.#options.topology.engine;
    const { kind, programId, tokens, number } = event;
    const happenedAtMs = atMs - cacheEventDelayMs;
    this.#placement.handle({
      kind: "cache_event",
      report: { targetId, kind, programId, tokens, number, atMs: happenedAtMs },
    }, atMs);
  }

  #handleEffect(
    input: Parameters<DispatcherSet["handle"]>[0],
    nowMs: number,
  ): void {
    const step = this.#dispatchers.handle(input, nowMs);
    this.#applyEffects(step.effects);
    for (const { loads } of step.notices) {
      for (const { spec } of this.#options.topology.nodes) {
        this.#options.link.send(spec.vmId, { kind: "target_loads", loads });
      }
    }
  }

  #applyEffects(effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind !== "send_peer") continue;
      const message = effect.message;
      if (
        message.kind === "slot_granted" || message.kind === "slot_refused"
      ) this.#options.link.send(effect.to, message);
    }
  }

  #startCall(run: ProgramRun, nowMs: number): void {
    run.callStartedAtMs = nowMs;
    run.excluded = [];
    run.attempt = 0;
    this.#retryBudget.recordFirstAttempt();
    this.#placeCall(run, nowMs);
  }

  #placeCall(run: ProgramRun, nowMs: number): void {
    const call = getCall(run);
    const promptTokens = run.historyTokens + call.newTokens;
    const request = buildRequest(run, promptTokens);
    this.#options.link.counters.decisions += 1;
    const decision = this.#placement.choose(request, nowMs);
    if (decision.isErr()) throw new Error(decision.error.detail);
    run.attempt += 1;
    this.#sendSlotRequest(run, {
      decision: decision.value,
      promptTokens,
      nowMs,
    });
  }

  #sendSlotRequest(
    run: ProgramRun,
    options: {
      readonly decision: PlacementDecision;
      readonly promptTokens: number;
      readonly nowMs: number;
    },
  ): void {
    const { decision, promptTokens, nowMs } = options;
    this.#attemptNumber += 1;
    const attemptId = `${this.vmId}.${this.#attemptNumber}`;
    const { targetId, dispatcher, cachedTokens } = decision;
    this.#attempts.set(attemptId, {
      attemptId,
      targetId,
      dispatcher,
      program: run,
      promptTokens,
      cachedTokens,
      grantedAtMs: undefined,
      firstTokenAtMs: undefined,
      tokens: 0,
      unreportedTokens: 0,
    });
    const { plan, tree } = run;
    this.#options.link.send(dispatcher, {
      kind: "slot_request",
      attemptId,
      targetId,
      partner: plan.partner,
      programClass: plan.programClass,
      agent: plan.agent,
      programId: plan.programId,
      attainedMs: tree.attainedMs,
      promptTokens,
      cachedTokens,
      maxTokens: 1_024,
      programAgeMs: nowMs - tree.startedAtMs,
    });
  }

  #startAttempt(attemptId: string, nowMs: number): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined || attempt.grantedAtMs !== undefined) return;
    attempt.grantedAtMs = nowMs;
    const { program, promptTokens, targetId } = attempt;
    const { plan } = program;
    const call = getCall(program);
    this.#options.link.generate(targetId, {
      attemptId,
      programId: plan.programId,
      model: BENCH_MODEL,
      promptTokens,
      parts: [
        { key: plan.agent, tokens: plan.sharedTokens, shared: true },
        { key: plan.programId, tokens: promptTokens, shared: false },
      ],
      storeKey: plan.programId,
      completionTokens: call.completionTokens,
      producedTokens: 0,
    });
    this.#recordPaidBytes(attempt, call);
  }

  #recordPaidBytes(attempt: AttemptRun, call: PlannedCall): void {
    const { topology, node, link } = this.#options;
    const engine = topology.engines.find((each) =>
      each.targetId === attempt.targetId
    );
    if (engine?.region === node.spec.region) return;
    const tokens = attempt.promptTokens + call.completionTokens;
    link.counters.paidBytes += tokens * BYTES_PER_TOKEN;
  }

  #handleRefusal(
    refusal: Extract<DispatchMessage, { kind: "slot_refused" }>,
    nowMs: number,
  ): void {
    const attempt = this.#attempts.get(refusal.attemptId);
    if (attempt === undefined || attempt.grantedAtMs !== undefined) return;
    this.#attempts.delete(refusal.attemptId);
    this.#options.link.counters.queueRefusals += 1;
    const run = attempt.program;
    run.excluded.push(attempt.targetId);
    if (run.excluded.length <= FAST_RETRIES) return this.#placeCall(run, nowMs);
    const { retryAfterMs } = refusal;
    const isNewProgram = run.turn === 0 && run.tree.attainedMs === 0;
    if (isNewProgram) {
      return run.onRefused(retryAfterMs, nowMs);
    }
    this.#scheduleRetry(run, retryAfterMs);
  }

  /** Retries a call of a started program until a target accepts it. */
  #scheduleRetry(run: ProgramRun, retryAfterMs: number): void {
    const choice = chooseRetry({ kind: "slot_refused", retryAfterMs }, {
      idempotent: true,
      attempts: run.attempt,
      leftMs: Infinity,
    }, {
      settings: this.#options.policies.retry,
      budget: this.#retryBudget,
      random: this.#random,
    });
    const delayMs = choice.kind === "retry" ? choice.afterMs : retryAfterMs;
    run.excluded = [];
    this.#options.link.schedule(delayMs, (atMs) => this.#placeCall(run, atMs));
  }

  #recordTokens(
    output: EngineOutput & { readonly kind: "tokens" },
    nowMs: number,
  ): void {
    const attempt = this.#attempts.get(output.attemptId);
    if (attempt === undefined) return;
    const { counters } = this.#options.link;
    if (attempt.firstTokenAtMs === undefined) {
      attempt.firstTokenAtMs = nowMs;
      counters.firstTokenTimesMs.push(nowMs - attempt.program.callStartedAtMs);
    }
    attempt.tokens += output.tokens;
    attempt.unreportedTokens += output.tokens;
  }

  #renewSlot(attempt: AttemptRun): void {
    if (attempt.grantedAtMs === undefined) return;
    const { attemptId, targetId, dispatcher, unreportedTokens } = attempt;
    attempt.unreportedTokens = 0;
    this.#options.link.send(dispatcher, {
      kind: "slot_renewed",
      attemptId,
      targetId,
      tokens: unreportedTokens,
    });
  }

  #endAttempt(
    output: EngineOutput & { readonly kind: "completed" },
    nowMs: number,
  ): void {
    const attempt = this.#attempts.get(output.attemptId);
    if (attempt === undefined) return;
    this.#attempts.delete(output.attemptId);
    const { targetId, program } = attempt;
    const grantedAtMs = attempt.grantedAtMs ?? nowMs;
    const firstTokenAtMs = attempt.firstTokenAtMs ?? nowMs;
    this.#recordCadence(attempt, nowMs - firstTokenAtMs);
    this.#options.link.send(attempt.dispatcher, {
      kind: "slot_released",
      attemptId: attempt.attemptId,
      targetId,
      outcome: "completed",
      firstTokenMs: firstTokenAtMs - grantedAtMs,
      durationMs: nowMs - grantedAtMs,
      tokens: attempt.tokens,
    });
    program.tree.attainedMs += nowMs - grantedAtMs;
    program.historyTokens = output.promptTokens + output.completionTokens;
    this.#placement.recordCached(program.plan.programId, {
      targetId,
      tokens: program.historyTokens,
      nowMs,
    });
    const { agent } = program.plan;
    const { completionTokens } = output;
    this.#placement.handle(
      { kind: "call_ended", agent, completionTokens },
      nowMs,
    );
    this.#endCall(program, nowMs);
  }

  #recordCadence(attempt: AttemptRun, streamMs: number): void {
    if (this.#attemptNumber % CADENCE_SAMPLE_EVERY !== 0) return;
    if (attempt.tokens < 2) return;
    const tokenMs = streamMs / (attempt.tokens - 1);
    this.#options.link.counters.interTokenTimesMs.push(tokenMs);
  }

  #endCall(run: ProgramRun, nowMs: number): void {
    const call = getCall(run);
    let runningChildren = call.children.length;
    if (runningChildren === 0) return this.#startNextCall(run, call);
    const onEnd = (): void => {
      runningChildren -= 1;
      if (runningChildren === 0) this.#startNextCall(run, call);
    };
    for (const plan of call.children) {
      const child = createProgramRun(plan, { tree: run.tree, onEnd });
      this.startProgram(child, { needsAdmission: false, nowMs });
    }
  }

  #startNextCall(run: ProgramRun, call: PlannedCall): void {
    run.turn += 1;
    if (run.turn >= run.plan.calls.length) {
      return this.#options.link.schedule(
        0,
        (atMs) => this.#endProgram(run, atMs),
      );
    }
    this.#options.link.schedule(
      call.pauseMs,
      (atMs) => this.#startCall(run, atMs),
    );
  }

  #endProgram(run: ProgramRun, nowMs: number): void {
    const { programId } = run.plan;
    this.#placement.handle({ kind: "program_ended", programId }, nowMs);
    run.onEnd(nowMs);
  }
}

/** Creates the initial state of a program. */
export function createProgramRun(
  plan: PlannedProgram,
  options: Pick<ProgramRun, "tree" | "onEnd"> & Partial<ProgramRun>,
): ProgramRun {
  return {
    plan,
    turn: 0,
    historyTokens: plan.sharedTokens,
    attempt: 0,
    excluded: [],
    callStartedAtMs: 0,
    onRefused: () => {},
    ...options,
  };
}

function getCall(run: ProgramRun): PlannedCall {
  const call = run.plan.calls[run.turn];
  if (call === undefined) throw new RangeError("the program has no such call");
  return call;
}

function buildRequest(run: ProgramRun, promptTokens: number): PlacementRequest {
  const { plan } = run;
  return {
    callId: `${plan.programId}.call`,
    programId: plan.programId,
    partner: plan.partner,
    programClass: plan.programClass,
    agent: plan.agent,
    call: { kind: "model", model: BENCH_MODEL, messages: [], maxTokens: 1_024 },
    promptTokens,
    excluded: run.excluded,
  };
}
