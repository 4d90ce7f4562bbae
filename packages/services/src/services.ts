/**
 * The clients of all services, by target.
 */
import type {
  AttemptId,
  AttemptOrder,
  TargetId,
  TargetSpec,
} from "@camphorlock/types";
import { TargetClients } from "@camphorlock/http";
import {
  type RunningOperation,
  ServiceClient,
  type ServiceListener,
} from "./service_client.ts";
import type { ServiceOutcome } from "./service_outcome.ts";

const UNKNOWN_DETAIL = "the target isn't configured";

/** The clients of the services that the configuration names. */
export class Services {
  readonly #clients = new TargetClients({
    kind: "service",
    create: (address) => new ServiceClient({ address }),
  });

  /** Sets the targets and closes clients of removed or changed addresses. */
  setTargets(specs: readonly TargetSpec[]): void {
    this.#clients.setTargets(specs);
  }

  /** Finds the client of a target. */
  find(targetId: TargetId): ServiceClient | undefined {
    return this.#clients.find(targetId);
  }

  /** Sends an operation to its target. */
  runAttempt(order: AttemptOrder, onEvent: ServiceListener): RunningOperation {
    const client = this.find(order.targetId);
    if (client !== undefined) return client.runAttempt(order, onEvent);
    queueMicrotask(() => onEvent({ kind: "not_sent", detail: UNKNOWN_DETAIL }));
    return { cancel: () => {} };
  }

  /** Requests the outcome of an attempt from its target. */
  async settleOutcome(
    targetId: TargetId,
    attemptId: AttemptId,
  ): Promise<ServiceOutcome> {
    const client = this.find(targetId);
    if (client === undefined) {
      return { kind: "unknown", detail: UNKNOWN_DETAIL };
    }
    return await client.settleOutcome(attemptId);
  }

  /** Closes every client. */
  async close(): Promise<void> {
    await this.#clients.close();
  }
}
