/**
 * Chooses a target for each call from stale loads and a prefix index that may be
 * wrong.
 *
 * A decision considers a bounded set of candidates: the holders of the program's
 * prefix and a random sample, most of it from the node's own region. Its time
 * doesn't grow with the number of targets.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type MembershipView,
  type PlacementRule,
  type ProgramId,
  type Region,
  type TargetId,
  type TargetLoad,
  type TargetSpec,
  type VmId,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { CachedUse, PlacementRequest } from "../owner/ports.ts";
import { RandomSource } from "../random/mod.ts";
import { AgentStatistics } from "./agent_statistics.ts";
import { DispatcherChooser } from "./choose_dispatcher.ts";
import { CandidateChooser } from "./candidates.ts";
import { type Choice, chooseTarget } from "./choose_target.ts";
import { buildDecisionLog, type PlacementDecision } from "./decision.ts";
import { LoadTable, type ObservedLoad } from "./load_table.ts";
import { type CacheEventReport, PrefixIndex } from "./prefix_index.ts";
import type { PlacementSettings } from "./settings.ts";
import { updateSpeeds } from "./slow_targets.ts";
import { TargetIndex } from "./target_index.ts";

/** The inputs of placement, besides the calls to place. */
export type PlacementInput =
  | { readonly kind: "loads"; readonly loads: readonly TargetLoad[] }
  | { readonly kind: "cache_event"; readonly report: CacheEventReport }
  | {
    /** A call ended with a completion of this length. */
    readonly kind: "call_ended";
    readonly agent: string;
    readonly completionTokens: number;
  }
  | { readonly kind: "program_ended"; readonly programId: ProgramId }
  | { readonly kind: "tick" };

/** The settings and state that placement reads. */
export interface PlacementOptions {
  readonly region: Region;
  readonly settings: PlacementSettings;
  readonly seed: number;
  readonly getTargets: () => readonly TargetSpec[];
  readonly getRules: () => readonly PlacementRule[];
  readonly getView: () => MembershipView;
}

const SPEED_UPDATE_INTERVAL_MS = 400;

/** Chooses targets for the calls of one node. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #random: RandomSource;
  readonly #index: TargetIndex;
  readonly #loads = new LoadTable();
  readonly #dispatchers = new DispatcherChooser();
  readonly #agents = new AgentStatistics();
  readonly #prefixes: PrefixIndex;
  readonly #candidates: CandidateChooser;
  #settings: PlacementSettings;
  #decisionNumber = 0;
  #speedsUpdatedAtMs = -Infinity;

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#settings = options.settings;
    this.#random = new RandomSource(options.seed);
    this.#index = new TargetIndex(options.region);
    this.#prefixes = new PrefixIndex(options.settings.mostPrograms);
    this.#decisionNumber = this.#random.takeIndex(1_000);
    const { region, getRules, getView } = options;
    this.#candidates = new CandidateChooser({
      region,
      index: this.#index,
      prefixes: this.#prefixes,
      random: this.#random,
      getSettings: () => this.#settings,
      getRules,
      getView,
    });
  }

  /** Applies an input to the state of placement. */
  handle(input: PlacementInput, nowMs: number): void {
    switch (input.kind) {
      case "loads":
        for (const load of input.loads) this.#loads.record(load, nowMs);
        return;
      case "cache_event":
        return this.#prefixes.apply(input.report);
      case "call_ended":
        return this.#agents.record(input.agent, input.completionTokens);
      case "program_ended":
        return this.#prefixes.removeProgram(input.programId);
      case "tick":
        return this.#updateSpeeds(nowMs);
      default:
        return checkNever(input);
    }
  }

  /** Replaces the settings. */
  setSettings(settings: PlacementSettings): void {
    this.#settings = settings;
    this.#index.resetFiltered();
  }

  /** Chooses a target. Fails with `NoTarget` if none serves the call. */
  choose(
    request: PlacementRequest,
    nowMs: number,
  ): Result<PlacementDecision, Failure> {
    this.#index.update(this.#options.getTargets());
    const { call } = request;
    const [kind, name] = call.kind === "model"
      ? ["engine" as const, call.model]
      : ["service" as const, call.service];
    const serving = this.#index.getServing(kind, name);
    const targets = this.#candidates.list(request, serving);
    this.#decisionNumber += 1;
    const choice = chooseTarget(targets, this.#buildContext(request, nowMs));
    if (choice === undefined) return err(createFailure("NoTarget", name));
    return ok(this.#buildDecision(request, choice));
  }

  /** Records the tokens that an attempt left in the cache of its target. */
  recordCached(programId: ProgramId, use: CachedUse): void {
    const { targetId, tokens, nowMs } = use;
    this.#prefixes.record(programId, { targetId, tokens, atMs: nowMs });
  }

  /** Records that a target released its cached prefix of a program. */
  recordReleased(programId: ProgramId, targetId: TargetId): void {
    this.#prefixes.removeHolder(programId, targetId);
  }

  /** Whether the target is configured. */
  hasTarget(targetId: TargetId): boolean {
    this.#index.update(this.#options.getTargets());
    return this.#index.find(targetId) !== undefined;
  }

  /** Finds the last received load of a target. */
  findLoad(targetId: TargetId): TargetLoad | undefined {
    return this.#loads.find(targetId)?.load;
  }

  /** Finds the node that dispatches for a target. */
  findDispatcher(targetId: TargetId): VmId | undefined {
    this.#index.update(this.#options.getTargets());
    const target = this.#index.find(targetId);
    if (target === undefined) return undefined;
    return this.#dispatchers.choose(target, this.#options.getView());
  }

  /** Lists the last received loads of the targets that serve a model or service. */
  listLoads(kind: TargetSpec["kind"], name: string): TargetLoad[] {
    this.#index.update(this.#options.getTargets());
    return this.#index.getServing(kind, name).all.flatMap((each) =>
      this.#loads.find(each.targetId)?.load ?? []
    );
  }

  #buildDecision(
    request: PlacementRequest,
    choice: Choice,
  ): PlacementDecision {
    const { target, reason, candidates } = choice;
    const { targetId } = target;
    const cachedTokens = this.#findCachedTokens(request, targetId);
    const uncached = Math.max(0, request.promptTokens - cachedTokens);
    this.#loads.recordPlaced(targetId, uncached);
    const view = this.#options.getView();
    const dispatcher = this.#dispatchers.choose(target, view);
    const decision = { targetId, dispatcher, cachedTokens, reason, candidates };
    return { ...decision, effects: [buildDecisionLog(request, decision)] };
  }

  #findCachedTokens(request: PlacementRequest, targetId: TargetId): number {
    const holder = this.#prefixes.listHolders(request.programId).find((each) =>
      each.targetId === targetId
    );
    return Math.min(holder?.tokens ?? 0, request.promptTokens);
  }

  #buildContext(
    request: PlacementRequest,
    nowMs: number,
  ): Parameters<typeof chooseTarget>[1] {
    const { call, agent } = request;
    const { completionTokens } = this.#settings.estimate;
    const meanTokens = this.#agents.findMeanTokens(agent) ?? completionTokens;
    return {
      request,
      settings: this.#settings,
      loads: this.#loads,
      prefixes: this.#prefixes,
      random: this.#random,
      number: this.#decisionNumber,
      ownRegion: this.#options.region,
      completionTokens: call.kind === "model"
        ? Math.min(meanTokens, call.maxTokens)
        : 1,
      nowMs,
    };
  }

  #updateSpeeds(nowMs: number): void {
    if (nowMs - this.#speedsUpdatedAtMs < SPEED_UPDATE_INTERVAL_MS) return;
    this.#speedsUpdatedAtMs = nowMs;
    this.#index.update(this.#options.getTargets());
    const { estimate, slowTargets } = this.#settings;
    const groups = this.#splitByServedName();
    if (slowTargets.kind === "ignore") return;
    for (const peers of groups.values()) updateSpeeds(peers, estimate);
  }

  /**
   * Groups the loads by the first name that their targets serve, and removes the
   * loads of targets that are no longer configured.
   */
  #splitByServedName(): Map<string, ObservedLoad[]> {
    const groups = new Map<string, ObservedLoad[]>();
    for (const observed of this.#loads.list()) {
      const { targetId } = observed.load;
      const target = this.#index.find(targetId);
      if (target === undefined) {
        this.#loads.remove(targetId);
        continue;
      }
      const name = target.serves[0] ?? "";
      const peers = groups.get(name);
      if (peers === undefined) groups.set(name, [observed]);
      else peers.push(observed);
    }
    return groups;
  }
}
