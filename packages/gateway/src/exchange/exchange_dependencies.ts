/**
 * Dependencies that the exchanges of one process share.
 */
import type { BlockedRequests } from "../decisions/blocked_requests.ts";
import type { CrashObserver } from "../crashes/crash_observer.ts";
import type { PathComponents } from "../paths/path_components.ts";
import type { Placement } from "../placement/placement.ts";
import type { TargetTable } from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { TargetPermits } from "../limits/target_permits.ts";
import type { RequestCodec } from "../ports.ts";
import type { WorkQueue } from "../queue/work_queue.ts";
import type { StreamVersions } from "../streams/stream_versions.ts";
import type { TargetVerifier } from "../streams/target_verifier.ts";
import type { TargetConnections } from "./target_connections.ts";

/** Shared dependencies of all exchanges. */
export interface ExchangeDependencies {
  readonly targets: TargetTable;
  readonly connections: TargetConnections;
  readonly ways: Pick<PathComponents, "monitor" | "paths">;
  readonly permits: TargetPermits;
  readonly queue: WorkQueue;
  readonly crashes: CrashObserver;
  readonly blocked: BlockedRequests;
  readonly versions: StreamVersions;
  readonly verifier: TargetVerifier;
  readonly codec: RequestCodec;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly placement: Placement;
  /** Age of the cached target states. */
  getViewAgeMs(): number;
}
