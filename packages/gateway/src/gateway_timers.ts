/**
 * The periodic work of a gateway's components.
 */
import type { TimerService } from "@camphorlock/scheduler/timers";
import type { AccountComponents } from "./accounts/account_components.ts";
import { SHARD_CHECK_INTERVAL_MS } from "./accounts/shard_table_manager.ts";
import type { ByteBudget } from "./decisions/byte_budget.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { TargetPermits } from "./limits/target_permits.ts";
import { type LoadExchange, REPORT_INTERVAL_MS } from "./load/load_exchange.ts";
import type { GatewayLog } from "./log.ts";
import { PROBE_TICK_MS } from "./quotas/group_prober.ts";
import type { QuotaComponents } from "./quotas/quota_components.ts";
import {
  type CountedStore,
  LOG_STORE_CALLS_MS,
} from "./store/counted_store.ts";
import type { PathComponents } from "./paths/path_components.ts";
import type { WatchedTargets } from "./store/watched_state.ts";
import type { Watchers } from "./store/watchers.ts";
import type { TenantKeys } from "./tenants/tenant_keys.ts";

const LOG_FLUSH_MS = 100;
const EXPIRY_CHECK_MS = 100;
const RENEWAL_CHECK_MS = 100;
const KEYS_CHECK_MS = 100;
/** Interval at which suspected gateways are probed. */
const PROBE_PEERS_MS = 500;
/** Interval at which this gateway requests another one's list of peers. */
const EXCHANGE_PEERS_MS = 2_000;
/** Interval at which a gateway and the keepers compare what is blocked. */
const COMPARE_BLOCKED_MS = 5_000;
const SETTLE_CRASHES_MS = 50;
const CHECK_PATHS_MS = 100;
/** Interval at which exchanges that wait for bytes look for one to evict. */
const RESUME_WAITING_MS = 50;
const CLEANUP_MS = 10_000;

/** The components with periodic work. */
export interface TimedComponents
  extends Pick<AccountComponents, "group" | "shards" | "crashes"> {
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly store: CountedStore;
  readonly targets: WatchedTargets;
  readonly watchers: Watchers;
  readonly permits: TargetPermits;
  readonly quotas: Pick<QuotaComponents, "runDue" | "removeUnused">;
  readonly keys: TenantKeys;
  readonly load: LoadExchange;
  readonly ways: Pick<PathComponents, "observer" | "paths">;
  readonly bytes: ByteBudget;
}

/** Subscribes the periodic work of all components. */
export function subscribeTimers(
  timers: TimerService,
  { group, shards, crashes, ways, log, metrics, ...components }:
    TimedComponents,
): void {
  const { store, targets, watchers, permits, bytes, ...others } = components;
  const { load, quotas, keys } = others;
  const schedule: readonly [number, (nowMs: number) => void][] = [
    [LOG_FLUSH_MS, () => metrics.add("log_lines_dropped", log.flush())],
    [LOG_STORE_CALLS_MS, () => store.logCounts(log)],
    [EXPIRY_CHECK_MS, (nowMs) => targets.removeExpired(nowMs)],
    [RENEWAL_CHECK_MS, (nowMs) => watchers.renewOverdue(nowMs)],
    [KEYS_CHECK_MS, () => keys.reportChange()],
    [PROBE_PEERS_MS, () => void group.probeSuspected()],
    [EXCHANGE_PEERS_MS, () => void group.callNextPeer()],
    [SHARD_CHECK_INTERVAL_MS, () => void shards.check()],
    [CLEANUP_MS, (nowMs) => group.removeUnused(nowMs)],
    [CLEANUP_MS, (nowMs) => permits.removeUnused(nowMs)],
    [PROBE_TICK_MS, () => quotas.runDue()],
    [CLEANUP_MS, () => quotas.removeUnused()],
    [REPORT_INTERVAL_MS, (nowMs) => load.runDue(nowMs)],
    [CLEANUP_MS, (nowMs) => load.removeUnused(nowMs)],
    [COMPARE_BLOCKED_MS, () => void crashes.compareBlocked()],
    [CHECK_PATHS_MS, (nowMs) => ways.paths.runDue(nowMs)],
    [RESUME_WAITING_MS, () => bytes.resumeWaiting()],
    [SETTLE_CRASHES_MS, (nowMs) => crashes.runDue(nowMs)],
    [CLEANUP_MS, (nowMs) => ways.observer.removeExpired(nowMs)],
  ];
  for (const [intervalMs, run] of schedule) timers.subscribe(intervalMs, run);
}
