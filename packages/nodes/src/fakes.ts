/**
 * Test doubles: manually advanced timers and a TCP proxy that can drop traffic.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { PeerTimers } from "./timers.ts";

interface Subscription {
  readonly periodMs: number;
  readonly callback: () => void;
  dueAtMs: number;
}

const POLL_MS = 2;
const POLL_LIMIT = 5_000;

/** Timers whose clock advances only in `runFor`. */
export class FakeTimers implements PeerTimers {
  #nowMs = 0;
  readonly #subscriptions = new Set<Subscription>();

  readNowMs(): number {
    return this.#nowMs;
  }

  subscribe(periodMs: number, callback: () => void): () => void {
    const dueAtMs = this.#nowMs + periodMs;
    const subscription = { periodMs, callback, dueAtMs };
    this.#subscriptions.add(subscription);
    return () => this.#subscriptions.delete(subscription);
  }

  /** Advances the clock in steps and calls the subscriptions that fall due. */
  runFor(durationMs: number, stepMs = 50): void {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs = Math.min(this.#nowMs + stepMs, untilMs);
      this.#callDue();
    }
  }

  #callDue(): void {
    for (const subscription of this.#subscriptions) {
      if (this.#nowMs < subscription.dueAtMs) continue;
      subscription.dueAtMs = this.#nowMs + subscription.periodMs;
      subscription.callback();
    }
  }
}

/** Polls until a condition is true; throws after `POLL_LIMIT` polls. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let polls = 0; polls < POLL_LIMIT; polls += 1) {
    if (isMet()) return;
    await sleep(POLL_MS);
  }
  throw new Error("the condition didn't become true in time");
}

/** Forwards TCP connections, and can drop the traffic of all open ones. */
export class SilentProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #blockedSockets = new Set<Socket>();
  connections = 0;

  constructor(targetPort: number) {
    this.#server = createServer((inbound) => {
      this.connections += 1;
      const outbound = connect(targetPort, "127.0.0.1");
      this.#forwardTraffic(inbound, outbound);
      this.#forwardTraffic(outbound, inbound);
    });
  }

  /** Starts listening and returns the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Drops the traffic of the open connections without closing them. */
  stopForwarding(): void {
    this.#blockedSockets = new Set(this.#sockets);
  }

  /** Closes the listener and all connections. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #forwardTraffic(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("data", (bytes) => {
      if (!this.#blockedSockets.has(from)) to.write(bytes);
    });
    from.on("error", () => from.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#blockedSockets.has(from)) to.destroy();
    });
  }
}
