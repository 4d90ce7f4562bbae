/**
 * The priority by which a request waits for a target.
 */
import type { Route } from "../model/routing.ts";
import type { Tenant } from "../model/tenant.ts";

/** The part of a request that its priority depends on. */
export interface PrioritizedRequest {
  readonly route: Pick<Route, "priority">;
  readonly tenant: Pick<Tenant, "priority"> | undefined;
}

/** Finds a request's priority: its tenant's, else its route's; 0 goes first. */
export function findPriority({ route, tenant }: PrioritizedRequest): number {
  return tenant?.priority ?? route.priority;
}
