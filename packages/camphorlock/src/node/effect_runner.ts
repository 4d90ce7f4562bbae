/**
 * Carries out what the decisions ask for, through the client of each peer.
 */
import type { Engines } from "@camphorlock/engines";
import type { PeerNetwork } from "@camphorlock/nodes";
import type { PlatformClient } from "@camphorlock/objects";
import type { NodeInput } from "@camphorlock/scheduler";
import {
  type CallerAnswer,
  checkNever,
  type Effect,
  type RequestId,
  type VmId,
} from "@camphorlock/types";
import type { LogWriter } from "../logs/log_writer.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { AttemptBook } from "./attempt_book.ts";

/** The edges of a node. */
export interface EffectEdges {
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  readonly engines: Engines;
  readonly attempts: AttemptBook;
  readonly logs: LogWriter;
  readonly metrics: Metrics;
  readonly findPeerAddress: (vmId: VmId) => string | undefined;
  readonly answerCaller: (requestId: RequestId, answer: CallerAnswer) => void;
  /** Passes what an edge was told back to the decisions. */
  readonly handle: (input: NodeInput) => void;
}

type PlatformEffect = Extract<Effect, { kind: "call_platform" }>;
type OrderEffect = Extract<Effect, { kind: "order_target" }>;
type PeerEffect = Extract<Effect, { kind: "send_peer" }>;

/** Runs effects in their order. */
export class EffectRunner {
  readonly #edges: EffectEdges;

  constructor(edges: EffectEdges) {
    this.#edges = edges;
  }

  /** Runs one effect. Its answer, if any, comes back as an input. */
  run(effect: Effect): void {
    switch (effect.kind) {
      case "send_peer":
        return this.#sendPeer(effect);
      case "call_platform":
        void this.#runPlatformCall(effect);
        return;
      case "answer_caller":
        return this.#edges.answerCaller(effect.requestId, effect.answer);
      case "start_attempt":
        this.#edges.metrics.add("attempts_started");
        return this.#edges.attempts.start(effect.order);
      case "resume_attempt":
        return this.#edges.attempts.resume(effect.order);
      case "cancel_attempt":
        return this.#edges.attempts.cancel(effect.attemptId, effect.targetId);
      case "order_target":
        void this.#runOrder(effect);
        return;
      case "log":
        return this.#edges.logs.write(effect.record);
      default:
        return checkNever(effect);
    }
  }

  #sendPeer(effect: PeerEffect): void {
    const address = this.#edges.findPeerAddress(effect.to);
    if (address === undefined) return;
    this.#edges.metrics.add("peer_messages_sent");
    this.#edges.network.send(effect.to, address, effect.message);
  }

  async #runPlatformCall(effect: PlatformEffect): Promise<void> {
    const { metrics, platform, handle } = this.#edges;
    const { token, request } = effect;
    const startedAtMs = performance.now();
    metrics.add("platform_calls");
    const answer = await platform.call(request);
    if (request.kind !== "watch") {
      metrics.record("platform_call", performance.now() - startedAtMs);
    }
    if (answer.kind === "failed") metrics.add("platform_failures");
    handle({ kind: "platform", token, answer });
  }

  async #runOrder(effect: OrderEffect): Promise<void> {
    const { targetId, order, number } = effect;
    const result = await this.#edges.engines.runOrder(targetId, order);
    if (order.kind !== "release") return;
    const { programId } = order;
    this.#edges.handle({ kind: "order_result", programId, number, result });
  }
}
