/**
 * Carries out the effects that the node's core returns.
 */
import type { Engines } from "@camphorlock/engines";
import type { PeerNetwork } from "@camphorlock/nodes";
import type { PlatformClient } from "@camphorlock/objects";
import type { NodeInput } from "@camphorlock/scheduler";
import {
  type CallerResponse,
  checkNever,
  type Effect,
  type RequestId,
  type VmId,
} from "@camphorlock/types";
import type { LogWriter } from "../logs/log_writer.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { AttemptRegistry } from "./attempt_registry.ts";

/** The clients, log and callbacks that carry out effects. */
export interface EffectDependencies {
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  readonly engines: Engines;
  readonly attempts: AttemptRegistry;
  readonly logs: LogWriter;
  readonly metrics: Metrics;
  readonly findPeerAddress: (vmId: VmId) => string | undefined;
  readonly sendResponse: (
    requestId: RequestId,
    response: CallerResponse,
  ) => void;
  /** Passes the result of an effect to the node's core. */
  readonly handle: (input: NodeInput) => void;
}

type PlatformEffect = Extract<Effect, { kind: "call_platform" }>;
type OrderEffect = Extract<Effect, { kind: "order_target" }>;
type PeerEffect = Extract<Effect, { kind: "send_peer" }>;

/** Runs effects. */
export class EffectRunner {
  readonly #dependencies: EffectDependencies;

  constructor(dependencies: EffectDependencies) {
    this.#dependencies = dependencies;
  }

  /** Starts one effect. Its result, if any, becomes an input of the core. */
  run(effect: Effect): void {
    switch (effect.kind) {
      case "send_peer":
        return this.#sendPeer(effect);
      case "call_platform":
        void this.#runPlatformCall(effect);
        return;
      case "answer_caller":
        return this.#dependencies.sendResponse(effect.requestId, effect.answer);
      case "start_attempt":
        this.#dependencies.metrics.add("attempts_started");
        return this.#dependencies.attempts.start(effect.order);
      case "resume_attempt":
        return this.#dependencies.attempts.resume(effect.order);
      case "cancel_attempt":
        return this.#dependencies.attempts.cancel(
          effect.attemptId,
          effect.targetId,
        );
      case "order_target":
        void this.#runOrder(effect);
        return;
      case "log":
        return this.#dependencies.logs.write(effect.record);
      default:
        return checkNever(effect);
    }
  }

  #sendPeer(effect: PeerEffect): void {
    const address = this.#dependencies.findPeerAddress(effect.to);
    if (address === undefined) return;
    this.#dependencies.metrics.add("peer_messages_sent");
    this.#dependencies.network.send(effect.to, address, effect.message);
  }

  async #runPlatformCall(effect: PlatformEffect): Promise<void> {
    const { metrics, platform, handle } = this.#dependencies;
    const { token, request } = effect;
    const startedAtMs = performance.now();
    metrics.add("platform_calls");
    const response = await platform.call(request);
    if (request.kind !== "watch") {
      metrics.record("platform_call", performance.now() - startedAtMs);
    }
    if (response.kind === "failed") metrics.add("platform_failures");
    handle({ kind: "platform", token, answer: response });
  }

  async #runOrder(effect: OrderEffect): Promise<void> {
    const { targetId, order, number } = effect;
    const result = await this.#dependencies.engines.runOrder(targetId, order);
    if (order.kind !== "release") return;
    const { programId } = order;
    this.#dependencies.handle({
      kind: "order_result",
      programId,
      number,
      result,
    });
  }
}
