/**
 * Stand-in for the platform's metadata store: objects by kind and name,
 * conditional writes, lists in pages, and watches. It keeps everything in
 * memory and loses nothing that it has acknowledged.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";

const PAGE_SIZE = 50;
const MAX_EVENTS = 5_000;

interface Metadata {
  readonly name: string;
  readonly revision: number;
  readonly created: number;
  readonly finalizers: readonly string[];
  readonly deletionPending: boolean;
}

interface StoredObject {
  readonly metadata: Metadata;
  readonly spec: unknown;
  readonly status: unknown;
}

interface StoreEvent {
  readonly kind: string;
  readonly object: StoredObject;
  readonly removed: boolean;
  readonly revision: number;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** The store. Its methods throw only if the address can't be used. */
export class StoreServer {
  /** While true, each call gets 503 and nothing is done. */
  isDown = false;
  readonly #kinds = new Map<string, Map<string, StoredObject>>();
  readonly #server: Server;
  #events: StoreEvent[] = [];
  #revision = 1;
  #waiters = new Set<() => void>();

  constructor() {
    this.#server = createServer((request, response) => {
      this.#answer(request).catch((error: unknown): Answer => ({
        status: 400,
        body: { detail: String(error) },
      })).then(({ status, body }) => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
      });
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Starts to listen on `host`; resolves to the port. */
  async start(host: string): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, () => resolve());
    });
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Stops at once. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Makes every call fail with 503 from now on, also those that wait. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.#wake();
  }

  /** Creates an object or replaces its spec; returns the revision. */
  put(kind: string, name: string, spec: unknown): number {
    const before = this.#getKind(kind).get(name);
    return this.#save(kind, name, { spec, status: before?.status ?? null })
      .metadata.revision;
  }

  /** Removes an object, if it exists. */
  remove(kind: string, name: string): void {
    const before = this.#getKind(kind).get(name);
    if (before === undefined) return;
    this.#getKind(kind).delete(name);
    this.#revision += 1;
    const metadata = { ...before.metadata, revision: this.#revision };
    this.#record({
      kind,
      object: { ...before, metadata },
      removed: true,
      revision: this.#revision,
    });
  }

  async #answer(request: IncomingMessage): Promise<Answer> {
    const url = new URL(request.url ?? "/", "http://store");
    const parts = url.pathname.split("/").slice(3).map(decodeURIComponent);
    const [kind = "", name, part] = parts;
    let text = "";
    for await (const chunk of request) text += chunk;
    if (this.isDown) return { status: 503, body: {} };
    const body = text === "" ? {} : JSON.parse(text);
    switch (request.method) {
      case "GET": {
        if (name !== undefined) return this.#find(kind, name);
        const watch = url.searchParams.get("watch");
        return watch === null
          ? this.#list(kind, url.searchParams.get("after") ?? "")
          : await this.#watch(kind, {
            after: Number(watch),
            waitMs: Math.min(Number(url.searchParams.get("waitMs")), 30_000),
          });
      }
      case "POST": {
        const newName = String(body.metadata?.name ?? "");
        const before = this.#getKind(kind).get(newName);
        if (before !== undefined) return { status: 409, body: before };
        const saved = this.#save(kind, newName, {
          spec: body.spec,
          status: null,
        });
        return { status: 201, body: saved };
      }
      case "PUT":
        return this.#replace(kind, name ?? "", { body, part });
      case "DELETE": {
        const found = this.#find(kind, name ?? "");
        if (found.status === 200) this.remove(kind, name ?? "");
        return found;
      }
      default:
        return { status: 405, body: {} };
    }
  }

  #find(kind: string, name: string): Answer {
    const object = this.#getKind(kind).get(name);
    return object === undefined
      ? { status: 404, body: {} }
      : { status: 200, body: object };
  }

  #list(kind: string, after: string): Answer {
    const all = [...this.#getKind(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
    return {
      status: 200,
      body: {
        items: all.slice(0, PAGE_SIZE),
        morePages: all.length > PAGE_SIZE,
        asOf: this.#revision,
      },
    };
  }

  async #watch(
    kind: string,
    { after, waitMs }: { readonly after: number; readonly waitMs: number },
  ): Promise<Answer> {
    const endAtMs = performance.now() + waitMs;
    for (;;) {
      if (this.isDown) return { status: 503, body: {} };
      const oldest = this.#events[0]?.revision ?? 0;
      if (this.#events.length >= MAX_EVENTS && after < oldest) {
        return { status: 410, body: {} };
      }
      const events = this.#events
        .filter((event) => event.kind === kind && event.revision > after)
        .map(({ object, removed }) => ({ object, removed }));
      const leftMs = endAtMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return { status: 200, body: { events, asOf: this.#revision } };
      }
      await this.#waitForEvent(leftMs);
    }
  }

  #replace(
    kind: string,
    name: string,
    { body, part }: {
      readonly body: {
        readonly metadata?: { readonly revision?: number };
        readonly spec?: unknown;
        readonly status?: unknown;
      };
      readonly part: string | undefined;
    },
  ): Answer {
    const before = this.#getKind(kind).get(name);
    if (before === undefined) return { status: 404, body: {} };
    const condition = body.metadata?.revision;
    if (condition !== undefined && condition !== before.metadata.revision) {
      return { status: 409, body: before };
    }
    const after = part === "status"
      ? { spec: before.spec, status: body.status ?? null }
      : { spec: body.spec, status: before.status };
    const isSame = JSON.stringify(after) ===
      JSON.stringify({ spec: before.spec, status: before.status });
    if (isSame) return { status: 200, body: before };
    return { status: 200, body: this.#save(kind, name, after) };
  }

  #save(
    kind: string,
    name: string,
    { spec, status }: { readonly spec: unknown; readonly status: unknown },
  ): StoredObject {
    const before = this.#getKind(kind).get(name);
    this.#revision += 1;
    const revision = this.#revision;
    const metadata: Metadata = {
      name,
      revision,
      created: before?.metadata.created ?? revision,
      finalizers: [],
      deletionPending: false,
    };
    const object = { metadata, spec, status };
    this.#getKind(kind).set(name, object);
    this.#record({ kind, object, removed: false, revision });
    return object;
  }

  #record(event: StoreEvent): void {
    this.#events.push(event);
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
    this.#wake();
  }

  #wake(): void {
    const waiters = this.#waiters;
    this.#waiters = new Set();
    for (const wake of waiters) wake();
  }

  #waitForEvent(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#waiters.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #getKind(kind: string): Map<string, StoredObject> {
    const objects = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, objects);
    return objects;
  }
}
