/**
 * The classes of a service's requests, from the priorities of its routes and of
 * the tenants in the configuration in force.
 */
import type { Route, RoutingConfiguration } from "../model/routing.ts";
import type { Tenant } from "../model/tenant.ts";

/** The classes of one service. */
export interface ServiceClasses {
  /** Distinct priorities, the most urgent first. */
  readonly priorities: readonly number[];
  /**
   * Whether the configuration has anything that asks for an order. Without it,
   * requests wait only while no target can take them.
   */
  readonly isOrdered: boolean;
}

/** Used until a configuration is known. */
export const NO_CLASSES: ServiceClasses = { priorities: [], isOrdered: false };

/** Computes the classes of a service. */
export function computeClasses(
  configuration: RoutingConfiguration,
  service: string,
): ServiceClasses {
  const { routes, services, tenants } = configuration;
  const priorities = new Set(
    routes.filter((route) =>
      route.services.some((each) => each.service === service)
    ).map(({ priority }) => priority),
  );
  for (const { priority } of tenants ?? []) {
    if (priority !== undefined) priorities.add(priority);
  }
  const hasMemory = [...services.values()]
    .some(({ memoryTokens }) => memoryTokens !== undefined);
  const hasPriorities = new Set(routes.map(({ priority }) => priority)).size >
    1;
  return {
    priorities: [...priorities].sort((left, right) => left - right),
    isOrdered: tenants !== undefined || hasMemory || hasPriorities,
  };
}

/** Computes the rank of a request's class; its tenant's priority precedes. */
export function computeRank(
  { priorities }: ServiceClasses,
  { route, tenant }: {
    readonly route: Pick<Route, "priority">;
    readonly tenant: Tenant | undefined;
  },
): number {
  const priority = tenant?.priority ?? route.priority;
  return priorities.filter((each) => each < priority).length;
}
