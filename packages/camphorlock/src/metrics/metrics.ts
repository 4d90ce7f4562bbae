/**
 * What a node counts and times.
 */
import { MetricSet } from "@camphorlock/metrics";

/** What the node counts. */
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

/** What the node times. */
export const TIMER_NAMES = [
  "caller_request",
  "first_text",
  "platform_call",
  "node_step",
] as const;

/** The name of a latency histogram. */
export type TimerName = typeof TIMER_NAMES[number];

/** All counters and histograms of a node. */
export class Metrics extends MetricSet<CounterName, TimerName> {
  constructor() {
    super(COUNTER_NAMES, TIMER_NAMES);
  }
}
