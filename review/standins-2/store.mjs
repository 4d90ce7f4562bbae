/**
 * A stand-in for the platform's metadata store, in memory, over HTTP/1.1 on a
 * loopback address. It does what the page on the store says: one revision
 * counter, lists with `asOf`, watches, conditional writes, statuses, finalizers.
 */
import { createServer } from "node:http";

const HISTORY = 10_000;
const PAGE_ITEMS = 500;

/** The store. Operators and engines write to it with `put` and `remove`. */
export class Store {
  #kinds = new Map();
  #events = [];
  #forgotten = 0;
  #revision = 1;
  #waiters = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });
  /** Called with each call; "drop" leaves the call without effect or answer. */
  intercept = () => "serve";

  /** Listens on 127.0.0.1; resolves to the port. Rejects if that fails. */
  async start() {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return this.#server.address().port;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Lists the objects of a kind. */
  list(kind) {
    return [...this.#getKind(kind).values()];
  }

  /** Creates or replaces the spec of an object; returns the object. */
  put(kind, name, spec) {
    const before = this.#getKind(kind).get(name);
    const isSame = before !== undefined &&
      JSON.stringify(before.spec) === JSON.stringify(spec);
    if (isSame) return before;
    return this.#save(kind, name, { spec, status: before?.status ?? null });
  }

  remove(kind, name) {
    const before = this.#getKind(kind).get(name);
    if (before === undefined) return undefined;
    this.#revision += 1;
    this.#getKind(kind).delete(name);
    const metadata = { ...before.metadata, revision: this.#revision };
    this.#record({ kind, removed: true, object: { ...before, metadata } });
    return before;
  }

  #save(kind, name, { spec, status }) {
    this.#revision += 1;
    const before = this.#getKind(kind).get(name);
    const metadata = {
      name,
      revision: this.#revision,
      created: before?.metadata.created ?? this.#revision,
      finalizers: [],
      deletionPending: false,
    };
    const object = { metadata, spec, status };
    this.#getKind(kind).set(name, object);
    this.#record({ kind, removed: false, object });
    return object;
  }

  #record(event) {
    this.#events.push(event);
    if (this.#events.length > HISTORY) {
      this.#forgotten = this.#events.shift().object.metadata.revision;
    }
    for (const wake of [...this.#waiters]) wake();
  }

  #getKind(kind) {
    const objects = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, objects);
    return objects;
  }

  async #handle(request, response) {
    let text = "";
    for await (const chunk of request) text += chunk;
    const url = new URL(request.url, "http://store");
    const [, , , kind = "", name, part] = url.pathname.split("/")
      .map(decodeURIComponent);
    const call = { method: request.method, kind, name, part, text };
    if (this.intercept(call) === "drop") return;
    const { status, body } = request.method === "GET"
      ? await this.#read(kind, name, url.searchParams)
      : this.#write(call, url.searchParams);
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": bytes.length,
    });
    response.end(bytes);
  }

  async #read(kind, name, query) {
    if (name !== undefined) {
      const object = this.#getKind(kind).get(name);
      return object === undefined
        ? { status: 404, body: {} }
        : { status: 200, body: object };
    }
    if (query.has("watch")) return await this.#watch(kind, query);
    const after = query.get("after") ?? "";
    const sorted = this.list(kind)
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
    const items = sorted.slice(0, PAGE_ITEMS);
    const morePages = sorted.length > items.length;
    return { status: 200, body: { items, morePages, asOf: this.#revision } };
  }

  async #watch(kind, query) {
    const since = Number(query.get("watch"));
    const waitMs = Math.min(30_000, Number(query.get("waitMs") ?? 0));
    if (since < this.#forgotten) return { status: 410, body: {} };
    const find = () =>
      this.#events.filter((event) =>
        event.kind === kind && event.object.metadata.revision > since
      );
    const endMs = performance.now() + waitMs;
    while (find().length === 0 && performance.now() < endMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - performance.now()));
        this.#waiters.add(wake);
      });
    }
    const events = find().map(({ object, removed }) => ({ object, removed }));
    return { status: 200, body: { events, asOf: this.#revision } };
  }

  #write({ method, kind, name, part, text }, query) {
    const body = text === "" ? {} : JSON.parse(text);
    const target = method === "POST" ? body.metadata?.name : name;
    const before = this.#getKind(kind).get(target);
    if (method === "POST") {
      if (before !== undefined) return { status: 409, body: before };
      const { spec = null } = body;
      return {
        status: 200,
        body: this.#save(kind, target, { spec, status: null }),
      };
    }
    if (before === undefined) return { status: 404, body: {} };
    const expected = body.metadata?.revision ?? query.get("revision");
    const isStale = expected !== undefined && expected !== null &&
      Number(expected) !== before.metadata.revision;
    if (isStale) return { status: 409, body: before };
    if (method === "DELETE") {
      return { status: 200, body: this.remove(kind, target) };
    }
    const spec = part === "status" ? before.spec : body.spec ?? null;
    const status = part === "status" ? body.status ?? null : before.status;
    const isSame = JSON.stringify([spec, status]) ===
      JSON.stringify([before.spec, before.status]);
    return {
      status: 200,
      body: isSame ? before : this.#save(kind, target, { spec, status }),
    };
  }
}
