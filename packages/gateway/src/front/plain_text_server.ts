/**
 * A plain-text HTTP server, used for the platform's readiness probes and for the
 * metrics.
 */
import { createServer, type Server } from "node:http";
import { serveAt } from "@camphorlock/channel";
import type { Address } from "../ports.ts";
import {
  CallerConnections,
  type CallerConnectionsDependencies,
} from "./caller_connections.ts";
import { getCallerSocket, scheduleInput } from "./caller_socket.ts";
import type { InputScheduler } from "./input_scheduler.ts";

/** A probe or a scrape needs one connection, and each has a few senders. */
const BOUNDS = { maxConnections: 32, maxRunning: 0 };

/** Dependencies of the server. */
export interface PlainTextServerDependencies
  extends CallerConnectionsDependencies {
  readonly input: InputScheduler;
}

/** Responds to every request with the current status and text. */
export class PlainTextServer {
  readonly #server: Server;

  constructor(
    dependencies: PlainTextServerDependencies,
    getResponse: () => { status: number; text: string },
  ) {
    const connections = new CallerConnections(dependencies, BOUNDS);
    this.#server = createServer((request, response) => {
      const connection = getCallerSocket(request);
      if (connections.openRequest(connection, response) === undefined) return;
      connection.startRequest(request, response);
      request.resume();
      const { status, text } = getResponse();
      response.writeHead(status, { "content-type": "text/plain" });
      response.end(text);
    });
    scheduleInput(this.#server, dependencies.input, connections);
  }

  /** Starts to listen; rejects if the address can't be used. */
  serve({ host, port }: Address): Promise<void> {
    return serveAt(this.#server, { host, port });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
