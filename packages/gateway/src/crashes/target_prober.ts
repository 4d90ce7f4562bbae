/**
 * Finds out whether a target's process still exists after it broke off a
 * request: opens a connection and closes it. A VM whose process has ended
 * refuses the connection; a cut or frozen one is silent. A lost link may refuse
 * connections, too, so another gateway has to confirm it.
 */
import type { SocketOpener } from "@camphorlock/http/exchange";
import { getAddress } from "../decisions/target_table.ts";
import type { Target } from "../model/target.ts";
import { isRefusal } from "../paths/target_paths.ts";

/** Two round trips between regions; a slower target counts as silent. */
const PROBE_TIMEOUT_MS = 60;

/** What a target does with a new connection. */
export type ProbeResult = "accepts" | "refuses" | "silent";

/** Dependencies of the prober. */
export interface TargetProberDependencies {
  readonly openSocket: SocketOpener;
  /** Whether another gateway's connections are refused as well. */
  readonly confirmRefusal: (target: Target) => Promise<boolean>;
}

/** Probes targets; probes of one address at the same time share a connection. */
export class TargetProber {
  readonly #dependencies: TargetProberDependencies;
  readonly #running = new Map<string, Promise<ProbeResult>>();

  constructor(dependencies: TargetProberDependencies) {
    this.#dependencies = dependencies;
  }

  /** Probes a target. Never rejects. */
  probe(target: Target): Promise<ProbeResult> {
    const address = getAddress(target);
    const running = this.#running.get(address);
    if (running !== undefined) return running;
    const probe = this.#connectOnce(target);
    this.#running.set(address, probe);
    void probe.then(() => this.#running.delete(address));
    return probe;
  }

  async #connectOnce(target: Target): Promise<ProbeResult> {
    const { openSocket, confirmRefusal } = this.#dependencies;
    try {
      (await openSocket(target, PROBE_TIMEOUT_MS)).socket.destroy();
      return "accepts";
    } catch (error) {
      if (!isRefusal(error)) return "silent";
      return await confirmRefusal(target) ? "refuses" : "silent";
    }
  }
}
