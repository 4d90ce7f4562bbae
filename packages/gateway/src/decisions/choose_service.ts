/**
 * Chooses a service of a route that splits its requests among several. All
 * requests with one key go to the same service, so that a program's prompts hit
 * the cache there.
 */
import { computeFraction } from "@camphorlock/scheduler/hash";
import type { Route } from "../model/routing.ts";

/**
 * Chooses a service in proportion to the route's weights; a stream that's taken
 * up stays at the service that began it while the route has that one.
 */
export function chooseService(
  route: Route,
  key: string,
  begunAt?: string,
): string {
  const hasBegunHere = route.services.some(({ service }) =>
    service === begunAt
  );
  if (begunAt !== undefined && hasBegunHere) return begunAt;
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = computeFraction(`${route.name}|${key}`) * total;
  for (const { service, weight } of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services.at(-1)?.service ?? "";
}
