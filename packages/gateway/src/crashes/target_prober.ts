/**
 * Finds out whether a target's process still exists after it broke off a
 * request: opens a connection and closes it. A VM whose process has ended
 * refuses the connection; a cut or frozen one is silent.
 */
import { connect } from "node:net";
import type { Target } from "../model/target.ts";

/** Two round trips between regions; a slower target counts as silent. */
const PROBE_TIMEOUT_MS = 60;

/** What a target does with a new connection. */
export type ProbeResult = "accepts" | "refuses" | "silent";

/** Probes targets; probes of one address at the same time share a connection. */
export class TargetProber {
  readonly #running = new Map<string, Promise<ProbeResult>>();

  /** Probes a target. Never rejects. */
  probe({ host, port }: Pick<Target, "host" | "port">): Promise<ProbeResult> {
    const address = `${host}:${port}`;
    const running = this.#running.get(address);
    if (running !== undefined) return running;
    const probe = connectOnce(host, port);
    this.#running.set(address, probe);
    void probe.then(() => this.#running.delete(address));
    return probe;
  }
}

function connectOnce(host: string, port: number): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (result: ProbeResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => end("silent"), PROBE_TIMEOUT_MS);
    socket.on("connect", () => end("accepts"));
    socket.on(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        end(code === "ECONNREFUSED" ? "refuses" : "silent"),
    );
  });
}
