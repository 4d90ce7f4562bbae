/**
 * Builds the components with which a gateway uses the VMs with disks: it keeps
 * turns there, and shares facts.
 */
import { type FactAnswer, FactClient } from "@camphorlock/facts";
import { type DiskInfo, DiskLinks, TurnClient } from "@camphorlock/turns";
import { FactKeepers } from "../facts/fact_keepers.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { GatewaySettings, ObjectStore } from "../ports.ts";
import { StoredDiskRegistry } from "./stored_disk_registry.ts";
import { TurnHistory } from "./turn_history.ts";
import { WatchedDisks } from "./watched_disks.ts";

/** Settings and dependencies of the components. */
export interface TurnComponentsOptions {
  readonly settings: Pick<GatewaySettings, "region" | "tolerance">;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** The components. */
export interface TurnComponents {
  readonly history: TurnHistory;
  /** The registered disks, to be watched. */
  readonly disks: WatchedDisks;
  readonly links: DiskLinks;
  /** The keepers of facts, whose list is to be refreshed. */
  readonly keepers: FactKeepers;
  readonly facts: FactClient<DiskInfo>;
}

/** Builds the components. */
export function buildTurnComponents(
  { settings, store, log, metrics }: TurnComponentsOptions,
): TurnComponents {
  const links = new DiskLinks();
  const disks = new WatchedDisks((listed) => links.removeUnlisted(listed));
  const registry = new StoredDiskRegistry(store);
  const client = new TurnClient({
    caller: links,
    region: settings.region,
    tolerance: settings.tolerance,
    listDisks: () => disks.list(),
    loadDisks: () => registry.list(),
  });
  const keepers = new FactKeepers(() => registry.list(), log);
  const facts = new FactClient({
    listKeepers: () => keepers.list(),
    call: async (keeper, message, timeoutMs) => {
      const response = await links.call(keeper, message, timeoutMs);
      return response?.answer as FactAnswer | undefined;
    },
  });
  return {
    history: new TurnHistory({ client, log, metrics }),
    disks,
    links,
    keepers,
    facts,
  };
}
