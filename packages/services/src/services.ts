/**
 * The clients of all services, by target.
 */
import type {
  AttemptId,
  AttemptOrder,
  TargetId,
  TargetSpec,
} from "@camphorlock/types";
import {
  type RunningOperation,
  ServiceClient,
  type ServiceListener,
} from "./service_client.ts";
import type { ServiceOutcome } from "./service_outcome.ts";

const UNKNOWN_DETAIL = "the target isn't configured";

interface KnownService {
  readonly address: string;
  readonly client: ServiceClient;
}

/** The clients of the services that the configuration names. */
export class Services {
  readonly #services = new Map<TargetId, KnownService>();

  /** Follows the configuration: opens and closes clients as it changed. */
  setTargets(specs: readonly TargetSpec[]): void {
    const services = specs.filter((spec) => spec.kind === "service");
    const names = new Set(services.map((spec) => spec.targetId));
    for (const targetId of [...this.#services.keys()]) {
      if (!names.has(targetId)) this.#remove(targetId);
    }
    for (const spec of services) this.#set(spec);
  }

  /** Finds the client of a target. */
  find(targetId: TargetId): ServiceClient | undefined {
    return this.#services.get(targetId)?.client;
  }

  /** Sends an operation to its target. */
  runAttempt(order: AttemptOrder, onEvent: ServiceListener): RunningOperation {
    const client = this.find(order.targetId);
    if (client !== undefined) return client.runAttempt(order, onEvent);
    queueMicrotask(() => onEvent({ kind: "not_sent", detail: UNKNOWN_DETAIL }));
    return { cancel: () => {} };
  }

  /** Asks a target what became of an attempt. */
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
    const clients = [...this.#services.values()];
    this.#services.clear();
    await Promise.all(clients.map((known) => known.client.close()));
  }

  #set(spec: TargetSpec): void {
    const known = this.#services.get(spec.targetId);
    if (known?.address === spec.address) return;
    if (known !== undefined) this.#remove(spec.targetId);
    const client = new ServiceClient({ address: spec.address });
    this.#services.set(spec.targetId, { address: spec.address, client });
  }

  #remove(targetId: TargetId): void {
    const known = this.#services.get(targetId);
    this.#services.delete(targetId);
    void known?.client.closeWhenIdle();
  }
}
