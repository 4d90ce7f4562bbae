/**
 * Unacknowledged heartbeats, and probes relayed for other nodes.
 */
import type { VmId } from "@camphorlock/types";
import type { MembershipSettings } from "./settings.ts";

/** A node that hasn't acknowledged a heartbeat yet. */
interface OpenProbe {
  readonly number: number;
  /** When the first unacknowledged heartbeat was sent. */
  readonly sentAtMs: number;
  /** When probes by third nodes were requested; `undefined` before that. */
  requestedAtMs: number | undefined;
}

/** A probe made for another node. */
interface Relay {
  readonly requester: VmId;
  readonly requesterNumber: number;
  readonly vmId: VmId;
  readonly expiresAtMs: number;
}

/** The next step for an unacknowledged heartbeat. */
export type DueProbe =
  | { readonly kind: "request"; readonly vmId: VmId; readonly number: number }
  | { readonly kind: "suspect"; readonly vmId: VmId };

/** A node's request to probe a VM on its behalf. */
export interface RelayRequest {
  readonly requester: VmId;
  readonly requesterNumber: number;
  readonly vmId: VmId;
}

const RELAY_LIMIT = 512;

/** The open probes and relays of one node. */
export class Probes {
  readonly #settings: MembershipSettings;
  readonly #open = new Map<VmId, OpenProbe>();
  readonly #relays = new Map<number, Relay>();

  constructor(settings: MembershipSettings) {
    this.#settings = settings;
  }

  /** Records a heartbeat, unless an earlier one is still unacknowledged. */
  open(vmId: VmId, sent: { number: number; nowMs: number }): void {
    if (this.#open.has(vmId)) return;
    const { number, nowMs } = sent;
    this.#open.set(vmId, { number, sentAtMs: nowMs, requestedAtMs: undefined });
  }

  /** Closes the probe of a node that sent a message or is dead. */
  close(vmId: VmId): void {
    this.#open.delete(vmId);
  }

  /** Closes the probe of a node that a third node reached. */
  closeReached(vmId: VmId, number: number): void {
    if (this.#open.get(vmId)?.number === number) this.#open.delete(vmId);
  }

  /** Closes all probes, which are unreliable after a pause of this process. */
  closeAll(): void {
    this.#open.clear();
  }

  /** Takes the steps that are due. */
  takeDue(nowMs: number): DueProbe[] {
    const due: DueProbe[] = [];
    for (const [vmId, probe] of this.#open) {
      const step = this.#takeStep(vmId, { probe, nowMs });
      if (step !== undefined) due.push(step);
    }
    return due;
  }

  /** Records a heartbeat sent as a probe for another node. */
  openRelay(number: number, relay: RelayRequest & { nowMs: number }): void {
    this.#expireRelays(relay.nowMs);
    if (this.#relays.size >= RELAY_LIMIT) return;
    const { requester, requesterNumber, vmId } = relay;
    const expiresAtMs = relay.nowMs + this.#settings.probeTimeoutMs;
    this.#relays.set(number, { requester, requesterNumber, vmId, expiresAtMs });
  }

  /** Takes the relay that an acknowledgement completes. */
  takeRelay(vmId: VmId, number: number): RelayRequest | undefined {
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
    if (probe.requestedAtMs === undefined) {
      if (nowMs - probe.sentAtMs < this.#settings.ackTimeoutMs) {
        return undefined;
      }
      probe.requestedAtMs = nowMs;
      return { kind: "request", vmId, number: probe.number };
    }
    if (nowMs - probe.requestedAtMs < this.#settings.probeTimeoutMs) {
      return undefined;
    }
    this.#open.delete(vmId);
    return { kind: "suspect", vmId };
  }

  #expireRelays(nowMs: number): void {
    for (const [number, relay] of this.#relays) {
      if (relay.expiresAtMs > nowMs) return;
      this.#relays.delete(number);
    }
  }
}
