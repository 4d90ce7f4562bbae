/**
 * The attempts that this process follows at its targets.
 *
 * An owner that takes a shard again on the same node finds the attempt here and
 * gets its text replayed, so that no target is asked twice.
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

const OUTCOME_POLL_MS = 500;

/** Receives the events of attempts. */
export type AttemptReport = (attemptId: AttemptId, event: AttemptEvent) => void;

/** What attempts are run with. */
export interface AttemptBookOptions {
  readonly engines: Engines;
  readonly services: Services;
  readonly report: AttemptReport;
}

interface FollowedAttempt {
  text: string;
  readonly cancel: () => void;
}

/** Starts, follows and cancels attempts. */
export class AttemptBook {
  readonly #options: AttemptBookOptions;
  readonly #followed = new Map<AttemptId, FollowedAttempt>();

  constructor(options: AttemptBookOptions) {
    this.#options = options;
  }

  /** Attempts that are followed at present. */
  get count(): number {
    return this.#followed.size;
  }

  /** Sends an attempt, once. */
  start(order: AttemptOrder): void {
    const { engines, services } = this.#options;
    const onEvent = (event: AttemptEvent): void => this.#handle(order, event);
    this.#add(
      order,
      () =>
        order.call.kind === "model"
          ? engines.runAttempt(order, onEvent)
          : services.runAttempt(order, onEvent),
    );
  }

  /** Follows an attempt that was sent before, from its beginning. */
  resume(order: AttemptOrder): void {
    const followed = this.#followed.get(order.attemptId);
    if (followed !== undefined) return this.#sendFollowed(order, followed);
    const { engines } = this.#options;
    const onEvent = (event: AttemptEvent): void => this.#handle(order, event);
    if (order.call.kind === "service") return this.#settle(order);
    this.#add(order, () => engines.resumeAttempt(order, onEvent));
  }

  /** Stops an attempt, whoever started it. */
  cancel(attemptId: AttemptId, targetId: TargetId): void {
    const followed = this.#followed.get(attemptId);
    this.#followed.delete(attemptId);
    if (followed !== undefined) return followed.cancel();
    const client: EngineClient | undefined = this.#options.engines
      .find(targetId);
    void client?.cancelAttempt(attemptId);
  }

  #add(order: AttemptOrder, run: () => { cancel(): void }): void {
    const { attemptId } = order;
    const running = run();
    const cancel = (): void => running.cancel();
    this.#followed.set(attemptId, { text: order.prefixText, cancel });
  }

  #handle(order: AttemptOrder, event: AttemptEvent): void {
    const { attemptId } = order;
    const followed = this.#followed.get(attemptId);
    if (followed === undefined) return;
    if (event.kind === "text") {
      followed.text = followed.text.slice(0, event.offset) + event.text;
    } else {
      this.#followed.delete(attemptId);
    }
    this.#options.report(attemptId, event);
  }

  #sendFollowed(order: AttemptOrder, followed: FollowedAttempt): void {
    const { text } = followed;
    if (text === "") return;
    const event = { kind: "text", offset: 0, text, tokens: 0 } as const;
    queueMicrotask(() => this.#options.report(order.attemptId, event));
  }

  /** Asks a service what became of an attempt until it can tell. */
  #settle(order: AttemptOrder): void {
    const untilMs = performance.now() + order.progressTimeoutMs;
    void this.#settleUntil(order, untilMs);
  }

  async #settleUntil(order: AttemptOrder, untilMs: number): Promise<void> {
    const { attemptId, targetId } = order;
    for (;;) {
      const outcome = await this.#options.services
        .settleOutcome(targetId, attemptId);
      const event = buildEvent(outcome);
      if (event !== undefined) return this.#options.report(attemptId, event);
      if (performance.now() >= untilMs) break;
      await waitFor(OUTCOME_POLL_MS);
    }
    const detail = "the service didn't tell the outcome in time";
    this.#options.report(attemptId, { kind: "broken", detail });
  }
}

type ServiceOutcome = Awaited<ReturnType<Services["settleOutcome"]>>;

/** Builds the event that an outcome means; none while it's still running. */
function buildEvent(outcome: ServiceOutcome): AttemptEvent | undefined {
  switch (outcome.kind) {
    case "completed": {
      const usage = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
      return { kind: "completed", text: outcome.text, usage };
    }
    case "rejected":
      return { ...outcome, notRun: false };
    case "not_run": {
      const detail = "the service refuses to run it any more";
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
