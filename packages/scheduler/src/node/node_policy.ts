/**
 * The policy roles of a node: placement, the dispatchers of its targets, and
 * the spread of target loads between nodes.
 */
import {
  checkNever,
  type ConfigurationValue,
  type DispatchMessage,
  type Effect,
  type MembershipView,
  type NodeSpec,
  type TargetLoad,
  type VmId,
} from "@camphorlock/types";
import {
  DEFAULT_DISPATCH_SETTINGS,
  DispatcherSet,
  type DispatchStep,
} from "../dispatch/mod.ts";
import { DEFAULT_PLACEMENT_SETTINGS, Placement } from "../placement/mod.ts";

/** Nodes up to which every load report goes to every node. */
const SMALL_FLEET = 16;
/** Nodes that one load report goes to in a larger fleet. */
const SPREAD_NODES = 3;

/** What the policy roles are built from. */
export interface NodePolicyOptions {
  readonly spec: NodeSpec;
  readonly seed: number;
  readonly getValue: () => ConfigurationValue;
  readonly getView: () => MembershipView;
}

/** Places calls and dispatches for targets. */
export class NodePolicy {
  readonly placement: Placement;
  readonly #dispatchers: DispatcherSet;
  readonly #options: NodePolicyOptions;
  #spreadAt = 0;

  constructor(options: NodePolicyOptions) {
    const { spec, seed, getValue, getView } = options;
    this.#options = options;
    this.placement = new Placement({
      region: spec.region,
      settings: DEFAULT_PLACEMENT_SETTINGS,
      seed,
      getTargets: () => getValue().targets,
      getRules: () => getValue().placementRules,
      getView,
    });
    this.#dispatchers = new DispatcherSet({
      settings: DEFAULT_DISPATCH_SETTINGS,
      seed: seed + 1,
    });
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

  /** Follows a change of the configuration. */
  applyConfiguration(value: ConfigurationValue, nowMs: number): Effect[] {
    const { targets } = value;
    const input = { kind: "targets_changed", targets } as const;
    return this.#applyStep(this.#dispatchers.handle(input, nowMs), nowMs);
  }

  /** Frees expired slots, adapts limits and spreads loads. */
  handleTick(nowMs: number): Effect[] {
    const tick = { kind: "tick" } as const;
    this.placement.handle(tick, nowMs);
    return this.#applyStep(this.#dispatchers.handle(tick, nowMs), nowMs);
  }

  #applyStep(step: DispatchStep, nowMs: number): Effect[] {
    const effects = [...step.effects];
    for (const { loads } of step.notices) {
      this.#recordLoads(loads, nowMs);
      effects.push(...this.#sendLoads(loads));
    }
    return effects;
  }

  #recordLoads(loads: readonly TargetLoad[], nowMs: number): void {
    this.placement.handle({ kind: "loads", loads }, nowMs);
  }

  /** A small fleet hears every report; a large one in turns, near nodes first. */
  #sendLoads(loads: readonly TargetLoad[]): Effect[] {
    const message = { kind: "target_loads", loads } as const;
    return this.#listReceivers()
      .map((to) => ({ kind: "send_peer", to, message }));
  }

  #listReceivers(): VmId[] {
    const { spec, getView } = this.#options;
    const others = getView().nodes.filter((node) =>
      node.state === "alive" && node.spec.vmId !== spec.vmId
    );
    if (others.length <= SMALL_FLEET) {
      return others.map((node) => node.spec.vmId);
    }
    const near = others.filter((node) => node.spec.region === spec.region);
    const pool = near.length > 0 ? near : others;
    this.#spreadAt += SPREAD_NODES;
    const chosen = Array.from({ length: SPREAD_NODES }, (_, at) => {
      return pool[(this.#spreadAt + at) % pool.length]?.spec.vmId ?? "";
    });
    return [...new Set(chosen)];
  }
}
