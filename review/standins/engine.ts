/**
 * Stand-in for one engine or plain service behind HTTP. It registers itself in
 * the store's stand-in, runs a limited number of requests at once, refuses
 * others as not run, and drops a request when its connection closes. It checks
 * `X-Target-Instance`, echoes `X-Attempt-Id`, and signs what it has run.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { waitFor } from "./deployment.ts";
import type { Recorder } from "./recorder.ts";
import type { StoreServer } from "./store_server.ts";

/** The engine's place and behaviour. */
export interface EngineOptions {
  readonly name: string;
  readonly service: string;
  readonly ip: string;
  readonly zone: string;
  readonly slots: number;
  readonly store: StoreServer;
  readonly recorder: Recorder;
  /** Runs an admitted request and writes its whole answer. */
  readonly run: (run: EngineRun) => Promise<void>;
}

/** One admitted request. */
export interface EngineRun {
  readonly engine: Engine;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: string;
  readonly attemptId: string;
  /** Whether the caller has closed the connection. */
  readonly isDropped: () => boolean;
}

/** The engine. Its methods throw only if the address can't be used. */
export class Engine {
  readonly options: EngineOptions;
  version = "v1";
  id = "";
  port = 0;
  /** Called once a refusal was sent, with its bytes. */
  onRefusal: (socket: Socket, refusal: string) => void = () => {};
  /** Called when a request has arrived; may write to the connection. */
  onArrival: (socket: Socket) => void = () => {};
  #server: Server | undefined;
  readonly #sockets = new Set<Socket>();
  #running = 0;
  #starts = 0;
  #bornMs = 0;

  constructor(options: EngineOptions) {
    this.options = options;
  }

  /** Starts a new incarnation on the same address; `id` keeps an old one. */
  async start(id?: string): Promise<void> {
    const { name, ip } = this.options;
    this.#starts += 1;
    this.id = id ?? `i-${name}-${this.#starts}`;
    this.#bornMs = Date.now();
    this.#running = 0;
    const server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.port, ip, () => resolve());
    });
    const address = server.address();
    if (typeof address === "object" && address !== null) {
      this.port = address.port;
    }
    this.#server = server;
    this.options.recorder.write("engine_started", {
      engine: this.id,
      version: this.version,
    });
  }

  /** Writes the engine's entry to the store. */
  register(): void {
    const { store, service, ip, zone, slots } = this.options;
    store.put("servers", this.id, {
      service,
      address: `${ip}:${this.port}`,
      zone,
      version: this.version,
      slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: 1,
      born: this.#bornMs,
    });
  }

  /** Ends the process: every connection closes, new ones are refused. */
  crash(): void {
    this.options.recorder.write("engine_ended", {
      engine: this.id,
      running: this.#running,
    });
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
    this.#server = undefined;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    const { slots, recorder, run } = this.options;
    const server = this.#server;
    let isDropped = false;
    response.on("error", () => {});
    response.on("close", () => isDropped = !response.writableFinished);
    let body = "";
    try {
      for await (const chunk of request) body += chunk;
    } catch {
      // The caller closed the connection before the request was complete.
      return;
    }
    const attemptId = String(request.headers["x-attempt-id"] ?? "");
    this.onArrival(socket);
    const expected = request.headers["x-target-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        "X-Attempt-Id": attemptId,
        "X-Instance-Id": this.id,
        "Content-Length": "0",
      }).end();
      return;
    }
    if (this.#running >= slots) {
      recorder.write("refused", { engine: this.id, attempt: attemptId });
      const head = { "X-Attempt-Id": attemptId, "X-Not-Executed": "1" };
      response.writeHead(503, { ...head, "Content-Length": "0" }).end();
      this.onRefusal(
        socket,
        `HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: ${attemptId}\r\n` +
          "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
      );
      return;
    }
    this.#running += 1;
    recorder.write("run", {
      engine: this.id,
      attempt: attemptId,
      method: request.method,
      path: request.url,
      resume_after: request.headers["last-event-id"],
    });
    response.setHeader("X-Attempt-Id", attemptId);
    response.setHeader("X-Server-Signature", `signed.${this.id}.${attemptId}`);
    await run({
      engine: this,
      request,
      response,
      body,
      attemptId,
      isDropped: () => isDropped,
    });
    if (server === this.#server) this.#running -= 1;
  }
}

/** A stream's events: their number, the pause between them, and framing. */
export interface StreamShape {
  readonly events: number;
  readonly gapMs: number;
  /** Whether the end is marked by chunks rather than by the connection. */
  readonly isChunked: boolean;
}

/** Builds the run of a stream; each event names the engine's version. */
export function buildStreamRun(shape: StreamShape): EngineOptions["run"] {
  return async ({ engine, request, response, attemptId, isDropped }) => {
    const { version, options: { recorder }, id } = engine;
    const from = Number(request.headers["last-event-id"] ?? 0) + 1;
    if (!shape.isChunked) {
      response.useChunkedEncodingByDefault = false;
      response.setHeader("Connection", "close");
    }
    response.writeHead(200, { "Content-Type": "text/event-stream" });
    for (let event = from; event <= shape.events; event += 1) {
      await waitFor(shape.gapMs);
      if (isDropped()) return;
      response.write(`id: ${event}\ndata: ${attemptId} ${version}\n\n`);
    }
    response.end();
    recorder.write("run_ended", { engine: id, attempt: attemptId });
  };
}
