/**
 * Builds the components with which a gateway uses the VMs with disks: it keeps
 * turns there, and shares facts.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { type FactAnswer, FactClient } from "@camphorlock/facts";
import { type DiskInfo, DiskLinks, TurnClient } from "@camphorlock/turns";
import { DiskGrantRecords } from "../accounts/grant_records.ts";
import { KeptBlocks } from "../crashes/kept_blocks.ts";
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
  /** The registered disks, which keep facts, too; to be watched. */
  readonly disks: WatchedDisks;
  readonly links: DiskLinks;
  readonly facts: FactClient<DiskInfo>;
  /** What gateways record there for those that take their roles over. */
  readonly records: {
    readonly grants: DiskGrantRecords;
    readonly keptBlocks: KeptBlocks;
  };
}

/** Builds the components. */
export function buildTurnComponents(
  { settings, store, log, metrics }: TurnComponentsOptions,
): TurnComponents {
  const links = new DiskLinks();
  let known = "";
  const disks = new WatchedDisks((listed) => {
    links.removeUnlisted(listed);
    const keepers = listed.map(({ vmId }) => vmId).sort();
    if (keepers.join() === known) return;
    known = keepers.join();
    log.write(EVENTS.KeepersChanged, { keepers });
  });
  const registry = new StoredDiskRegistry(store);
  const access = {
    caller: links,
    region: settings.region,
    tolerance: settings.tolerance,
    listDisks: () => disks.list(),
    loadDisks: () => registry.list(),
  };
  const client = new TurnClient(access);
  const facts = new FactClient({
    listKeepers: () => disks.list(),
    call: async (keeper, message, timeoutMs) => {
      const response = await links.call(keeper, message, timeoutMs);
      return response?.answer as FactAnswer | undefined;
    },
  });
  return {
    history: new TurnHistory({ client, log, metrics }),
    disks,
    links,
    facts,
    records: {
      grants: new DiskGrantRecords(access),
      keptBlocks: new KeptBlocks(facts),
    },
  };
}
