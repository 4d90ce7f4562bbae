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
import { TargetClients } from "@camphorlock/http";
import type { AttemptListener } from "./attempt_stream.ts";
import {
  EngineClient,
  reportNotSent,
  type RunningAttempt,
} from "./engine_client.ts";

const UNKNOWN_DETAIL = "the target isn't configured";
const UNKNOWN_TARGET: TargetOrderResult = {
  kind: "failed",
  detail: UNKNOWN_DETAIL,
};

/** The clients of the engines that the configuration names. */
export class Engines {
  readonly #clients = new TargetClients({
    kind: "engine",
    create: (address) => new EngineClient({ address }),
  });

  /** Sets the targets and closes clients of removed or changed addresses. */
  setTargets(specs: readonly TargetSpec[]): void {
    this.#clients.setTargets(specs);
  }

  /** Finds the client of a target. */
  find(targetId: TargetId): EngineClient | undefined {
    return this.#clients.find(targetId);
  }

  /** Sends an attempt to its target. */
  runAttempt(order: AttemptOrder, onEvent: AttemptListener): RunningAttempt {
    const client = this.find(order.targetId);
    if (client === undefined) return reportNotSent(UNKNOWN_DETAIL, onEvent);
    return client.runAttempt(order, onEvent);
  }

  /** Streams an attempt that was sent before, from the start of its text. */
  resumeAttempt(order: AttemptOrder, onEvent: AttemptListener): RunningAttempt {
    const client = this.find(order.targetId);
    if (client !== undefined) {
      return client.resumeAttempt(order, { fromOffset: 0, onEvent });
    }
    // Not `not_sent`: the attempt itself may have been sent to the target before.
    queueMicrotask(() => onEvent({ kind: "broken", detail: UNKNOWN_DETAIL }));
    return { cancel: () => {} };
  }

  /** Cancels an attempt at its target, whichever node started it. */
  cancelAttempt(
    targetId: TargetId,
    attemptId: AttemptId,
  ): Promise<TargetOrderResult> {
    const client = this.find(targetId);
    return client?.cancelAttempt(attemptId) ?? Promise.resolve(UNKNOWN_TARGET);
  }

  /** Runs an order at a target. */
  runOrder(
    targetId: TargetId,
    order: TargetOrder,
  ): Promise<TargetOrderResult> {
    const client = this.find(targetId);
    return client?.runOrder(order) ?? Promise.resolve(UNKNOWN_TARGET);
  }

  /** Closes every client. */
  async close(): Promise<void> {
    await this.#clients.close();
  }
}
