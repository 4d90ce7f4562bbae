/**
 * A simulated platform and network with fixed delays and without faults, for
 * the ledger's benchmark.
 */
import type {
  Effect,
  PlatformObject,
  PlatformRequest,
  PlatformResponse,
  ReplicaMessage,
  VmId,
} from "@camphorlock/types";
import type { LedgerInput } from "./ledger_types.ts";
import { Replica } from "./replica.ts";

/** Delays of the simulated network and platform. */
export interface BenchDelays {
  /** One-way delay between two nodes. */
  readonly peerMs: number;
  /** Time from a platform request to its response. */
  readonly platformMs: number;
}

interface TimedInput {
  readonly atMs: number;
  readonly run: () => void;
}

/** Simulates the replicas and the platform of one owner or recovery. */
export class BenchSimulation {
  readonly objects = new Map<string, PlatformObject>();
  readonly keepers = new Map<VmId, Replica>();
  /** Messages that each replica received. */
  readonly received = new Map<VmId, ReplicaMessage[]>();
  requests = 0;
  writes = 0;
  messages = 0;
  nowMs = 0;
  readonly #delays: BenchDelays;
  readonly #peerInputs: TimedInput[] = [];
  readonly #platformInputs: TimedInput[] = [];

  constructor(replicaIds: readonly VmId[], delays: BenchDelays) {
    this.#delays = delays;
    for (const vmId of replicaIds) {
      this.keepers.set(vmId, createBenchReplica());
      this.received.set(vmId, []);
    }
  }

  /** Carries out effects and delivers the responses to `receive`. */
  applyEffects(
    effects: readonly Effect[],
    receive: (input: LedgerInput) => void,
  ): void {
    for (const effect of effects) {
      if (effect.kind === "send_peer") {
        this.#sendPeer(effect.to, effect.message as ReplicaMessage, receive);
      }
      if (effect.kind === "call_platform") {
        const { token } = effect;
        const response = this.#applyRequest(effect.request);
        const atMs = this.nowMs + this.#delays.platformMs;
        const run = (): void =>
          receive({ kind: "platform", token, answer: response });
        this.#platformInputs.push({ atMs, run });
      }
    }
  }

  /** Advances virtual time and delivers the inputs that are due until then. */
  runUntil(endMs: number): void {
    let next = this.#takeNext(endMs);
    while (next !== undefined) {
      this.nowMs = next.atMs;
      next.run();
      next = this.#takeNext(endMs);
    }
    this.nowMs = endMs;
  }

  #sendPeer(
    to: VmId,
    message: ReplicaMessage,
    receive: (input: LedgerInput) => void,
  ): void {
    this.messages += 1;
    this.#addPeerInput(() => {
      this.received.get(to)?.push(message);
      const responses = this.keepers.get(to)?.handle("owner", message) ?? [];
      for (const effect of responses) {
        if (effect.kind !== "send_peer") continue;
        const reply = effect.message as ReplicaMessage;
        const input: LedgerInput = { kind: "peer", from: to, message: reply };
        this.#addPeerInput(() => receive(input));
      }
    });
  }

  #addPeerInput(run: () => void): void {
    const atMs = this.nowMs + this.#delays.peerMs;
    this.#peerInputs.push({ atMs, run });
  }

  /** Each queue is ordered by time, because its delay is fixed. */
  #takeNext(endMs: number): TimedInput | undefined {
    const peerMs = this.#peerInputs[0]?.atMs ?? Number.POSITIVE_INFINITY;
    const platformMs = this.#platformInputs[0]?.atMs ??
      Number.POSITIVE_INFINITY;
    if (Math.min(peerMs, platformMs) > endMs) return undefined;
    return peerMs <= platformMs
      ? this.#peerInputs.shift()
      : this.#platformInputs.shift();
  }

  #applyRequest(request: PlatformRequest): PlatformResponse {
    this.requests += 1;
    switch (request.kind) {
      case "put":
        return this.#writeObject(request.key, request.value);
      case "get": {
        const object = this.objects.get(request.key);
        const { key } = request;
        return object === undefined
          ? { kind: "absent", key }
          : { kind: "found", object };
      }
      case "list": {
        const keys = [...this.objects.values()]
          .filter(({ key }) => key.startsWith(request.prefix));
        return { kind: "listed", keys };
      }
      case "delete":
        this.objects.delete(request.key);
        return { kind: "deleted", key: request.key };
      case "watch":
        return { kind: "failed", reason: "refused" };
    }
  }

  #writeObject(key: string, value: Uint8Array): PlatformResponse {
    this.writes += 1;
    const version = (this.objects.get(key)?.version ?? 0) + 1;
    this.objects.set(key, { key, value, version });
    return { kind: "stored", key, version };
  }
}

/** Creates a replica with the default limits of a node. */
export function createBenchReplica(): Replica {
  return new Replica({
    incarnation: 1,
    maxBytes: 24_000_000,
    messageBytes: 1_000_000,
  });
}
