/**
 * The links between virtual nodes: delays, cuts and losses.
 */
import type { NodeSpec, PeerMessage, VmId } from "@camphorlock/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { VirtualClock } from "./virtual_clock.ts";

const SAME_REGION_MS = 0.5;
const OTHER_REGION_MS = 8;
const PER_MILLE = 1_000;

/** Receives what arrives at a node. */
export type MessageListener = (from: VmId, message: PeerMessage) => void;

/** Delivers messages between virtual nodes. */
export class VirtualNetwork {
  readonly #clock: VirtualClock;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #regions = new Map<VmId, string>();
  readonly #listeners = new Map<VmId, MessageListener>();
  readonly #cuts = new Set<string>();
  /** Processes of each VM that have ended. */
  readonly #starts = new Map<VmId, number>();
  /** Messages lost, in a thousand. */
  lossPerMille = 0;
  /** Messages sent and delivered so far. */
  sent = 0;
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

  /** Removes a node: what is under way to it and from it is lost. */
  remove(vmId: VmId): void {
    this.#starts.set(vmId, this.#getStarts(vmId) + 1);
    this.#listeners.delete(vmId);
  }

  /** Sends a message; it may be delayed or lost. */
  send(from: VmId, to: VmId, message: PeerMessage): void {
    this.sent += 1;
    if (this.isCut(from, to)) return;
    const dice = uniformInt(this.#random, 0, PER_MILLE - 1);
    if (dice < this.lossPerMille) return;
    const copy = structuredClone(message);
    const starts = this.#getStarts(from);
    this.#clock.add(this.#getDelay(from, to), () => {
      if (this.isCut(from, to)) return;
      if (this.#getStarts(from) !== starts) return;
      this.delivered += 1;
      this.#listeners.get(to)?.(from, copy);
    });
  }

  /** Cuts the link from one node to another, in this direction only. */
  closeLink(from: VmId, to: VmId): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Ends a cut. */
  openLink(from: VmId, to: VmId): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  /** Ends every cut. */
  openLinks(): void {
    this.#cuts.clear();
  }

  /** Whether nothing passes from one node to another. */
  isCut(from: VmId, to: VmId): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  #getStarts(vmId: VmId): number {
    return this.#starts.get(vmId) ?? 0;
  }

  #getDelay(from: VmId, to: VmId): number {
    const isSame = this.#regions.get(from) === this.#regions.get(to);
    return isSame ? SAME_REGION_MS : OTHER_REGION_MS;
  }
}
