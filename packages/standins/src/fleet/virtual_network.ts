/**
 * The network between virtual nodes, with delays, cut links and message loss.
 */
import type { NodeSpec, PeerMessage, VmId } from "@camphorlock/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { VirtualClock } from "./virtual_clock.ts";

const SAME_REGION_DELAY_MS = 0.5;
const CROSS_REGION_DELAY_MS = 8;
const PER_MILLE = 1_000;

/** Receives the messages that arrive at a node. */
export type MessageListener = (from: VmId, message: PeerMessage) => void;

/** Delivers messages between virtual nodes. */
export class VirtualNetwork {
  readonly #clock: VirtualClock;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #regions = new Map<VmId, string>();
  readonly #listeners = new Map<VmId, MessageListener>();
  readonly #cuts = new Set<string>();
  /** The number of processes that have ended on each VM. */
  readonly #endedProcesses = new Map<VmId, number>();
  /** Probability of losing a message, per mille. */
  lossPerMille = 0;
  /** Messages sent so far. */
  sent = 0;
  /** Messages that reached their VM so far, even if no process runs there. */
  delivered = 0;

  constructor(clock: VirtualClock, seed: number) {
    this.#clock = clock;
    this.#random = xoroshiro128plus(seed);
  }

  /** Connects a node. */
  connect(spec: NodeSpec, listener: MessageListener): void {
    this.#regions.set(spec.vmId, spec.region);
    this.#listeners.set(spec.vmId, listener);
  }

  /**
   * Removes a node. Messages in transit from it are lost, as are messages to it
   * that arrive before the VM's next process connects.
   */
  remove(vmId: VmId): void {
    this.#endedProcesses.set(vmId, this.#countEndedProcesses(vmId) + 1);
    this.#listeners.delete(vmId);
  }

  /** Sends a message; it may be delayed or lost. */
  send(from: VmId, to: VmId, message: PeerMessage): void {
    this.sent += 1;
    if (this.isCut(from, to)) return;
    const draw = uniformInt(this.#random, 0, PER_MILLE - 1);
    if (draw < this.lossPerMille) return;
    const copy = structuredClone(message);
    const endedProcesses = this.#countEndedProcesses(from);
    this.#clock.add(this.#getDelay(from, to), () => {
      if (this.isCut(from, to)) return;
      if (this.#countEndedProcesses(from) !== endedProcesses) return;
      this.delivered += 1;
      this.#listeners.get(to)?.(from, copy);
    });
  }

  /** Cuts the link from one node to another, in this direction only. */
  closeLink(from: VmId, to: VmId): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Restores the link from one node to another, in this direction only. */
  openLink(from: VmId, to: VmId): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  /** Restores every link. */
  openLinks(): void {
    this.#cuts.clear();
  }

  /** Whether the link from one node to another is cut. */
  isCut(from: VmId, to: VmId): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  #countEndedProcesses(vmId: VmId): number {
    return this.#endedProcesses.get(vmId) ?? 0;
  }

  #getDelay(from: VmId, to: VmId): number {
    const isSame = this.#regions.get(from) === this.#regions.get(to);
    return isSame ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS;
  }
}
