/**
 * The attempts that this process has in flight at its targets.
 *
 * If this node releases a shard and acquires it again, `resume` finds attempts
 * that are still in flight and reports their text so far. Their targets get no
 * second request.
 */
import type { EngineClient, Engines } from "@camphorlock/engines";
import type { Services } from "@camphorlock/services";
import {
  type AttemptEvent,
  type AttemptId,
  type AttemptOrder,
  checkNever,
  type TargetId,
} from "@camphorlock/types";
import { waitFor } from "./wait_until.ts";

const OUTCOME_POLL_INTERVAL_MS = 500;

/** Receives the events of attempts. */
export type AttemptListener = (
  attemptId: AttemptId,
  event: AttemptEvent,
) => void;

/** Clients of the targets, and the listener of all attempts. */
export interface AttemptRegistryOptions {
  readonly engines: Engines;
  readonly services: Services;
  readonly report: AttemptListener;
}

interface ActiveAttempt {
  text: string;
  readonly cancel: () => void;
}

/** Starts, resumes and cancels attempts. */
export class AttemptRegistry {
  readonly #options: AttemptRegistryOptions;
  readonly #active = new Map<AttemptId, ActiveAttempt>();

  constructor(options: AttemptRegistryOptions) {
    this.#options = options;
  }

  /** Number of attempts in flight. */
  get count(): number {
    return this.#active.size;
  }

  /** Sends an attempt to its target. */
  start(order: AttemptOrder): void {
    const { engines, services } = this.#options;
    const onEvent = (event: AttemptEvent): void => this.#handle(order, event);
    this.#register(
      order,
      () =>
        order.call.kind === "model"
          ? engines.runAttempt(order, onEvent)
          : services.runAttempt(order, onEvent),
    );
  }

  /** Reports the events of an attempt that was sent before, from its start. */
  resume(order: AttemptOrder): void {
    const active = this.#active.get(order.attemptId);
    if (active !== undefined) return this.#reportTextSoFar(order, active);
    const { engines } = this.#options;
    const onEvent = (event: AttemptEvent): void => this.#handle(order, event);
    if (order.call.kind === "service") return this.#settleAttempt(order);
    this.#register(order, () => engines.resumeAttempt(order, onEvent));
  }

  /** Cancels an attempt; on an engine also one that another process sent. */
  cancel(attemptId: AttemptId, targetId: TargetId): void {
    const active = this.#active.get(attemptId);
    this.#active.delete(attemptId);
    if (active !== undefined) return active.cancel();
    const client: EngineClient | undefined = this.#options.engines
      .find(targetId);
    void client?.cancelAttempt(attemptId);
  }

  #register(order: AttemptOrder, run: () => { cancel(): void }): void {
    const { attemptId } = order;
    const running = run();
    const cancel = (): void => running.cancel();
    this.#active.set(attemptId, { text: order.prefixText, cancel });
  }

  #handle(order: AttemptOrder, event: AttemptEvent): void {
    const { attemptId } = order;
    const active = this.#active.get(attemptId);
    if (active === undefined) return;
    if (event.kind === "text") {
      active.text = active.text.slice(0, event.offset) + event.text;
    } else {
      this.#active.delete(attemptId);
    }
    this.#options.report(attemptId, event);
  }

  #reportTextSoFar(order: AttemptOrder, active: ActiveAttempt): void {
    const { text } = active;
    if (text === "") return;
    const event = { kind: "text", offset: 0, text, tokens: 0 } as const;
    queueMicrotask(() => this.#options.report(order.attemptId, event));
  }

  /** Polls a service for an attempt's outcome until the progress timeout. */
  #settleAttempt(order: AttemptOrder): void {
    const deadlineMs = performance.now() + order.progressTimeoutMs;
    void this.#settleUntil(order, deadlineMs);
  }

  async #settleUntil(order: AttemptOrder, deadlineMs: number): Promise<void> {
    const { attemptId, targetId } = order;
    for (;;) {
      const outcome = await this.#options.services
        .settleOutcome(targetId, attemptId);
      const event = buildEvent(outcome);
      if (event !== undefined) return this.#options.report(attemptId, event);
      if (performance.now() >= deadlineMs) break;
      await waitFor(OUTCOME_POLL_INTERVAL_MS);
    }
    const detail = "the service still ran the attempt at the progress timeout";
    this.#options.report(attemptId, { kind: "broken", detail });
  }
}

type ServiceOutcome = Awaited<ReturnType<Services["settleOutcome"]>>;

/** Builds the event for an outcome; undefined while the attempt runs. */
function buildEvent(outcome: ServiceOutcome): AttemptEvent | undefined {
  switch (outcome.kind) {
    case "completed": {
      const usage = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
      return { kind: "completed", text: outcome.text, usage };
    }
    case "rejected":
      return { ...outcome, notRun: false };
    case "not_run": {
      const detail = "the service didn't run it and refuses it from now on";
      return { kind: "rejected", status: 0, detail, notRun: true };
    }
    case "unknown":
      return { kind: "broken", detail: outcome.detail };
    case "running":
      return undefined;
    default:
      return checkNever(outcome);
  }
}
