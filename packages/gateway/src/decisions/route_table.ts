/**
 * Finds the route of a request: among the routes of its host, the one with the
 * longest prefix of its path.
 */
import type { Route, RoutingConfiguration } from "../model/routing.ts";

/** The routes of one configuration, indexed by host. */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>();

  constructor(configuration: RoutingConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** Finds the route for a Host header and a request target. */
  find(hostHeader: string, requestTarget: string): Route | undefined {
    const host = hostHeader.toLowerCase().replace(/:\d+$/, "");
    const path = requestTarget.split("?", 1)[0] ?? "";
    return this.#byHost.get(host)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}
