/**
 * A plain-text HTTP server, used for the platform's readiness probes and for the
 * metrics.
 */
import { createServer, type Server } from "node:http";
import { serveAt } from "@camphorlock/channel";
import type { Address } from "../ports.ts";

/** Responds to every request with the current status and text. */
export class PlainTextServer {
  readonly #server: Server;

  constructor(getResponse: () => { status: number; text: string }) {
    this.#server = createServer((request, response) => {
      request.resume();
      const { status, text } = getResponse();
      response.writeHead(status, { "content-type": "text/plain" });
      response.end(text);
    });
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
