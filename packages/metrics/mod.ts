/**
 * Counters and latency histograms for scraping.
 */
export * from "./src/metric_set.ts";
