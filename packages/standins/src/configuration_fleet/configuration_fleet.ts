/**
 * A fleet of processes that run membership and configuration under virtual
 * time, with the platform stand-in and a network of regions and partitions.
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

const TICK_INTERVAL_MS = 50;
const SAME_REGION_DELAY_MS = 1;
const CROSS_REGION_DELAY_MS = 8;
const DELAY_JITTER_MS = 3;

/** The size, faults and listeners of a virtual fleet. */
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

/** Processes with membership and configuration, their network and platform. */
export class ConfigurationFleet {
  readonly queue = new VirtualClock();
  readonly store = new ObjectStore();
  readonly plan: FaultPlan;
  readonly platform: VirtualPlatform;
  readonly nodes = new Map<VmId, ConfigurationNode>();
  readonly #options: ConfigurationFleetOptions;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #incarnations = new Map<number, number>();
  /** Partition number of each VM; VMs communicate only within a partition. */
  readonly #partitions = new Map<VmId, number>();
  readonly #withoutPlatform = new Set<VmId>();
  /** Effects that a process has emitted in its current step. */
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

  /** The current virtual time. */
  get nowMs(): number {
    return this.queue.nowMs;
  }

  /** Starts a process on the numbered VM, which replaces a running one. */
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
    this.#addTick(node, {
      queued,
      delayMs: this.#takeRandom(TICK_INTERVAL_MS),
    });
  }

  /** Ends the process on the numbered VM without a shutdown. */
  stopNode(index: number): void {
    this.nodes.delete(formatVmId(index));
  }

  /** Moves the numbered VM into a partition of the network. */
  setPartition(index: number, partition: number): void {
    this.#partitions.set(formatVmId(index), partition);
  }

  /** Sets whether the numbered VM can reach the platform. */
  setPlatformReachable(index: number, isReachable: boolean): void {
    const vmId = formatVmId(index);
    if (isReachable) this.#withoutPlatform.delete(vmId);
    else this.#withoutPlatform.add(vmId);
  }

  /** Submits a change at the numbered VM; `false` if no process runs there. */
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
      this.#addTick(node, {
        queued: options.queued,
        delayMs: TICK_INTERVAL_MS,
      });
    });
  }

  /** Runs a step of a process, then applies its effects. */
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
      isReachable: () => !this.#withoutPlatform.has(node.spec.vmId),
      listener: (response) => {
        if (!this.#isRunning(node)) return;
        this.#run(node, () => {
          node.handle(
            { kind: "platform", token, answer: response },
            this.nowMs,
          );
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
      ? SAME_REGION_DELAY_MS
      : CROSS_REGION_DELAY_MS;
    this.queue.add(baseMs + this.#takeRandom(DELAY_JITTER_MS), () => {
      const node = this.nodes.get(to);
      if (node === undefined || !this.#isConnected(from.vmId, to)) return;
      this.#run(node, () => node.handlePeer(from, message, this.nowMs));
    });
  }

  #isConnected(left: VmId, right: VmId): boolean {
    return (this.#partitions.get(left) ?? 0) ===
      (this.#partitions.get(right) ?? 0);
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

/** Chooses the partner of the numbered operator or team. */
export function choosePartner(index: number): typeof PARTNERS[number] {
  return PARTNERS[index % PARTNERS.length] ?? PARTNERS[0];
}
