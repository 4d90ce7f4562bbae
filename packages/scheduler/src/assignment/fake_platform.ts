/**
 * A fake of the platform's object API in virtual time, with outages and lost
 * responses, for tests and benchmarks.
 */
import type {
  PlatformObject,
  PlatformRequest,
  PlatformResponse,
} from "@camphorlock/types";

/** A fault that is injected into a request. */
export type PlatformFault = "none" | "refused" | "lost_before" | "lost_after";

/** Receives the response to a request. */
export type ResponseReceiver = (response: PlatformResponse) => void;

interface Watch {
  readonly prefix: string;
  readonly afterPosition: number;
  readonly receive: ResponseReceiver;
}

/** Counts of calls by kind. */
export interface CallCounts {
  get: number;
  put: number;
  list: number;
  watch: number;
  delete: number;
}

/** The stored objects and the waiting watches. */
export class FakePlatform {
  readonly counts: CallCounts = {
    get: 0,
    put: 0,
    list: 0,
    watch: 0,
    delete: 0,
  };
  conflicts = 0;
  /** Called with each object that a write stores. */
  onStored: (object: PlatformObject) => void = () => {};
  readonly #objects = new Map<string, PlatformObject>();
  readonly #positions = new Map<string, number>();
  #position = 0;
  #watches: Watch[] = [];

  /** Handles a request and responds at once, except to a waiting watch. */
  receive(
    request: PlatformRequest,
    fault: PlatformFault,
    receive: ResponseReceiver,
  ): void {
    this.counts[request.kind] += 1;
    if (fault === "refused") receive({ kind: "failed", reason: "refused" });
    else if (fault === "lost_before") {
      receive({ kind: "failed", reason: "lost" });
    } else if (request.kind === "watch") this.#addWatch(request, receive);
    else {
      const response = this.#handleRequest(request);
      const isLost = fault === "lost_after";
      receive(isLost ? { kind: "failed", reason: "lost" } : response);
    }
  }

  /** Ends one waiting watch with an empty list of changes. */
  endWatch(receive: ResponseReceiver): void {
    const ended = this.#watches.find((watch) => watch.receive === receive);
    if (ended === undefined) return;
    this.#watches = this.#watches.filter((watch) => watch !== ended);
    const position = this.#position;
    ended.receive({ kind: "changed", keys: [], position });
  }

  /** Fails every waiting watch, as an outage does. */
  cancelWatches(): void {
    const watches = this.#watches;
    this.#watches = [];
    for (const { receive } of watches) {
      receive({ kind: "failed", reason: "lost" });
    }
  }

  /** Counts the waiting watches. */
  countWatches(): number {
    return this.#watches.length;
  }

  /** Lists the stored objects. */
  listObjects(): PlatformObject[] {
    return [...this.#objects.values()];
  }

  #handleRequest(
    request: Exclude<PlatformRequest, { kind: "watch" }>,
  ): PlatformResponse {
    switch (request.kind) {
      case "get": {
        const object = this.#objects.get(request.key);
        if (object === undefined) return { kind: "absent", key: request.key };
        return { kind: "found", object };
      }
      case "put":
        return this.#writeObject(request);
      case "list":
        return { kind: "listed", keys: this.#listKeys(request.prefix, 0) };
      case "delete":
        return { kind: "failed", reason: "refused" };
    }
  }

  #writeObject(
    request: Extract<PlatformRequest, { kind: "put" }>,
  ): PlatformResponse {
    const { key, value, condition } = request;
    const version = this.#objects.get(key)?.version ?? 0;
    const expected = condition.kind === "version"
      ? condition.version
      : condition.kind === "absent"
      ? 0
      : version;
    if (expected !== version) {
      this.conflicts += 1;
      return { kind: "conflict", key, version };
    }
    const object = { key, value, version: version + 1 };
    this.#objects.set(key, object);
    this.#position += 1;
    this.#positions.set(key, this.#position);
    this.onStored(object);
    this.#notifyWatches();
    return { kind: "stored", key, version: version + 1 };
  }

  #addWatch(
    request: Extract<PlatformRequest, { kind: "watch" }>,
    receive: ResponseReceiver,
  ): void {
    const { prefix, afterPosition } = request;
    this.#watches.push({ prefix, afterPosition, receive });
    this.#notifyWatches();
  }

  #notifyWatches(): void {
    const waiting: Watch[] = [];
    const watches = this.#watches;
    this.#watches = waiting;
    for (const watch of watches) {
      const keys = this.#listKeys(watch.prefix, watch.afterPosition);
      if (keys.length === 0) waiting.push(watch);
      else {
        const position = this.#position;
        watch.receive({ kind: "changed", keys, position });
      }
    }
  }

  #listKeys(
    prefix: string,
    afterPosition: number,
  ): { key: string; version: number }[] {
    const keys: { key: string; version: number }[] = [];
    for (const { key, version } of this.#objects.values()) {
      const position = this.#positions.get(key) ?? 0;
      if (!key.startsWith(prefix) || position <= afterPosition) continue;
      keys.push({ key, version });
    }
    return keys;
  }
}
