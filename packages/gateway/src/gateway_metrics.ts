/**
 * What a gateway counts and times.
 *
 * The histograms are loaded after the start, since callers wait while a process
 * starts. Durations until then are kept and recorded once they're there.
 */
import type { MetricSet } from "@camphorlock/metrics";

/** Durations that are kept until the histograms are loaded. */
const MAX_KEPT = 5_000;

/** What a gateway counts. */
export const GATEWAY_COUNTERS = [
  "requests_answered",
  "requests_refused",
  "requests_failed",
  "requests_abandoned",
  "sends",
  "sends_failed",
  "sends_beyond_target_limit",
  "sends_without_deadline",
  "turns_admitted",
  "turns_without_allowance",
  "first_allowances",
  "turns_over_budget",
  "account_records",
  "peer_calls",
  "peer_calls_failed",
  "store_calls",
  "store_calls_failed",
  "log_lines_dropped",
] as const;

/** The name of a counter. */
export type GatewayCounter = typeof GATEWAY_COUNTERS[number];

/** What a gateway times. */
export const GATEWAY_TIMERS = [
  "request",
  "first_event",
  "admission",
  "store_call",
] as const;

/** The name of a latency histogram. */
export type GatewayTimer = typeof GATEWAY_TIMERS[number];

type Loaded = MetricSet<GatewayCounter, GatewayTimer>;

/** The metrics of one gateway. */
export class GatewayMetrics {
  readonly #counts = new Map<GatewayCounter, number>();
  #kept: { name: GatewayTimer; durationMs: number }[] = [];
  #loaded: Loaded | undefined;

  /** Adds to a counter. */
  add(name: GatewayCounter, amount = 1): void {
    if (this.#loaded !== undefined) return this.#loaded.add(name, amount);
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + amount);
  }

  /** Records a duration in milliseconds. */
  record(name: GatewayTimer, durationMs: number): void {
    if (this.#loaded !== undefined) {
      return this.#loaded.record(name, durationMs);
    }
    if (this.#kept.length < MAX_KEPT) this.#kept.push({ name, durationMs });
  }

  /** Loads the histograms. */
  async load(): Promise<void> {
    const { MetricSet } = await import("@camphorlock/metrics");
    const loaded = new MetricSet(GATEWAY_COUNTERS, GATEWAY_TIMERS);
    for (const [name, count] of this.#counts) loaded.add(name, count);
    for (const { name, durationMs } of this.#kept) {
      loaded.record(name, durationMs);
    }
    this.#kept = [];
    this.#loaded = loaded;
  }

  /** Renders everything as text for scraping. */
  render(): string {
    return this.#loaded?.render() ?? "";
  }
}
