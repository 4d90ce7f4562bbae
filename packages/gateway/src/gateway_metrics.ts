/**
 * The counters and latency histograms of a gateway.
 *
 * The histograms are loaded after the start, because callers wait while a
 * process starts. Earlier durations are buffered and recorded once the
 * histograms are loaded.
 */
import type { MetricSet } from "@camphorlock/metrics";

/** Maximum durations buffered before the histograms are loaded. */
const MAX_EARLY = 5_000;

/** Names of the counters. */
export const GATEWAY_COUNTERS = [
  "requests_answered",
  "requests_refused",
  "requests_failed",
  "requests_abandoned",
  "sends",
  "sends_failed",
  "stream_bytes_dropped",
  "sends_beyond_target_limit",
  "sends_without_deadline",
  "sends_to_limited_targets",
  "target_ends",
  "requests_blocked",
  "permits_denied",
  "quota_calls",
  "quota_credits_held",
  "quota_credits_ahead",
  "quota_credits_waited",
  "quota_credits_returned",
  "quota_credits_renewed",
  "quota_credits_granted",
  "quota_denied",
  "quota_undecided",
  "quota_takeovers",
  "requests_queued",
  "queue_refusals_full",
  "queue_refusals_late",
  "queue_promotions",
  "choices_with_view",
  "choices_without_view",
  "load_reports",
  "load_reports_failed",
  "turns_admitted",
  "turns_without_allowance",
  "first_allowances",
  "first_allowances_refused",
  "turns_over_budget",
  "account_records",
  "keys_accepted",
  "keys_unknown",
  "keys_unconfirmed",
  "turns_kept",
  "turns_not_kept",
  "chains_cached",
  "chains_loaded",
  "chains_denied",
  "peer_calls",
  "peer_calls_failed",
  "paths_asked",
  "paths_found",
  "paths_missing",
  "paths_relayed",
  "paths_refused",
  "store_calls",
  "store_calls_failed",
  "sources_skipped",
  "log_lines_dropped",
  "connections_closed",
  "callers_evicted",
  "input_delays",
] as const;

/** The name of a counter. */
export type GatewayCounter = typeof GATEWAY_COUNTERS[number];

/** Names of the latency histograms. */
export const GATEWAY_TIMERS = [
  "request",
  "first_event",
  "admission",
  "store_call",
  "chain_load",
  "turn_save",
  "queue_wait",
] as const;

/** The name of a latency histogram. */
export type GatewayTimer = typeof GATEWAY_TIMERS[number];

type LoadedMetrics = MetricSet<GatewayCounter, GatewayTimer>;

/** The metrics of one gateway. */
export class GatewayMetrics {
  readonly #counts = new Map<GatewayCounter, number>();
  #early: { name: GatewayTimer; durationMs: number }[] = [];
  #loaded: LoadedMetrics | undefined;

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
    if (this.#early.length < MAX_EARLY) this.#early.push({ name, durationMs });
  }

  /** Loads the histograms and records the buffered counts and durations. */
  async load(): Promise<void> {
    const { MetricSet } = await import("@camphorlock/metrics");
    const loaded = new MetricSet(GATEWAY_COUNTERS, GATEWAY_TIMERS);
    for (const [name, count] of this.#counts) loaded.add(name, count);
    for (const { name, durationMs } of this.#early) {
      loaded.record(name, durationMs);
    }
    this.#early = [];
    this.#loaded = loaded;
  }

  /** Renders all metrics as text for scraping; empty until they're loaded. */
  render(): string {
    return this.#loaded?.render() ?? "";
  }
}
