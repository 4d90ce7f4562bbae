/**
 * Builds the source from which a gateway watches objects, with the waits that
 * suit each kind.
 */
import type { PeerDirectory } from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { GatewaySettings, ObjectKind, ObjectStore } from "../ports.ts";
import { StoreSource } from "./object_source.ts";
import { RelayedSource } from "./relayed_source.ts";

/** A watch of the disks, which change rarely, waits this long at the store. */
const DISK_WATCH_MS = 5_000;
/** Longest age of another gateway's copy of the disks, beyond a watch's wait. */
const DISK_AGE_MARGIN_MS = 300;
/**
 * A watch waits at the store for this share of the shorter bound for changes.
 * An unresponsive connection delays a change by the full wait, and the relay to
 * other gateways may take as long again.
 */
const WATCH_SHARE = 0.25;
/** Another gateway's watch at the store ends a little later than its wait. */
const PEER_WAIT_MARGIN_MS = 100;
/** Another gateway's copy of the disks is watched for this long at a time. */
const PEER_DISK_WATCH_MS = 1_000;
/**
 * Objects that were not confirmed for this share of the bound are read at the
 * store itself. The rest of the bound is for that read and another one on a new
 * connection.
 */
const RENEWAL_SHARE = 0.5;

/** Settings and dependencies of the source. */
export interface ObjectSourceOptions {
  readonly settings: Pick<GatewaySettings, "bounds" | "vmId">;
  readonly store: ObjectStore;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** Computes after how long without a confirmation objects are read again. */
export function computeRenewalMs(
  settings: ObjectSourceOptions["settings"],
): number {
  return findShorterBound(settings) * RENEWAL_SHARE;
}

/** Builds the source. */
export function buildObjectSource(
  { settings, store, ...dependencies }: ObjectSourceOptions,
): RelayedSource {
  const boundedMs = findShorterBound(settings) * WATCH_SHARE;
  const getWaitMs = (kind: ObjectKind) =>
    kind === "turnDisks" ? DISK_WATCH_MS : boundedMs;
  return new RelayedSource({
    store: new StoreSource(store, {
      getWaitMs,
      needsAgeBound: (kind) => needsAgeBound(settings, kind),
    }),
    ...dependencies,
    selfId: settings.vmId,
    getPeerWaitMs: (kind) =>
      kind === "turnDisks"
        ? PEER_DISK_WATCH_MS
        : boundedMs + PEER_WAIT_MARGIN_MS,
    getMaxAgeMs: (kind) =>
      kind === "turnDisks"
        ? DISK_WATCH_MS + DISK_AGE_MARGIN_MS
        : computeRenewalMs(settings),
    needsAgeBound: (kind) => needsAgeBound(settings, kind),
  });
}

/** Whether removed keys have to lapse by the age of a kind of objects. */
export function needsAgeBound(
  { bounds }: ObjectSourceOptions["settings"],
  kind: ObjectKind,
): boolean {
  return kind === "configuration" && bounds.revocationMs !== undefined;
}

function findShorterBound({ bounds }: ObjectSourceOptions["settings"]): number {
  const { drainMs, configurationMs, revocationMs } = bounds;
  return Math.min(
    drainMs,
    configurationMs,
    revocationMs ?? Number.POSITIVE_INFINITY,
  );
}
