/**
 * The dispatchers of the targets for which this node dispatches.
 *
 * A dispatcher comes into being with the first message for its target, and goes
 * when it has been idle. The spread of loads is part of the tick.
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

/** What a dispatcher set handles. */
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

/** What the node has to pass on. */
export type DispatchNotice = {
  /** To be given to this node's placement and spread to the others. */
  readonly kind: "loads";
  readonly loads: readonly TargetLoad[];
};

/** What an input caused. */
export interface DispatchStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly DispatchNotice[];
}

/** What a dispatcher set is built from. */
export interface DispatcherSetOptions {
  readonly settings: DispatchSettings;
  readonly seed: number;
  /** Finds what another dispatcher of the target reported last. */
  readonly findKnownLoad?: (targetId: TargetId) => TargetLoad | undefined;
}

interface Entry {
  readonly dispatcher: TargetDispatcher;
  usedAtMs: number;
}

const IDLE_LIFE_MS = 30_000;
const UNKNOWN_RETRY_MS = 1_000;

/** The dispatchers of one node. */
export class DispatcherSet {
  #settings: DispatchSettings;
  readonly #options: DispatcherSetOptions;
  readonly #random: RandomSource;
  readonly #dispatchers = new Map<TargetId, Entry>();
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

  /** Changes the policies. Dispatchers start anew; their state is soft. */
  setSettings(settings: DispatchSettings): void {
    this.#settings = settings;
    this.#dispatchers.clear();
  }

  /** Lists the loads of the targets that this node dispatches for. */
  listLoads(): TargetLoad[] {
    return [...this.#dispatchers.values()]
      .map((each) => each.dispatcher.getLoad());
  }

  #handlePeer(from: VmId, message: DispatchMessage, nowMs: number): Effect[] {
    switch (message.kind) {
      case "slot_request":
        return this.#find(message.targetId, nowMs)
          ?.handleRequest(from, message, nowMs) ??
          [buildUnknown(from, message)];
      case "slot_renewed":
        return this.#find(message.targetId, nowMs)
          ?.handleRenewal(from, message, nowMs) ?? [];
      case "slot_released":
        return this.#find(message.targetId, nowMs)
          ?.handleRelease(message, nowMs) ?? [];
      case "slot_granted":
      case "slot_refused":
      case "target_loads":
        return [];
      default:
        return checkNever(message);
    }
  }

  #find(targetId: TargetId, nowMs: number): TargetDispatcher | undefined {
    const target = this.#targets.get(targetId);
    const known = this.#dispatchers.get(targetId);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known.dispatcher;
    }
    if (target === undefined) return undefined;
    const knownLimit = this.#options.findKnownLoad?.(targetId)?.limit;
    const dispatcher = new TargetDispatcher({
      targetId,
      settings: this.#settings,
      random: this.#random,
      nowMs,
      ...(knownLimit === undefined ? {} : { knownLimit }),
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
      const isOld = nowMs - entry.usedAtMs > IDLE_LIFE_MS;
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

function buildUnknown(
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
      retryAfterMs: UNKNOWN_RETRY_MS,
    },
  };
}
