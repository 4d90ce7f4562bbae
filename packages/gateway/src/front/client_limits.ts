/**
 * Builds what holds the clients of one process within its memory and
 * descriptors.
 */
import { type ByteBudget, createByteBudget } from "../decisions/byte_budget.ts";
import { CallerWaits } from "../decisions/caller_waits.ts";
import {
  computeConnectionBounds,
  computePeerBound,
  type ConnectionBounds,
} from "../decisions/connection_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { GatewaySettings } from "../ports.ts";
import { InputDelayLog } from "./input_delay_log.ts";
import { InputScheduler } from "./input_scheduler.ts";

/** The limits of one process. */
export interface ClientLimits {
  /** The bytes that the process may hold for its exchanges. */
  readonly bytes: ByteBudget;
  /** The exchanges that may be evicted for others. */
  readonly waits: CallerWaits;
  /** Streams whose callers don't read; ended for others that are to run. */
  readonly streamWaits: CallerWaits;
  readonly connectionBounds: ConnectionBounds;
  /** Connections that other gateways may open. */
  readonly maxPeerConnections: number;
  /** Shares the processor time for what clients send. */
  readonly input: InputScheduler;
}

/** Builds the limits from the settings. */
export function buildClientLimits({ settings, log, metrics }: {
  readonly settings: GatewaySettings;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}): ClientLimits {
  const delays = new InputDelayLog(log, metrics);
  const reportEvicted = () => metrics.add("callers_evicted");
  const waits = new CallerWaits(reportEvicted);
  const evict = () => waits.evictLongest(performance.now());
  const connectionBounds = computeConnectionBounds(settings);
  return {
    bytes: createByteBudget(settings.memoryBytes, evict),
    waits,
    streamWaits: new CallerWaits(reportEvicted),
    connectionBounds,
    maxPeerConnections: computePeerBound(
      settings.maxDescriptors,
      connectionBounds,
    ),
    input: new InputScheduler((delay) => delays.record(delay)),
  };
}
