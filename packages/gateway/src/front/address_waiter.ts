/**
 * Listens at the addresses of the settings, which a former process of this VM
 * may hold until its grace period is over.
 */
import { serveWhenFree } from "@camphorlock/channel";
import { EVENTS } from "@camphorlock/codes/events";
import type { GatewayLog } from "../log.ts";
import type { Address, GatewaySettings } from "../ports.ts";

/** Beyond the grace period, in which a former process holds its addresses. */
const ADDRESS_MARGIN_MS = 1_000;

/** Listens once the addresses are free. */
export class AddressWaiter {
  readonly #log: GatewayLog;
  readonly #limitMs: number;

  constructor(settings: Pick<GatewaySettings, "bounds">, log: GatewayLog) {
    this.#log = log;
    this.#limitMs = settings.bounds.graceMs + ADDRESS_MARGIN_MS;
  }

  /** Calls `serve` until its address is free; rejects if it stays in use. */
  serve(serve: () => Promise<void>): Promise<void> {
    return serveWhenFree(serve, {
      limitMs: this.#limitMs,
      reportWait: (detail) => this.#log.write(EVENTS.AddressInUse, { detail }),
    });
  }

  /** The same for the metrics; callers are served without them. */
  async serveMetrics(
    server: { serve(address: Address): Promise<void> },
    address: Address | undefined,
  ): Promise<void> {
    if (address === undefined) return;
    try {
      await this.serve(() => server.serve(address));
    } catch (error) {
      const detail = `no metrics: ${String(error)}`;
      this.#log.write(EVENTS.AddressInUse, { detail });
    }
  }
}
