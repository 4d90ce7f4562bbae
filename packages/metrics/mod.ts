/**
 * Counters and latency histograms, exported as Prometheus text.
 */
export * from "./src/metric_set.ts";
