/**
 * Answers the platform's question whether this gateway takes new callers, and
 * serves the metrics as text.
 */
import { createServer, type Server } from "node:http";
import type { Address } from "../ports.ts";

/** A small server of plain answers. */
export class PlainServer {
  readonly #server: Server;

  constructor(answer: () => { status: number; text: string }) {
    this.#server = createServer((request, response) => {
      request.resume();
      const { status, text } = answer();
      response.writeHead(status, { "content-type": "text/plain" });
      response.end(text);
    });
  }

  /** Listens; rejects when the address can't be used. */
  serve({ host, port }: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, () => resolve());
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
