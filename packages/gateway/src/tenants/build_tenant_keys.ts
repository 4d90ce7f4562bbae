/**
 * Builds the checks of keys for one gateway.
 */
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { GatewaySettings } from "../ports.ts";
import { computeRenewalMs } from "../store/build_object_source.ts";
import type { WatchedConfiguration } from "../store/watched_state.ts";
import { TenantKeys } from "./tenant_keys.ts";

/** Settings and dependencies of the checks. */
export interface TenantKeysOptions {
  readonly settings: Pick<GatewaySettings, "bounds" | "vmId">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** Builds the checks against the configuration in force. */
export function buildTenantKeys(
  { settings, log, metrics }: TenantKeysOptions,
  configuration: Pick<WatchedConfiguration, "inForce" | "computeKeysAgeMs">,
): TenantKeys {
  return new TenantKeys({
    log,
    metrics,
    bounds: {
      revocationMs: settings.bounds.revocationMs,
      renewalMs: computeRenewalMs(settings),
    },
    getDirectory: () => configuration.inForce?.tenants,
    getAgeMs: () => configuration.computeKeysAgeMs(),
  });
}
