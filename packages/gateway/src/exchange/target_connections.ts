/**
 * The connections to all targets, opened as they're used.
 */
import { PeerConnection } from "@camphorlock/http/exchange";
import type { Target } from "../model/target.ts";

/** Longest wait for a connection; far beyond the way between regions. */
const CONNECT_TIMEOUT_MS = 300;
/** Longest time that a connection stays open without use. */
const IDLE_MS = 4_000;
/** A late second answer arrives within a few milliseconds of the first. */
const REST_MS = 10;

interface OpenTarget {
  readonly baseUrl: string;
  readonly connection: PeerConnection;
}

/** The connections by target. */
export class TargetConnections {
  readonly #open = new Map<string, OpenTarget>();

  /** Gets the connections of one incarnation of a target. */
  get(target: Target): PeerConnection {
    const baseUrl = `http://${target.host}:${target.port}`;
    const open = this.#open.get(target.id);
    if (open?.baseUrl === baseUrl) return open.connection;
    if (open !== undefined) this.remove(target.id);
    const connection = new PeerConnection({
      baseUrl,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      idleMs: IDLE_MS,
      restMs: REST_MS,
    });
    this.#open.set(target.id, { baseUrl, connection });
    return connection;
  }

  /** Closes a target's connections as their exchanges end. */
  remove(targetId: string): void {
    const open = this.#open.get(targetId);
    this.#open.delete(targetId);
    // Every exchange has its own report of how it ended.
    open?.connection.closeWhenIdle().catch(() => {});
  }

  /** Closes everything. */
  async close(): Promise<void> {
    const open = [...this.#open.values()];
    this.#open.clear();
    await Promise.allSettled(open.map(({ connection }) => connection.close()));
  }
}
