/**
 * The connections to all targets, opened at their first use. An idle one is
 * closed where a new one would take a descriptor that others need.
 */
import { type OpenedSocket, PeerConnection } from "@camphorlock/http/exchange";
import type { Target } from "../model/target.ts";

/** Longest wait for a connection; far above the latency between regions. */
const CONNECT_TIMEOUT_MS = 300;
/** Longest time that a connection stays open without use. */
const IDLE_MS = 4_000;
/**
 * Pause before a connection is reused: a late second response arrives within a
 * few milliseconds of the first.
 */
const REUSE_DELAY_MS = 10;

interface OpenTarget {
  readonly baseUrl: string;
  readonly connection: PeerConnection;
  /** The latest entry, which may name a later start at the same address. */
  target: Target;
}

/** Opens a connection to a target; rejects if there's none in time. */
export type TargetOpener = (
  target: Target,
  timeoutMs: number,
) => Promise<OpenedSocket>;

/** The connections to all targets, by target id. */
export class TargetConnections {
  readonly #open = new Map<string, OpenTarget>();
  readonly #openTarget: TargetOpener;
  readonly #maxOpen: number;
  #openSockets = 0;

  /** Idle connections are closed before more than `maxOpen` are open. */
  constructor(
    openTarget: TargetOpener,
    { maxOpen = Number.POSITIVE_INFINITY }: { readonly maxOpen?: number } = {},
  ) {
    this.#openTarget = openTarget;
    this.#maxOpen = maxOpen;
  }

  /** Gets the connections of one incarnation of a target. */
  get(target: Target): PeerConnection {
    const baseUrl = `http://${target.host}:${target.port}`;
    const open = this.#open.get(target.id);
    if (open?.baseUrl === baseUrl) {
      open.target = target;
      return open.connection;
    }
    if (open !== undefined) this.remove(target.id);
    const connection = new PeerConnection({
      baseUrl,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      idleMs: IDLE_MS,
      reuseDelayMs: REUSE_DELAY_MS,
      openSocket: (_address, timeoutMs) =>
        this.#openSocket(added.target, timeoutMs),
    });
    const added: OpenTarget = { baseUrl, connection, target };
    this.#open.set(target.id, added);
    return connection;
  }

  async #openSocket(
    target: Target,
    timeoutMs: number,
  ): Promise<OpenedSocket> {
    if (this.#openSockets >= this.#maxOpen) this.#closeLongestIdle();
    this.#openSockets += 1;
    const release = () => void (this.#openSockets -= 1);
    try {
      const opened = await this.#openTarget(target, timeoutMs);
      opened.socket.once("close", release);
      return opened;
    } catch (error) {
      release();
      throw error;
    }
  }

  #closeLongestIdle(): void {
    for (const { connection } of this.#open.values()) {
      if (connection.closeLongestIdle()) return;
    }
  }

  /** Closes the connections without an exchange. */
  closeIdle(): void {
    for (const { connection } of this.#open.values()) connection.closeIdle();
  }

  /** Closes a target's connections once their exchanges have ended. */
  remove(targetId: string): void {
    const open = this.#open.get(targetId);
    this.#open.delete(targetId);
    // Each exchange reports its own end, so this error needs no handling.
    open?.connection.closeWhenIdle().catch(() => {});
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    const open = [...this.#open.values()];
    this.#open.clear();
    await Promise.allSettled(open.map(({ connection }) => connection.close()));
  }
}
