/**
 * Simulates a fleet of membership roles over a fake network in virtual time,
 * for tests and benchmarks.
 */
import type {
  MembershipMessage,
  NodeSpec,
  VmId,
  VmListing,
} from "@camphorlock/types";
import { Membership } from "./membership.ts";
import type { MembershipNotice, MembershipStep } from "./messages.ts";
import { RandomChooser } from "./random.ts";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  type MembershipSettings,
} from "./settings.ts";

/** The size, seed and network faults of a simulated fleet. */
export interface FakeFleetOptions {
  readonly nodes: number;
  readonly failureDomains: number;
  readonly seed: number;
  readonly settings?: Partial<MembershipSettings>;
  /** Called with each message that a node sends. */
  readonly onSend?: (from: VmId, message: MembershipMessage) => void;
  /** Whether the network drops a message between two nodes. */
  readonly isDropped?: (from: VmId, to: VmId) => boolean;
}

interface Envelope {
  readonly from: VmId;
  readonly to: VmId;
  readonly message: MembershipMessage;
}

const MIN_DELAY_MS = 1;
const DELAY_SPREAD_MS = 10;

/** Builds the spec of the node with the given index. */
export function buildFakeSpec(
  index: number,
  shape: { failureDomains: number; incarnation?: number },
): NodeSpec {
  const domain = index % shape.failureDomains;
  return {
    vmId: `vm-${index}`,
    incarnation: shape.incarnation ?? 1,
    region: `region-${domain % 7}`,
    failureDomain: `domain-${domain}`,
    peerAddress: `10.0.${index >> 8}.${index & 255}:7400`,
    callerAddress: `10.0.${index >> 8}.${index & 255}:8080`,
    hasDisk: index % 4 === 0,
  };
}

/** Runs the membership of every node, one virtual millisecond at a time. */
export class FakeFleet {
  readonly nodes = new Map<VmId, Membership>();
  readonly notices = new Map<VmId, MembershipNotice[]>();
  readonly #options: FakeFleetOptions;
  readonly #random: RandomChooser;
  readonly #inFlight = new Map<number, Envelope[]>();
  readonly #paused = new Set<VmId>();
  readonly #tickPeriodMs: number;
  nowMs = 0;

  constructor(options: FakeFleetOptions) {
    this.#options = options;
    this.#random = new RandomChooser(options.seed);
    const settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings };
    this.#tickPeriodMs = settings.tickPeriodMs;
    for (let index = 0; index < options.nodes; index += 1) {
      this.startNode(index);
    }
  }

  /** Starts a process on the VM with the given index. */
  startNode(index: number, incarnation = 1): void {
    const { failureDomains, seed, settings } = this.#options;
    const self = buildFakeSpec(index, { failureDomains, incarnation });
    const node = new Membership({
      self,
      seed: seed + index * 31 + incarnation,
      ...(settings === undefined ? {} : { settings }),
    });
    this.nodes.set(self.vmId, node);
    const vms = this.#listVms();
    this.applyStep(
      self.vmId,
      node.handle({ kind: "vm_list", vms }, this.nowMs),
    );
  }

  /** Kills a process; the other nodes aren't notified. */
  stopNode(vmId: VmId): void {
    this.nodes.delete(vmId);
  }

  /** Pauses or resumes a process. Messages to a paused one are queued. */
  setPaused(vmId: VmId, paused: boolean): void {
    if (paused) this.#paused.add(vmId);
    else this.#paused.delete(vmId);
  }

  /** Runs until the given virtual time. */
  runUntil(untilMs: number): void {
    while (this.nowMs < untilMs) this.#runMillisecond();
  }

  /** Finds a node's state in the view of another node. */
  findState(viewer: VmId, subject: VmId): string | undefined {
    const view = this.nodes.get(viewer)?.view();
    return view?.nodes.find((node) => node.spec.vmId === subject)?.state;
  }

  /** Whether a node has the given state in the view of every other node. */
  isStateEverywhere(subject: VmId, state: string): boolean {
    const viewers = [...this.nodes.keys()].filter((vmId) => vmId !== subject);
    return viewers.every((viewer) => this.findState(viewer, subject) === state);
  }

  /** Records the notices of a node's step and sends its messages. */
  applyStep(from: VmId, step: MembershipStep): void {
    const notices = this.notices.get(from) ?? [];
    notices.push(...step.notices);
    this.notices.set(from, notices);
    for (const effect of step.effects) {
      if (effect.kind !== "send_peer") continue;
      const message = effect.message as MembershipMessage;
      this.#sendEnvelope({ from, to: effect.to, message });
    }
  }

  #runMillisecond(): void {
    this.nowMs += 1;
    const arrived = this.#inFlight.get(this.nowMs) ?? [];
    this.#inFlight.delete(this.nowMs);
    for (const envelope of arrived) this.#receiveEnvelope(envelope);
    let offset = 0;
    for (const [vmId, node] of this.nodes) {
      offset += 1;
      if ((this.nowMs + offset) % this.#tickPeriodMs !== 0) continue;
      if (this.#paused.has(vmId)) continue;
      this.applyStep(vmId, node.handle({ kind: "tick" }, this.nowMs));
    }
  }

  #receiveEnvelope(envelope: Envelope): void {
    const { from, to, message } = envelope;
    if (this.#paused.has(to)) {
      this.#scheduleDelivery(envelope, MIN_DELAY_MS);
      return;
    }
    const node = this.nodes.get(to);
    if (node === undefined) return;
    const step = node.handle({ kind: "peer", from, message }, this.nowMs);
    this.applyStep(to, step);
  }

  #sendEnvelope(envelope: Envelope): void {
    this.#options.onSend?.(envelope.from, envelope.message);
    if (this.#options.isDropped?.(envelope.from, envelope.to) === true) return;
    const delayMs = MIN_DELAY_MS + this.#random.chooseIndex(DELAY_SPREAD_MS);
    this.#scheduleDelivery(envelope, delayMs);
  }

  #scheduleDelivery(envelope: Envelope, delayMs: number): void {
    const atMs = this.nowMs + delayMs;
    const due = this.#inFlight.get(atMs) ?? [];
    due.push(envelope);
    this.#inFlight.set(atMs, due);
  }

  #listVms(): VmListing[] {
    const { nodes, failureDomains } = this.#options;
    return Array.from({ length: nodes }, (_, index) => {
      const spec = buildFakeSpec(index, { failureDomains });
      const { vmId, peerAddress, region, failureDomain } = spec;
      return { vmId, peerAddress, region, failureDomain, state: "live" };
    });
  }
}
