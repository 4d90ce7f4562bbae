/**
 * Keeps the connections of a listener within their bounds, and closes those that
 * have to go.
 */
import type { ServerResponse } from "node:http";
import { ClosureReports } from "@camphorlock/channel";
import { EVENTS } from "@camphorlock/codes/events";
import {
  type ConnectionBounds,
  ConnectionTable,
  type ResponseLength,
} from "../decisions/connection_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { CallerSocket } from "./caller_socket.ts";

/** Dependencies of the connections. */
export interface CallerConnectionsDependencies {
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** How a request is run. */
export interface RunOptions {
  readonly length?: ResponseLength;
  /** Waits for the end of what goes on for a caller that left. */
  readonly waitForTarget?: () => Promise<void>;
}

/** The connections of one listener. */
export class CallerConnections {
  readonly #dependencies: CallerConnectionsDependencies;
  readonly #table: ConnectionTable<CallerSocket>;
  /** Called when a connection closes, for each response that hasn't ended. */
  readonly #unanswered = new Map<CallerSocket, Set<() => void>>();
  readonly #closures: ClosureReports;

  constructor(
    dependencies: CallerConnectionsDependencies,
    bounds: ConnectionBounds,
  ) {
    this.#dependencies = dependencies;
    this.#table = new ConnectionTable(bounds);
    const { log } = dependencies;
    this.#closures = new ClosureReports((report) =>
      log.write(EVENTS.ConnectionsClosed, { ...report })
    );
  }

  /** Whether another request may run. */
  get canRun(): boolean {
    return this.#table.canRun;
  }

  /** Lists the open connections. */
  list(): Iterable<CallerSocket> {
    return this.#table.list();
  }

  /** Closes the connections that wait for a request. */
  closeIdle(): void {
    for (const socket of [...this.#table.list()]) {
      const unanswered = this.#unanswered.get(socket)?.size ?? 0;
      if (unanswered === 0 && socket.isIdle) socket.destroy();
    }
  }

  /** Adds a connection, and closes another one if there are too many. */
  add(socket: CallerSocket): void {
    const unanswered = new Set<() => void>();
    this.#unanswered.set(socket, unanswered);
    socket.on("close", () => {
      this.#table.remove(socket);
      this.#unanswered.delete(socket);
      for (const handleClosed of unanswered) handleClosed();
    });
    const excess = this.#table.add(socket, socket.remoteAddress);
    if (excess !== undefined) {
      this.#close(excess, "too many connections; the longest wait");
    }
  }

  /**
   * Counts a request whose head arrived. Resolves once its response or its
   * connection has closed; undefined if it isn't to be read, since its
   * connection is closed.
   */
  openRequest(
    socket: CallerSocket,
    response: ServerResponse,
  ): Promise<void> | undefined {
    const unanswered = this.#unanswered.get(socket);
    if (socket.destroyed || unanswered === undefined) return undefined;
    if (!this.#table.openRequest(socket)) {
      this.#close(socket, "too many requests without waiting for responses");
      return undefined;
    }
    return new Promise((resolve) => {
      const handleClosed = () => {
        if (!unanswered.delete(handleClosed)) return;
        this.#table.closeRequest(socket);
        resolve();
      };
      // A response that waits for an earlier one doesn't report the close of
      // its connection.
      unanswered.add(handleClosed);
      response.once("close", handleClosed);
    });
  }

  /**
   * Runs a complete request; false if too many run. It counts as running until
   * its target has ended, too.
   */
  async run(
    socket: CallerSocket,
    run: () => Promise<void>,
    { length = "short", waitForTarget = () => Promise.resolve() }: RunOptions =
      {},
  ): Promise<boolean> {
    if (!this.#table.startRun(socket, length)) return false;
    try {
      await run();
    } finally {
      void waitForTarget().finally(() => this.#table.endRun(socket, length));
    }
    return true;
  }

  #close(socket: CallerSocket, reason: string): void {
    const address = `${socket.localAddress}:${socket.localPort}`;
    socket.destroy();
    this.#dependencies.metrics.add("connections_closed");
    this.#closures.record(reason, address);
  }
}
