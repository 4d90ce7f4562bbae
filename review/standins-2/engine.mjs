/**
 * A stand-in for an engine or plain service: answers each request once, with
 * its signature and the echoed id, and records what it ran.
 */
import { createServer } from "node:http";

/** One engine on a loopback address. */
export class Engine {
  /** What it ran, in order: `{ id, path, atMs }`. */
  runs = [];
  #server;

  /**
   * `answer(request, response, { id, body, engine })` is called for each request
   * that the engine runs. It isn't called for health checks and reports.
   */
  constructor({ id, service, version = "v1", slots = 16, answer }) {
    Object.assign(this, { id, service, version, slots, answer });
    this.born = Date.now();
    this.#server = createServer((request, response) =>
      this.#handle(request, response)
    );
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Listens; rejects if the address can't be used. */
  async start(host = "127.0.0.1") {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What it registers in the store. */
  get entry() {
    return {
      service: this.service,
      address: this.address,
      zone: "zone-a",
      version: this.version,
      slots: this.slots,
      state: "ready",
      coldRemainingMs: 0,
      born: this.born,
      sequence: 1,
    };
  }

  /** The headers of each answer to a request. */
  buildHeaders(id) {
    return { "X-Attempt-Id": id, "X-Server-Signature": `sig-${this.id}-${id}` };
  }

  #handle(request, response) {
    const { url, headers } = request;
    if (url === "/healthz") {
      response.writeHead(200, { "X-Instance-Id": this.id });
      return response.end();
    }
    if (url === "/camphorlock/report") {
      const report = {
        stage: "dual",
        models: [],
        busy: false,
        born: this.born,
      };
      response.writeHead(200, { "content-type": "application/json" });
      return response.end(JSON.stringify(report));
    }
    const instance = headers["x-target-instance"];
    const id = headers["x-attempt-id"];
    if (id === undefined || (instance ?? this.id) !== this.id) {
      response.writeHead(id === undefined ? 400 : 421, {
        "X-Not-Executed": "1",
      });
      return response.end();
    }
    const parts = [];
    request.on("data", (part) => parts.push(part));
    request.on("end", () => {
      this.runs.push({ id, path: url, atMs: performance.now() });
      const body = Buffer.concat(parts);
      this.answer(request, response, { id, body, engine: this });
    });
    request.on("error", () => {});
  }
}
