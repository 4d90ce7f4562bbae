/**
 * A platform object API in virtual time, with outages and lost answers, for
 * tests and measurements.
 */
import type {
  PlatformAnswer,
  PlatformObject,
  PlatformRequest,
} from "@camphorlock/types";

/** What happens to a request. */
export type PlatformFault = "none" | "refused" | "lost_before" | "lost_after";

/** Receives the answer of a request. */
export type AnswerReceiver = (answer: PlatformAnswer) => void;

interface Watch {
  readonly prefix: string;
  readonly afterPosition: number;
  readonly receive: AnswerReceiver;
}

/** Counts of calls by kind. */
export interface CallCounts {
  get: number;
  put: number;
  list: number;
  watch: number;
  delete: number;
}

/** The stored objects. */
export class FakePlatform {
  readonly counts: CallCounts = {
    get: 0,
    put: 0,
    list: 0,
    watch: 0,
    delete: 0,
  };
  conflicts = 0;
  /** Called with each write that takes effect. */
  onStored: (object: PlatformObject) => void = () => {};
  readonly #objects = new Map<string, PlatformObject>();
  readonly #positions = new Map<string, number>();
  #position = 0;
  #watches: Watch[] = [];

  /** Takes a request; the answer comes at once, but that of a watch. */
  receive(
    request: PlatformRequest,
    fault: PlatformFault,
    receive: AnswerReceiver,
  ): void {
    this.counts[request.kind] += 1;
    if (fault === "refused") receive({ kind: "failed", reason: "refused" });
    else if (fault === "lost_before") {
      receive({ kind: "failed", reason: "lost" });
    } else if (request.kind === "watch") this.#addWatch(request, receive);
    else {
      const answer = this.#answer(request);
      const isLost = fault === "lost_after";
      receive(isLost ? { kind: "failed", reason: "lost" } : answer);
    }
  }

  /** Ends one watch that has waited long, without a change. */
  endWatch(receive: AnswerReceiver): void {
    const ended = this.#watches.find((watch) => watch.receive === receive);
    if (ended === undefined) return;
    this.#watches = this.#watches.filter((watch) => watch !== ended);
    const position = this.#position;
    ended.receive({ kind: "changed", keys: [], position });
  }

  /** Ends every watch, as at an outage. */
  cancelWatches(): void {
    const watches = this.#watches;
    this.#watches = [];
    for (const { receive } of watches) {
      receive({ kind: "failed", reason: "lost" });
    }
  }

  /** Counts the watches that wait. */
  countWatches(): number {
    return this.#watches.length;
  }

  /** Lists the stored objects. */
  listObjects(): PlatformObject[] {
    return [...this.#objects.values()];
  }

  #answer(
    request: Exclude<PlatformRequest, { kind: "watch" }>,
  ): PlatformAnswer {
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
  ): PlatformAnswer {
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
    this.#answerWatches();
    return { kind: "stored", key, version: version + 1 };
  }

  #addWatch(
    request: Extract<PlatformRequest, { kind: "watch" }>,
    receive: AnswerReceiver,
  ): void {
    const { prefix, afterPosition } = request;
    this.#watches.push({ prefix, afterPosition, receive });
    this.#answerWatches();
  }

  #answerWatches(): void {
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
