/**
 * Builds the components that find a way to each target.
 */
import { openDirectly, type SocketOpener } from "@camphorlock/http/exchange";
import { CrashObserver, type TargetEnd } from "../crashes/crash_observer.ts";
import type { ByteBudget } from "../decisions/byte_budget.ts";
import type { ConnectionBounds } from "../decisions/connection_table.ts";
import type { EndedTargets } from "../decisions/ended_targets.ts";
import { PathMonitor } from "../decisions/path_monitor.ts";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import { RelayChoice } from "../decisions/relay_choice.ts";
import type { TargetTable } from "../decisions/target_table.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import { TargetConnections } from "../exchange/target_connections.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { GatewaySettings, RequestCodec } from "../ports.ts";
import { computeRenewalMs } from "../store/build_object_source.ts";
import { TargetVerifier } from "../streams/target_verifier.ts";
import { PathRelay } from "./path_relay.ts";
import { RelayClient } from "./relay_client.ts";
import { TargetPaths } from "./target_paths.ts";

/** Settings and dependencies of the components. */
export interface PathComponentsOptions {
  readonly settings: Pick<GatewaySettings, "bounds" | "vmId">;
  readonly requestCodec: RequestCodec;
  readonly bytes: ByteBudget;
  readonly connectionBounds: ConnectionBounds;
  readonly ended: EndedTargets;
  /** Age of the cached target states. */
  readonly getViewAgeMs: () => number;
  readonly targets: TargetTable;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Called at use: what knows the other gateways is built later. */
  readonly getPeers: () => {
    readonly directory: PeerDirectory;
    readonly links: Pick<PeerLinks, "notify">;
  };
  readonly getSelf: () => PeerInfo;
  readonly isStopping: () => boolean;
  readonly isReady: () => boolean;
  /** Called when the direct connections are lost, after they were given up. */
  readonly onCutOff: () => void;
  /** Called when a target has ended with requests of this gateway. */
  readonly onEnd: (end: TargetEnd) => void;
  /** Opens the direct connections; the usual way if absent. */
  readonly openSocket?: SocketOpener;
}

/** The components. */
export interface PathComponents {
  readonly monitor: PathMonitor;
  readonly paths: TargetPaths;
  readonly relay: PathRelay;
  readonly connections: TargetConnections;
  readonly verifier: TargetVerifier;
  readonly observer: CrashObserver;
}

/** Builds the components. */
export function buildPathComponents(
  options: PathComponentsOptions,
): PathComponents {
  const { targets, getPeers, getSelf } = options;
  const { openSocket = openDirectly } = options;
  const monitor = new PathMonitor();
  const choice = new RelayChoice(getSelf());
  const shared = { ...options, monitor, choice, openSocket };
  const relays = new RelayClient({
    ...shared,
    getPeers: () => getPeers().directory.listAvailable(),
    findLive: (vmId) => getPeers().directory.findLive(vmId),
    notifyPeer: (peer, notice) => getPeers().links.notify(peer, notice),
  });
  const paths: TargetPaths = new TargetPaths({
    ...shared,
    relays,
    onCutOff: () => {
      connections.closeIdle();
      targets.resetFailures();
      options.onCutOff();
    },
  });
  const connections = new TargetConnections(
    (target, timeoutMs) => paths.open(target, timeoutMs),
    // As many as requests run at the same time.
    { maxOpen: options.connectionBounds.maxRunning },
  );
  const verifier = new TargetVerifier({
    ...shared,
    connections,
    codec: options.requestCodec,
    renewalMs: computeRenewalMs(options.settings),
  });
  const observer = new CrashObserver({
    ...shared,
    isLeaving: ({ id }) => !targets.isReady(id, performance.now()),
    confirmRefusal: (target) => paths.confirmRefusal(target),
  });
  const relay = new PathRelay({ ...shared, paths });
  return { monitor, paths, relay, connections, verifier, observer };
}
