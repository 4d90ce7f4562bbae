/**
 * Counters and latency histograms, rendered in the Prometheus text format.
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Longer durations are recorded as this one. */
const MAX_TRACKED_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const QUANTILES = [0.5, 0.95, 0.99, 0.999] as const;
const PERCENT = 100;

/** The counters and histograms of one process, by name. */
export class MetricSet<Counter extends string, Timer extends string> {
  readonly #counters = new Map<Counter, number>();
  readonly #timers = new Map<Timer, Histogram>();

  constructor(counters: readonly Counter[], timers: readonly Timer[]) {
    for (const name of counters) this.#counters.set(name, 0);
    for (const name of timers) this.#timers.set(name, createHistogram());
  }

  /** Adds to a counter. */
  add(name: Counter, amount = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }

  /** Records a duration in milliseconds. */
  record(name: Timer, durationMs: number): void {
    const us = Math.min(MAX_TRACKED_US, Math.max(1, durationMs * US_PER_MS));
    this.#timers.get(name)?.recordValue(Math.round(us));
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters) {
      lines.push(`# TYPE camphorlock_${name}_total counter`);
      lines.push(`camphorlock_${name}_total ${value}`);
    }
    for (const [name, histogram] of this.#timers) {
      lines.push(...renderHistogram(name, histogram));
    }
    return lines.join("\n") + "\n";
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

function renderHistogram(name: string, histogram: Histogram): string[] {
  const metric = `camphorlock_${name}_seconds`;
  const lines = [`# TYPE ${metric} summary`];
  for (const quantile of QUANTILES) {
    const us = histogram.getValueAtPercentile(quantile * PERCENT);
    const seconds = us / US_PER_MS / MS_PER_SECOND;
    lines.push(`${metric}{quantile="${quantile}"} ${seconds}`);
  }
  lines.push(`${metric}_count ${histogram.totalCount}`);
  return lines;
}
