/**
 * Builds the choice of targets and the exchange of their load between gateways.
 */
import type { PeerDirectory } from "../decisions/peer_directory.ts";
import type { TargetTable } from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { Service } from "../model/routing.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import { Placement } from "../placement/placement.ts";
import { WorkModel } from "../placement/work_model.ts";
import type { GatewaySettings } from "../ports.ts";
import { LoadExchange } from "./load_exchange.ts";
import { LoadReporter } from "./load_reporter.ts";
import { LoadView } from "./load_view.ts";

/** What the components are built from. */
export interface LoadComponentsOptions {
  readonly settings: Pick<
    GatewaySettings,
    "vmId" | "failureDomain" | "region" | "regions" | "placement"
  >;
  readonly targets: TargetTable;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "callAddress">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly findService: (name: string) => Service | undefined;
}

/** The choice of targets, with the view of their load. */
export interface LoadComponents {
  readonly placement: Placement;
  readonly exchange: LoadExchange;
}

/** Builds the components. */
export function buildLoadComponents(
  { settings, targets, findService, ...shared }: LoadComponentsOptions,
): LoadComponents {
  const model = new WorkModel();
  const view = new LoadView((id) => targets.find(id)?.target);
  const reporter = new LoadReporter(model);
  const placement = new Placement({
    ...settings,
    policy: settings.placement,
    targets,
    findService,
    model,
    load: view,
    onStart: (entry, nowMs) => reporter.recordStart(entry, nowMs),
  });
  const exchange = new LoadExchange({
    ...shared,
    vmId: settings.vmId,
    region: settings.region,
    reporter,
    view,
    listUsed: (nowMs) => placement.listUsedTargets(nowMs),
    findMemory: (targetId) => {
      const service = targets.find(targetId)?.target.service;
      return service === undefined
        ? undefined
        : findService(service)?.memoryTokens;
    },
  });
  return { placement, exchange };
}
