import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Target } from "./model/target.ts";

/** A target whose responses the test writes byte by byte. */
export class RawTarget {
  requests = 0;
  handle: (socket: Socket, requestId: string) => void = () => {};
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor() {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.on("data", (bytes) => {
        // The rest of a request whose head and body came apart.
        if (!/^(GET|POST|HEAD) /.test(bytes.toString())) return;
        this.requests += 1;
        const id = /^id: (.*)\r$/m.exec(bytes.toString())?.[1] ?? "";
        this.handle(socket, id);
      });
    });
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    return (this.#server.address() as AddressInfo).port;
  }

  /** Starts, and builds the target's entry in the store. */
  async startAs(id: string): Promise<Target> {
    return {
      id,
      service: "s",
      host: "127.0.0.1",
      port: await this.start(),
      failureDomain: "a",
      state: "ready",
      version: "v1",
      slots: 4,
      startedAtMs: 1,
    };
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

/** Builds a signed response to the request with this id. */
export function buildResponse(text: string, id: string): string {
  return `HTTP/1.1 200 OK\r\nsigned: 1\r\nid: ${id}\r\n` +
    `content-length: ${text.length}\r\n\r\n${text}`;
}
