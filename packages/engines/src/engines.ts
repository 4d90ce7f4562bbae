/**
 * The clients of all engines, by target.
 */
import type {
  AttemptId,
  AttemptOrder,
  TargetId,
  TargetOrder,
  TargetOrderResult,
  TargetSpec,
} from "@camphorlock/types";
import type { AttemptListener } from "./attempt_stream.ts";
import { EngineClient, type RunningAttempt } from "./engine_client.ts";

interface KnownEngine {
  readonly address: string;
  readonly client: EngineClient;
}

/** The clients of the engines that the configuration names. */
export class Engines {
  readonly #engines = new Map<TargetId, KnownEngine>();

  /** Follows the configuration: opens and closes clients as it changed. */
  setTargets(specs: readonly TargetSpec[]): void {
    const engines = specs.filter((spec) => spec.kind === "engine");
    const names = new Set(engines.map((spec) => spec.targetId));
    for (const targetId of [...this.#engines.keys()]) {
      if (!names.has(targetId)) this.#remove(targetId);
    }
    for (const spec of engines) this.#set(spec);
  }

  /** Finds the client of a target. */
  find(targetId: TargetId): EngineClient | undefined {
    return this.#engines.get(targetId)?.client;
  }

  /** Sends an attempt to its target. */
  runAttempt(order: AttemptOrder, onEvent: AttemptListener): RunningAttempt {
    const client = this.find(order.targetId);
    if (client === undefined) return refuseUnknown(onEvent);
    return client.runAttempt(order, onEvent);
  }

  /** Follows an attempt that was sent before, from its beginning. */
  resumeAttempt(order: AttemptOrder, onEvent: AttemptListener): RunningAttempt {
    const client = this.find(order.targetId);
    if (client === undefined) return refuseUnknown(onEvent);
    return client.resumeAttempt(order, { fromOffset: 0, onEvent });
  }

  /** Tells a target to stop an attempt, whoever started it. */
  cancelAttempt(
    targetId: TargetId,
    attemptId: AttemptId,
  ): Promise<TargetOrderResult> {
    const client = this.find(targetId);
    return client?.cancelAttempt(attemptId) ?? Promise.resolve(UNKNOWN_TARGET);
  }

  /** Carries out an order at a target. */
  runOrder(
    targetId: TargetId,
    order: TargetOrder,
  ): Promise<TargetOrderResult> {
    const client = this.find(targetId);
    return client?.runOrder(order) ?? Promise.resolve(UNKNOWN_TARGET);
  }

  /** Closes every client. */
  async close(): Promise<void> {
    const clients = [...this.#engines.values()];
    this.#engines.clear();
    await Promise.all(clients.map((known) => known.client.close()));
  }

  #set(spec: TargetSpec): void {
    const known = this.#engines.get(spec.targetId);
    if (known?.address === spec.address) return;
    if (known !== undefined) this.#remove(spec.targetId);
    const client = new EngineClient({ address: spec.address });
    this.#engines.set(spec.targetId, { address: spec.address, client });
  }

  #remove(targetId: TargetId): void {
    const known = this.#engines.get(targetId);
    this.#engines.delete(targetId);
    void known?.client.closeWhenIdle();
  }
}

const UNKNOWN_DETAIL = "the target isn't configured";
const UNKNOWN_TARGET: TargetOrderResult = {
  kind: "failed",
  detail: UNKNOWN_DETAIL,
};

function refuseUnknown(onEvent: AttemptListener): RunningAttempt {
  queueMicrotask(() => onEvent({ kind: "not_sent", detail: UNKNOWN_DETAIL }));
  return { cancel: () => {} };
}
