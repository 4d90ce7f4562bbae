/**
 * The policy roles of a node: placement, the dispatchers of its targets,
 * admission, and the exchange of target loads with other nodes.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type ConfigurationValue,
  type DispatchMessage,
  type Effect,
  type MembershipView,
  type NodeSpec,
  type ProgramId,
  type ProgramSpec,
  type TargetId,
  type TargetLoad,
  type VmId,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { Admission } from "../admission/mod.ts";
import { DispatcherSet, type DispatchStep } from "../dispatch/mod.ts";
import type {
  CachedUse,
  CallPlacer,
  PlacementChoice,
  PlacementRequest,
} from "../owner/mod.ts";
import { LoadReporter, Placement } from "../placement/mod.ts";
import { RandomSource } from "../random/mod.ts";
import {
  DEFAULT_RETRY_SETTINGS,
  RetryBudget,
  type RetryContext,
} from "../retry/mod.ts";
import { buildPolicySettings } from "./policy_settings.ts";

/** Maximum number of agents whose last model is cached. */
const MAX_AGENTS = 4_096;

/** The options of the policy roles. */
export interface NodePolicyOptions {
  readonly spec: NodeSpec;
  readonly seed: number;
  readonly getValue: () => ConfigurationValue;
  readonly getView: () => MembershipView;
}

/** Places calls, dispatches for targets, and admits programs. */
export class NodePolicy implements CallPlacer {
  readonly retries: RetryContext;
  readonly #placement: Placement;
  readonly #random: RandomSource;
  #settings = buildPolicySettings([]);
  /** Whether the configuration in force may be out of date. */
  #isStale = true;
  /** The model that each agent requested last. */
  readonly #modelByAgent = new Map<string, string>();
  readonly #dispatchers: DispatcherSet;
  readonly #options: NodePolicyOptions;
  readonly #loadReporter: LoadReporter;
  readonly #admission: Admission;
  #nowMs = 0;

  constructor(options: NodePolicyOptions) {
    const { spec, seed, getValue, getView } = options;
    this.#options = options;
    this.#random = new RandomSource(seed + 2);
    this.retries = {
      settings: DEFAULT_RETRY_SETTINGS,
      budget: new RetryBudget(DEFAULT_RETRY_SETTINGS.budget),
      random: this.#random,
    };
    this.#placement = new Placement({
      region: spec.region,
      settings: this.#settings.placement,
      seed,
      getTargets: () => getValue().targets,
      getRules: () => getValue().placementRules,
      getView,
    });
    this.#dispatchers = new DispatcherSet({
      settings: this.#settings.dispatch,
      seed: seed + 1,
      findReportedLoad: (targetId) => this.#placement.findLoad(targetId),
    });
    this.#loadReporter = new LoadReporter({
      self: spec.vmId,
      region: spec.region,
    });
    this.#admission = new Admission(this.#settings.admission, seed + 3);
  }

  /** Chooses a call's target. Fails with `NoTarget`, or `NodeCutOff` if stale. */
  choose(
    request: PlacementRequest,
    nowMs: number,
  ): Result<PlacementChoice, Failure> {
    if (this.#isStale) {
      const detail = "the configuration may be out of date";
      return err(createFailure("NodeCutOff", detail));
    }
    const { call, agent } = request;
    if (call.kind === "model") this.#recordModel(agent, call.model);
    return this.#placement.choose(request, nowMs);
  }

  /** Records the prefix that an attempt left in its target's cache. */
  recordCached(programId: ProgramId, use: CachedUse): void {
    this.#placement.recordCached(programId, use);
  }

  /** Records that a target released a program's cached prefix. */
  recordReleased(programId: ProgramId, targetId: TargetId): void {
    this.#placement.recordReleased(programId, targetId);
  }

  /** Updates the length estimate for an agent's completions. */
  recordCompletion(agent: string, completionTokens: number): void {
    const ended = { kind: "call_ended", agent, completionTokens } as const;
    this.#placement.handle(ended, 0);
  }

  /** Evicts the record of an ended program's prefix. */
  recordProgramEnded(programId: ProgramId): void {
    this.#placement.handle({ kind: "program_ended", programId }, 0);
  }

  /** Whether new work may be sent to a target at this moment. */
  isOpen(targetId: TargetId): boolean {
    if (this.#isStale) return false;
    const target = this.#options.getValue().targets
      .find((each) => each.targetId === targetId);
    return target !== undefined && !target.leaving;
  }

  /** Whether a target is configured. */
  hasTarget(targetId: TargetId): boolean {
    return this.#placement.hasTarget(targetId);
  }

  /** Finds the node that currently dispatches for a target. */
  findDispatcher(targetId: TargetId): VmId | undefined {
    return this.#placement.findDispatcher(targetId);
  }

  /**
   * Checks whether a new program may start, by the load of the model that its
   * agent requested last. Fails with `Overloaded`.
   */
  checkAdmission(spec: ProgramSpec): Result<void, Failure> {
    const model = this.#modelByAgent.get(spec.agent);
    if (model === undefined) return ok(undefined);
    const loads = this.#placement.listLoads("engine", model);
    const { programClass, partner } = spec;
    const request = { partner, programClass, loads };
    return this.#admission.check(request, this.#nowMs);
  }

  /** Handles a message between owners and dispatchers. */
  handlePeer(from: VmId, message: DispatchMessage, nowMs: number): Effect[] {
    switch (message.kind) {
      case "slot_request":
      case "slot_renewed":
      case "slot_released":
        return this.#applyStep(
          this.#dispatchers.handle({ kind: "peer", from, message }, nowMs),
          nowMs,
        );
      case "slot_granted":
      case "slot_refused":
        if (message.load !== undefined) {
          this.#recordLoads([message.load], nowMs);
        }
        return [];
      case "target_loads":
        this.#recordLoads(message.loads, nowMs);
        return [];
      default:
        return checkNever(message);
    }
  }

  /**
   * Pauses or resumes grants and placement. A node whose configuration may be
   * out of date could otherwise send work to a target that is leaving.
   */
  setStale(isStale: boolean, nowMs: number): Effect[] {
    this.#isStale = isStale;
    return this.#updateTargets(nowMs);
  }

  /** Applies the configuration that has come into force. */
  applyConfiguration(value: ConfigurationValue, nowMs: number): Effect[] {
    const { policies } = value;
    const settings = buildPolicySettings(policies);
    if (JSON.stringify(settings) !== JSON.stringify(this.#settings)) {
      this.#settings = settings;
      this.#placement.setSettings(settings.placement);
      this.#admission.setSettings(settings.admission);
      this.#dispatchers.setSettings(settings.dispatch);
    }
    return this.#updateTargets(nowMs);
  }

  /** Updates the targets; while the configuration is stale, all are leaving. */
  #updateTargets(nowMs: number): Effect[] {
    const { targets } = this.#options.getValue();
    const effective = this.#isStale
      ? targets.map((target) => ({ ...target, leaving: true }))
      : targets;
    const input = { kind: "targets_changed", targets: effective } as const;
    return this.#applyStep(this.#dispatchers.handle(input, nowMs), nowMs);
  }

  /** Expires slots, adapts limits and sends target loads to other nodes. */
  handleTick(nowMs: number): Effect[] {
    const tick = { kind: "tick" } as const;
    this.#nowMs = nowMs;
    this.#placement.handle(tick, nowMs);
    return this.#applyStep(this.#dispatchers.handle(tick, nowMs), nowMs);
  }

  #recordModel(agent: string, model: string): void {
    if (this.#modelByAgent.size >= MAX_AGENTS) this.#modelByAgent.clear();
    this.#modelByAgent.set(agent, model);
  }

  #applyStep(step: DispatchStep, nowMs: number): Effect[] {
    const effects = [...step.effects];
    for (const { loads } of step.notices) {
      this.#recordLoads(loads, nowMs);
      effects.push(...this.#sendLoads(loads, nowMs));
    }
    return effects;
  }

  #recordLoads(loads: readonly TargetLoad[], nowMs: number): void {
    this.#placement.handle({ kind: "loads", loads }, nowMs);
  }

  #sendLoads(loads: readonly TargetLoad[], nowMs: number): Effect[] {
    const { getView, getValue } = this.#options;
    this.#loadReporter.update(getView(), getValue().targets);
    return this.#loadReporter.takeMessages(loads, nowMs).map((each) => ({
      kind: "send_peer",
      to: each.to,
      message: { kind: "target_loads", loads: each.loads },
    }));
  }
}
