/**
 * The routes, services and limits of the configuration in force, as the gateway
 * uses them.
 */
import type { TenantEntry } from "./tenant.ts";

/**
 * Whether requests of a route may be repeated. A `non_idempotent` request runs
 * at most once; a streaming one may be repeated only if it's resumable.
 */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** How requests of one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a new attempt may continue an unfinished stream. */
  readonly isResumable: boolean;
  /** Longest time until the final response. */
  readonly timeoutMs: number;
  /** Time within which a response earns its full credit from the caller. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key where tenants are configured. */
  readonly isPublic: boolean;
  /** Maximum number of targets that may run one request. */
  readonly maxTargets: number;
  /**
   * How long the turns of this route are kept after their end; undefined where
   * each turn carries its whole prompt.
   */
  readonly retentionMs: number | undefined;
  /** At least one, with positive weights. */
  readonly services: readonly WeightedService[];
}

/** Properties of a service, apart from its targets. */
export interface Service {
  readonly name: string;
  /** Connections that each target accepts from all callers. */
  readonly maxConnections: number;
  /** Tokens that one event of a stream represents; 0 for plain services. */
  readonly tokensPerEvent: number;
  /** Tokens that the memory of each target holds; undefined if not stated. */
  readonly memoryTokens: number | undefined;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Undefined where callers need no keys. */
  readonly tenants: readonly TenantEntry[] | undefined;
  /** What of the tenants was left out, without any key; absent if nothing. */
  readonly problems?: readonly string[];
}
