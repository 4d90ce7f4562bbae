/**
 * Where requests may go: the routes, services and limits that the operator has
 * put in force, as the gateway uses them.
 */

/**
 * What may be repeated. A `non_idempotent` request runs at most once; a
 * streaming one may be repeated only where it's resumable.
 */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that takes a part of a route's requests. */
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
  /** Whether an unfinished stream may be continued by a new run. */
  readonly isResumable: boolean;
  /** Longest time until the final answer. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth its full credit to the caller. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most targets that may run one request. */
  readonly maxTargets: number;
  /** At least one, with positive weights. */
  readonly services: readonly WeightedService[];
}

/** What is known of a service beside its targets. */
export interface Service {
  readonly name: string;
  /** Connections that each target accepts from all callers. */
  readonly maxConnections: number;
  /** Tokens that one event of a stream stands for; 0 for plain services. */
  readonly tokensPerEvent: number;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration, whole. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
}
