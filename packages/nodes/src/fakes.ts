/**
 * Timers moved by hand and a TCP proxy that can go silent, for tests.
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

/** Timers whose time passes only when told. */
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

  /** Lets time pass, with every call that falls into it. */
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

/** Waits until something holds; fails when it doesn't come to hold. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let polls = 0; polls < POLL_LIMIT; polls += 1) {
    if (isTrue()) return;
    await sleep(POLL_MS);
  }
  throw new Error("the condition didn't come to hold");
}

/** Forwards TCP connections, and can stop to do so for those that are open. */
export class SilentProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #silenced = new Set<Socket>();
  connections = 0;

  constructor(targetPort: number) {
    this.#server = createServer((inbound) => {
      this.connections += 1;
      const outbound = connect(targetPort, "127.0.0.1");
      this.#connectPair(inbound, outbound);
      this.#connectPair(outbound, inbound);
    });
  }

  /** Listens; gives its address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Forgets the open connections without closing them. */
  stopForwarding(): void {
    this.#silenced = new Set(this.#sockets);
  }

  /** Closes everything. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #connectPair(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("data", (bytes) => {
      if (!this.#silenced.has(from)) to.write(bytes);
    });
    from.on("error", () => from.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#silenced.has(from)) to.destroy();
    });
  }
}
