/**
 * Logs and counts input of callers that waits to be parsed.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { InputDelay } from "./input_scheduler.ts";

/** Input of a crowd waits in each iteration of the event loop. */
const LOG_INTERVAL_MS = 1_000;

/** Logs the delays of one process. */
export class InputDelayLog {
  readonly #log: GatewayLog;
  readonly #metrics: GatewayMetrics;
  #loggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(log: GatewayLog, metrics: GatewayMetrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Counts a delay, and logs at most one a second. */
  record({ waiting, costliest }: InputDelay): void {
    this.#metrics.add("input_delays");
    const nowMs = performance.now();
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    this.#loggedAtMs = nowMs;
    this.#log.write(EVENTS.InputDelayed, {
      waiting,
      costliest: costliest?.remoteAddress,
    });
  }
}
