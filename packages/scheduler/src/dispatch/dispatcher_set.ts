/**
 * The dispatchers of the targets for which this node dispatches.
 *
 * A dispatcher is created by the first message for its target, and removed
 * after an idle time. The tick also reports the loads to the other nodes.
 */
import {
  checkNever,
  type DispatchMessage,
  type Effect,
  type TargetId,
  type TargetLoad,
  type TargetSpec,
  type VmId,
} from "@camphorlock/types";
import { RandomSource } from "../random/mod.ts";
import type { DispatchSettings } from "./settings.ts";
import { TargetDispatcher } from "./target_dispatcher.ts";

/** An input of a dispatcher set. */
export type DispatchInput =
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: DispatchMessage;
  }
  | {
    readonly kind: "targets_changed";
    readonly targets: readonly TargetSpec[];
  }
  | { readonly kind: "tick" };

/** A notice that the node has to act on. */
export type DispatchNotice = {
  /** For this node's placement and for the other nodes. */
  readonly kind: "loads";
  readonly loads: readonly TargetLoad[];
};

/** The result of an input. */
export interface DispatchStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly DispatchNotice[];
}

/** The options of a dispatcher set. */
export interface DispatcherSetOptions {
  readonly settings: DispatchSettings;
  readonly seed: number;
  /** Finds the load that another dispatcher of the target reported last. */
  readonly findReportedLoad?: (targetId: TargetId) => TargetLoad | undefined;
}

interface DispatcherEntry {
  readonly dispatcher: TargetDispatcher;
  usedAtMs: number;
}

const IDLE_TIMEOUT_MS = 30_000;
const UNKNOWN_TARGET_RETRY_MS = 1_000;

/** The dispatchers of one node. */
export class DispatcherSet {
  #settings: DispatchSettings;
  readonly #options: DispatcherSetOptions;
  readonly #random: RandomSource;
  readonly #dispatchers = new Map<TargetId, DispatcherEntry>();
  #targets = new Map<TargetId, TargetSpec>();
  #loadsSentAtMs = -Infinity;

  constructor(options: DispatcherSetOptions) {
    this.#options = options;
    this.#settings = options.settings;
    this.#random = new RandomSource(options.seed);
  }

  /** Handles a message of a peer, a change of the targets or a tick. */
  handle(input: DispatchInput, nowMs: number): DispatchStep {
    switch (input.kind) {
      case "peer":
        return buildStep(this.#handlePeer(input.from, input.message, nowMs));
      case "targets_changed":
        return buildStep(this.#setTargets(input.targets));
      case "tick":
        return this.#handleTick(nowMs);
      default:
        return checkNever(input);
    }
  }

  /**
   * Changes the policies. Dispatchers are created anew, since their state is
   * soft.
   */
  setSettings(settings: DispatchSettings): void {
    this.#settings = settings;
    this.#dispatchers.clear();
  }

  /** Lists the loads of the targets for which this node dispatches. */
  listLoads(): TargetLoad[] {
    return [...this.#dispatchers.values()]
      .map((each) => each.dispatcher.getLoad());
  }

  #handlePeer(from: VmId, message: DispatchMessage, nowMs: number): Effect[] {
    switch (message.kind) {
      case "slot_request":
        return this.#findOrCreate(message.targetId, nowMs)
          ?.handleRequest(from, message, nowMs) ??
          [buildUnknownTargetRefusal(from, message)];
      case "slot_renewed":
        return this.#findOrCreate(message.targetId, nowMs)
          ?.handleRenewal(from, message, nowMs) ?? [];
      case "slot_released":
        return this.#findOrCreate(message.targetId, nowMs)
          ?.handleRelease(message, nowMs) ?? [];
      case "slot_granted":
      case "slot_refused":
      case "target_loads":
        return [];
      default:
        return checkNever(message);
    }
  }

  #findOrCreate(
    targetId: TargetId,
    nowMs: number,
  ): TargetDispatcher | undefined {
    const target = this.#targets.get(targetId);
    const existing = this.#dispatchers.get(targetId);
    if (existing !== undefined) {
      existing.usedAtMs = nowMs;
      return existing.dispatcher;
    }
    if (target === undefined) return undefined;
    const reportedLimit = this.#options.findReportedLoad?.(targetId)?.limit;
    const dispatcher = new TargetDispatcher({
      targetId,
      settings: this.#settings,
      random: this.#random,
      nowMs,
      ...(reportedLimit === undefined ? {} : { reportedLimit }),
    });
    if (target.leaving) dispatcher.setLeaving(true);
    this.#dispatchers.set(targetId, { dispatcher, usedAtMs: nowMs });
    return dispatcher;
  }

  /** A removed target counts as leaving until its running calls have ended. */
  #setTargets(targets: readonly TargetSpec[]): Effect[] {
    this.#targets = new Map(targets.map((each) => [each.targetId, each]));
    const effects: Effect[] = [];
    for (const [targetId, { dispatcher }] of this.#dispatchers) {
      const isLeaving = this.#targets.get(targetId)?.leaving ?? true;
      effects.push(...dispatcher.setLeaving(isLeaving));
    }
    return effects;
  }

  #handleTick(nowMs: number): DispatchStep {
    const effects: Effect[] = [];
    for (const [targetId, entry] of this.#dispatchers) {
      effects.push(...entry.dispatcher.handleTick(nowMs));
      const isOld = nowMs - entry.usedAtMs > IDLE_TIMEOUT_MS;
      if (isOld && entry.dispatcher.isIdle) this.#dispatchers.delete(targetId);
    }
    if (nowMs - this.#loadsSentAtMs < this.#settings.loadPeriodMs) {
      return buildStep(effects);
    }
    this.#loadsSentAtMs = nowMs;
    const loads = this.listLoads();
    if (loads.length === 0) return buildStep(effects);
    return { effects, notices: [{ kind: "loads", loads }] };
  }
}

function buildStep(effects: readonly Effect[]): DispatchStep {
  return { effects, notices: [] };
}

function buildUnknownTargetRefusal(
  to: VmId,
  request: Extract<DispatchMessage, { kind: "slot_request" }>,
): Effect {
  const { attemptId, targetId } = request;
  return {
    kind: "send_peer",
    to,
    message: {
      kind: "slot_refused",
      attemptId,
      targetId,
      reason: "unknown_target",
      retryAfterMs: UNKNOWN_TARGET_RETRY_MS,
    },
  };
}
