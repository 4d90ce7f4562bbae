/**
 * The counters and latency histograms of a node.
 */
import { MetricSet } from "@camphorlock/metrics";

/** Names of the counters. */
export const COUNTER_NAMES = [
  "caller_requests",
  "caller_refusals",
  "peer_messages_sent",
  "peer_messages_received",
  "platform_calls",
  "platform_failures",
  "attempts_started",
  "attempts_broken",
  "text_tokens",
] as const;

/** The name of a counter. */
export type CounterName = typeof COUNTER_NAMES[number];

/** Names of the latency histograms. */
export const HISTOGRAM_NAMES = [
  "caller_request",
  "first_text",
  "platform_call",
  "node_step",
] as const;

/** The name of a latency histogram. */
export type HistogramName = typeof HISTOGRAM_NAMES[number];

/** The metrics of one node. */
export class Metrics extends MetricSet<CounterName, HistogramName> {
  constructor() {
    super(COUNTER_NAMES, HISTOGRAM_NAMES);
  }
}
