/**
 * A fleet of processes with membership and configuration under virtual time,
 * over the platform stand-in and a network with regions and partitions.
 */
import type {
  ChangeInput,
  ConfigurationNotice,
  ConfigurationOptions,
} from "@camphorlock/scheduler";
import {
  type Effect,
  type NodeSpec,
  PARTNERS,
  type PeerMessage,
  type VmId,
  type VmListing,
} from "@camphorlock/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FaultPlan, type PlatformFault } from "../platform/fault_plan.ts";
import { FaultyStore } from "../platform/faulty_store.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { ConfigurationNode } from "./configuration_node.ts";
import { VirtualClock } from "../fleet/virtual_clock.ts";
import { VirtualPlatform } from "./virtual_platform.ts";

const TICK_MS = 50;
const DELAY_IN_REGION_MS = 1;
const DELAY_ELSEWHERE_MS = 8;
const DELAY_SPREAD_MS = 3;

/** The shape and the faults of a virtual fleet. */
export interface ConfigurationFleetOptions {
  readonly nodes: number;
  readonly regions: number;
  readonly seed: number;
  readonly faults?: readonly PlatformFault[];
  readonly initial?: ConfigurationOptions["initial"];
  readonly keptRevisions?: number;
  readonly onNotice?: (from: NodeSpec, notice: ConfigurationNotice) => void;
  readonly onSend?: (from: VmId, message: PeerMessage) => void;
}

/** A virtual fleet. */
export class ConfigurationFleet {
  readonly queue = new VirtualClock();
  readonly store = new ObjectStore();
  readonly plan: FaultPlan;
  readonly platform: VirtualPlatform;
  readonly nodes = new Map<VmId, ConfigurationNode>();
  readonly #options: ConfigurationFleetOptions;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #incarnations = new Map<number, number>();
  /** Nodes of one number reach each other; the platform has its own. */
  readonly #sides = new Map<VmId, number>();
  readonly #withoutPlatform = new Set<VmId>();
  /** Effects that a process has asked for in its present step. */
  readonly #queued = new Map<ConfigurationNode, Effect[]>();

  constructor(options: ConfigurationFleetOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    const { seed, faults = [] } = options;
    this.plan = new FaultPlan({ seed, faults });
    const faulty = new FaultyStore(this.store, this.plan);
    this.platform = new VirtualPlatform(faulty, this.queue);
    for (let index = 0; index < options.nodes; index += 1) {
      this.startNode(index);
    }
  }

  /** The present virtual time. */
  get nowMs(): number {
    return this.queue.nowMs;
  }

  /** Starts a process on the numbered VM, in place of one that ran there. */
  startNode(index: number): void {
    const incarnation = (this.#incarnations.get(index) ?? 0) + 1;
    this.#incarnations.set(index, incarnation);
    const spec = this.#buildSpec(index, incarnation);
    const { initial, keptRevisions, seed } = this.#options;
    const queued: Effect[] = [];
    const node = new ConfigurationNode({
      spec,
      seed: seed * 1_000 + index * 31 + incarnation,
      vms: this.#listVms(),
      ...(initial === undefined ? {} : { initial }),
      ...(keptRevisions === undefined ? {} : { keptRevisions }),
      applyEffect: (effect) => queued.push(effect),
      addNotice: (notice) => this.#options.onNotice?.(spec, notice),
    }, this.nowMs);
    this.nodes.set(spec.vmId, node);
    this.#addTick(node, { queued, delayMs: this.#takeRandom(TICK_MS) });
  }

  /** Ends the process on the numbered VM without a word. */
  stopNode(index: number): void {
    this.nodes.delete(formatVmId(index));
  }

  /** Puts the numbered VM on a side of a network partition. */
  setSide(index: number, side: number): void {
    this.#sides.set(formatVmId(index), side);
  }

  /** Sets whether the numbered VM reaches the platform. */
  setPlatformReach(index: number, isReached: boolean): void {
    const vmId = formatVmId(index);
    if (isReached) this.#withoutPlatform.delete(vmId);
    else this.#withoutPlatform.add(vmId);
  }

  /** Orders a change at the numbered VM; `false` where no process runs. */
  sendChange(index: number, change: Omit<ChangeInput, "kind">): boolean {
    const node = this.nodes.get(formatVmId(index));
    if (node === undefined) return false;
    this.#run(node, () => {
      node.handle({ kind: "change", ...change }, this.nowMs);
    });
    return true;
  }

  /** Runs until a time. */
  runUntil(untilMs: number): void {
    this.queue.runTo(untilMs);
  }

  #addTick(
    node: ConfigurationNode,
    options: { readonly queued: Effect[]; readonly delayMs: number },
  ): void {
    this.#queued.set(node, options.queued);
    this.queue.add(options.delayMs, () => {
      if (!this.#isRunning(node)) return;
      this.#run(node, () => node.handleTick(this.nowMs));
      this.#addTick(node, { queued: options.queued, delayMs: TICK_MS });
    });
  }

  /** Runs a step of a process and then carries its effects out. */
  #run(node: ConfigurationNode, step: () => void): void {
    step();
    const queued = this.#queued.get(node) ?? [];
    for (const effect of queued.splice(0)) this.#applyEffect(node, effect);
  }

  #applyEffect(node: ConfigurationNode, effect: Effect): void {
    switch (effect.kind) {
      case "send_peer":
        this.#sendPeer(node.spec, effect);
        return;
      case "call_platform":
        this.#callPlatform(node, effect);
        return;
      default:
        return;
    }
  }

  #callPlatform(
    node: ConfigurationNode,
    effect: Extract<Effect, { readonly kind: "call_platform" }>,
  ): void {
    const { token, request } = effect;
    this.platform.send(request, {
      isReached: () => !this.#withoutPlatform.has(node.spec.vmId),
      listener: (answer) => {
        if (!this.#isRunning(node)) return;
        this.#run(node, () => {
          node.handle({ kind: "platform", token, answer }, this.nowMs);
        });
      },
    });
  }

  #sendPeer(
    from: NodeSpec,
    effect: Extract<Effect, { readonly kind: "send_peer" }>,
  ): void {
    const { to, message } = effect;
    this.#options.onSend?.(from.vmId, message);
    const region = this.nodes.get(to)?.spec.region;
    const baseMs = region === from.region
      ? DELAY_IN_REGION_MS
      : DELAY_ELSEWHERE_MS;
    this.queue.add(baseMs + this.#takeRandom(DELAY_SPREAD_MS), () => {
      const node = this.nodes.get(to);
      if (node === undefined || !this.#isConnected(from.vmId, to)) return;
      this.#run(node, () => node.handlePeer(from, message, this.nowMs));
    });
  }

  #isConnected(left: VmId, right: VmId): boolean {
    return (this.#sides.get(left) ?? 0) === (this.#sides.get(right) ?? 0);
  }

  #isRunning(node: ConfigurationNode): boolean {
    return this.nodes.get(node.spec.vmId) === node;
  }

  #takeRandom(below: number): number {
    return uniformInt(this.#random, 0, below - 1);
  }

  #listVms(): readonly VmListing[] {
    return Array.from({ length: this.#options.nodes }, (_, index) => {
      const spec = this.#buildSpec(index, 1);
      const { vmId, peerAddress, region, failureDomain } = spec;
      return { vmId, peerAddress, region, failureDomain, state: "live" };
    });
  }

  #buildSpec(index: number, incarnation: number): NodeSpec {
    const region = `region-${index % this.#options.regions}`;
    const host = `10.0.${index >> 8}.${index & 255}`;
    return {
      vmId: formatVmId(index),
      incarnation,
      region,
      failureDomain: `${region}-${index % 4}`,
      peerAddress: `${host}:7400`,
      callerAddress: `${host}:8080`,
      hasDisk: false,
    };
  }
}

/** Formats the id of the numbered VM. */
export function formatVmId(index: number): VmId {
  return `vm-${index}`;
}

/** Gives the partner that the numbered operator works for. */
export function choosePartner(index: number): typeof PARTNERS[number] {
  return PARTNERS[index % PARTNERS.length] ?? PARTNERS[0];
}
