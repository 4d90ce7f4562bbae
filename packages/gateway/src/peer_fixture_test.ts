import type { RoutingConfiguration } from "./model/routing.ts";
import type { PeerInfo } from "./decisions/peer_directory.ts";
import type { PeerGroupDependencies } from "./peers/peer_group.ts";

/** Answers of gateways without limited targets and quotas. */
export const NO_LIMITS: Pick<
  PeerGroupDependencies,
  "answerPermitCall" | "answerCreditCall"
> = {
  answerPermitCall: () => Promise.resolve({ kind: "unlimited" }),
  answerCreditCall: () => Promise.resolve(undefined),
};

/** Builds a gateway's entry in the directories of its peers. */
export function buildPeer(
  vmId: string,
  change: Partial<PeerInfo> = {},
): PeerInfo {
  return {
    vmId,
    host: "127.0.0.1",
    port: 1,
    region: "north",
    bootId: "1",
    isLeaving: false,
    ...change,
  };
}

/** Restores the map that a copy from another gateway, as JSON, doesn't have. */
export function restoreServices(
  configuration: RoutingConfiguration,
): RoutingConfiguration {
  const { services } = configuration;
  return services instanceof Map
    ? configuration
    : { ...configuration, services: new Map() };
}
