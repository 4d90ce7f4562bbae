/**
 * Heartbeats that wait for an answer, and probes made for other nodes.
 */
import type { VmId } from "@camphorlock/types";
import type { MembershipSettings } from "./settings.ts";

/** A node that hasn't answered yet. */
interface OpenProbe {
  readonly number: number;
  /** When the first unanswered heartbeat was sent. */
  readonly sentAtMs: number;
  /** When third nodes were asked; `undefined` before. */
  askedAtMs: number | undefined;
}

/** A probe that another node asked for. */
interface Relay {
  readonly asker: VmId;
  readonly askerNumber: number;
  readonly vmId: VmId;
  readonly expiresAtMs: number;
}

/** What is due about an unanswered heartbeat. */
export type DueProbe =
  | { readonly kind: "ask"; readonly vmId: VmId; readonly number: number }
  | { readonly kind: "suspect"; readonly vmId: VmId };

/** What a third node's probe is answered. */
export interface RelayAnswer {
  readonly asker: VmId;
  readonly askerNumber: number;
  readonly vmId: VmId;
}

const RELAY_LIMIT = 512;

/** The open probes of one node. */
export class Probes {
  readonly #settings: MembershipSettings;
  readonly #open = new Map<VmId, OpenProbe>();
  readonly #relays = new Map<number, Relay>();

  constructor(settings: MembershipSettings) {
    this.#settings = settings;
  }

  /** Notes a heartbeat; an earlier unanswered one keeps its time. */
  open(vmId: VmId, sent: { number: number; nowMs: number }): void {
    if (this.#open.has(vmId)) return;
    const { number, nowMs } = sent;
    this.#open.set(vmId, { number, sentAtMs: nowMs, askedAtMs: undefined });
  }

  /** Ends the wait for a node, because it was heard or is gone. */
  close(vmId: VmId): void {
    this.#open.delete(vmId);
  }

  /** Ends the wait for a node that a third one reached. */
  closeReached(vmId: VmId, number: number): void {
    if (this.#open.get(vmId)?.number === number) this.#open.delete(vmId);
  }

  /** Forgets all waits: this process was paused and can't judge. */
  closeAll(): void {
    this.#open.clear();
  }

  /** Takes what is due at this time. */
  takeDue(nowMs: number): DueProbe[] {
    const due: DueProbe[] = [];
    for (const [vmId, probe] of this.#open) {
      const step = this.#takeStep(vmId, { probe, nowMs });
      if (step !== undefined) due.push(step);
    }
    return due;
  }

  /** Notes a probe made for another node under a heartbeat number. */
  openRelay(number: number, relay: RelayAnswer & { nowMs: number }): void {
    this.#removeOldRelays(relay.nowMs);
    if (this.#relays.size >= RELAY_LIMIT) return;
    const { asker, askerNumber, vmId } = relay;
    const expiresAtMs = relay.nowMs + this.#settings.probeTimeoutMs;
    this.#relays.set(number, { asker, askerNumber, vmId, expiresAtMs });
  }

  /** Takes the relay that an acknowledgement answers. */
  takeRelay(vmId: VmId, number: number): RelayAnswer | undefined {
    const relay = this.#relays.get(number);
    if (relay === undefined || relay.vmId !== vmId) return undefined;
    this.#relays.delete(number);
    return relay;
  }

  #takeStep(
    vmId: VmId,
    step: { probe: OpenProbe; nowMs: number },
  ): DueProbe | undefined {
    const { probe, nowMs } = step;
    if (probe.askedAtMs === undefined) {
      if (nowMs - probe.sentAtMs < this.#settings.ackTimeoutMs) {
        return undefined;
      }
      probe.askedAtMs = nowMs;
      return { kind: "ask", vmId, number: probe.number };
    }
    if (nowMs - probe.askedAtMs < this.#settings.probeTimeoutMs) {
      return undefined;
    }
    this.#open.delete(vmId);
    return { kind: "suspect", vmId };
  }

  #removeOldRelays(nowMs: number): void {
    for (const [number, relay] of this.#relays) {
      if (relay.expiresAtMs > nowMs) return;
      this.#relays.delete(number);
    }
  }
}
