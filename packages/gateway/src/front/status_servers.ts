/**
 * The servers that tell others about this gateway: the load balancer's probes of
 * readiness, and the metrics.
 */
import type { GatewaySettings } from "../ports.ts";
import type { AddressWaiter } from "./address_waiter.ts";
import {
  PlainTextServer,
  type PlainTextServerDependencies,
} from "./plain_text_server.ts";
import type { ReadinessState } from "./readiness_state.ts";

/** The servers. */
export class StatusServers {
  readonly #readiness: PlainTextServer;
  readonly #metrics: PlainTextServer;

  constructor(
    dependencies: PlainTextServerDependencies,
    readiness: ReadinessState,
  ) {
    const { metrics } = dependencies;
    this.#metrics = new PlainTextServer(dependencies, () => ({
      status: 200,
      text: metrics.render(),
    }));
    this.#readiness = new PlainTextServer(
      dependencies,
      () =>
        readiness.isReady
          ? { status: 200, text: "ready\n" }
          : { status: 503, text: "not ready\n" },
    );
  }

  /** Listens; rejects if the address of the probes can't be used. */
  async serve(
    { readiness, metrics }: Pick<GatewaySettings, "readiness" | "metrics">,
    addresses: AddressWaiter,
  ): Promise<void> {
    await addresses.serve(() => this.#readiness.serve(readiness));
    void addresses.serveMetrics(this.#metrics, metrics);
  }

  close(): void {
    this.#readiness.close();
    this.#metrics.close();
  }
}
