/**
 * Chooses the service of a split route. All requests of one key go to the same
 * service, so that a program's prompts find their cache.
 */
import { computeFraction } from "@camphorlock/scheduler/hash";
import type { Route } from "../model/routing.ts";

/** Chooses a service in proportion to the route's weights. */
export function chooseService(route: Route, key: string): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = computeFraction(`${route.name}|${key}`) * total;
  for (const { service, weight } of route.services) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.services.at(-1)?.service ?? "";
}
