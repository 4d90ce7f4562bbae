/**
 * What every exchange works with.
 */
import type { TargetTable } from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { RequestCodec } from "../ports.ts";
import type { TargetConnections } from "./target_connections.ts";

/** The parts that the exchanges of one process share. */
export interface ExchangeParts {
  readonly targets: TargetTable;
  readonly connections: TargetConnections;
  readonly codec: RequestCodec;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Where this gateway stands, for the choice of targets. */
  readonly placement: {
    readonly vmId: string;
    readonly failureDomain: string;
    readonly regions: ReadonlyMap<string, string>;
  };
  /** Age of what is known of the targets. */
  getViewAgeMs(): number;
}
