/**
 * Builds the components that follow the store's objects: the configuration in
 * force, the targets, and the watchers of both and of the disks.
 */
import type { TargetTable } from "../decisions/target_table.ts";
import type { GatewayLog } from "../log.ts";
import type { GatewaySettings, StoreCodec } from "../ports.ts";
import { computeRenewalMs, needsAgeBound } from "./build_object_source.ts";
import type { RelayedSource } from "./relayed_source.ts";
import type { WatchListener } from "./store_watcher.ts";
import { Watchers } from "./watchers.ts";
import {
  type ConfigurationInForce,
  WatchedConfiguration,
  WatchedTargets,
} from "./watched_state.ts";

/** Settings and dependencies of the components. */
export interface WatchComponentsOptions {
  readonly settings: Pick<GatewaySettings, "bounds" | "vmId">;
  readonly storeCodec: StoreCodec;
  readonly log: GatewayLog;
  readonly targets: TargetTable;
  readonly disks: WatchListener;
  /** Called at use: the source needs the watchers' copies itself. */
  readonly getSource: () => RelayedSource;
  /** Called when a newer configuration comes into force. */
  readonly onConfiguration: (inForce: ConfigurationInForce) => void;
  /** Called when a target was removed and takes no more work. */
  readonly onTargetRemoved: (targetId: string) => void;
}

/** How requests use the configuration in force. */
export interface ConfigurationAccess {
  getConfiguration(): ConfigurationInForce | undefined;
  /** Time since the configuration was last confirmed to be the latest. */
  getConfigurationAgeMs(): number;
  /** Waits for the first configuration, for `limitMs` at most. */
  waitForConfiguration(
    limitMs: number,
  ): Promise<ConfigurationInForce | undefined>;
}

/** The components. */
export interface WatchComponents {
  readonly access: ConfigurationAccess;
  readonly configuration: WatchedConfiguration;
  readonly targets: WatchedTargets;
  readonly watchers: Watchers;
}

/** Builds the components. */
export function buildWatchComponents(
  { settings, storeCodec: codec, disks, getSource, ...options }:
    WatchComponentsOptions,
): WatchComponents {
  const configuration = new WatchedConfiguration({
    ...options,
    codec,
    getAgeMs: () => watchers.computeAgeMs("configuration"),
  });
  const targets = new WatchedTargets({ ...options, codec });
  const watchers = new Watchers({
    log: options.log,
    getSource,
    listeners: { configuration, targets, turnDisks: disks },
    renewalMs: computeRenewalMs(settings),
    needsAgeBound: (kind) => needsAgeBound(settings, kind),
  });
  const access: ConfigurationAccess = {
    getConfiguration: () => configuration.inForce,
    getConfigurationAgeMs: () => watchers.computeAgeMs("configuration"),
    waitForConfiguration: (limitMs) => configuration.waitForFirst(limitMs),
  };
  return { access, configuration, targets, watchers };
}
