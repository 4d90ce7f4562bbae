/**
 * Writes one snapshot at a time, then deletes the older ones.
 *
 * Every key is written once by one process, so that a conflict means that an
 * earlier attempt took effect.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformRequest,
  type PlatformResponse,
  type PlatformToken,
  type ShardId,
} from "@camphorlock/types";
import { computeRequestNumber } from "./request_number.ts";
import {
  encodeHead,
  formatHeadKey,
  formatHeadPrefix,
  formatPartKey,
  formatPartPrefix,
  isOlder,
  type SnapshotHead,
} from "./snapshot.ts";

/** The options of a snapshot writer. */
export interface SnapshotWriterOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly platformTimeoutMs: number;
}

/** A remaining step of the snapshot or of the deletion of older ones. */
type SnapshotTask =
  | { readonly kind: "put_part"; readonly part: number }
  | { readonly kind: "put_head" }
  | { readonly kind: "list"; readonly prefix: string; readonly after?: string }
  | { readonly kind: "delete"; readonly key: string };

interface PendingRequest {
  readonly number: number;
  readonly sentAtMs: number;
}

const LIST_LIMIT = 500;

/** Writes the snapshots of one owned shard. */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;
  #head: SnapshotHead | undefined;
  #parts: readonly Uint8Array[] = [];
  #tasks: SnapshotTask[] = [];
  #pending: PendingRequest | undefined;
  #counter = 0;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
  }

  /** Whether a snapshot or the deletion of older ones is in progress. */
  get isBusy(): boolean {
    return this.#tasks.length > 0;
  }

  /** The kind of the request to send next, if any. */
  get nextRequest(): "read" | "write" | undefined {
    const task = this.#tasks[0];
    if (task === undefined || this.#pending !== undefined) return undefined;
    return task.kind === "list" ? "read" : "write";
  }

  /** Sets the snapshot to write; nothing is sent yet. */
  start(head: SnapshotHead, parts: readonly Uint8Array[]): void {
    this.#head = head;
    this.#parts = parts;
    this.#tasks = parts.map((_, part) => ({ kind: "put_part", part }));
    this.#tasks.push({ kind: "put_head" });
  }

  /** Sends the next request, if any. */
  sendNext(nowMs: number): Effect[] {
    const task = this.#tasks[0];
    const head = this.#head;
    if (task === undefined || head === undefined) return [];
    if (this.#pending !== undefined) return [];
    this.#counter += 1;
    const token: PlatformToken = {
      role: "ledger",
      shard: this.#options.shard,
      number: computeRequestNumber(this.#options.epoch, {
        stream: "snapshot",
        counter: this.#counter,
      }),
    };
    this.#pending = { number: token.number, sentAtMs: nowMs };
    const request = this.#createRequest(task, head);
    return [{ kind: "call_platform", token, request }];
  }

  /** Whether the token is that of the request in flight. */
  isWaitingFor(token: PlatformToken): boolean {
    return this.#pending?.number === token.number;
  }

  /** Treats a request that timed out as lost. */
  checkTimeout(nowMs: number): void {
    const sentAtMs = this.#pending?.sentAtMs ?? nowMs;
    if (nowMs - sentAtMs < this.#options.platformTimeoutMs) return;
    this.#pending = undefined;
  }

  /** Applies a response; returns the head once the snapshot is complete. */
  handle(response: PlatformResponse): SnapshotHead | undefined {
    const task = this.#tasks[0];
    this.#pending = undefined;
    if (task === undefined) return undefined;
    switch (response.kind) {
      case "failed":
        return undefined;
      case "listed":
        this.#applyListed(task, response.keys.map((each) => each.key));
        return undefined;
      case "stored":
      case "conflict":
      case "absent":
      case "deleted":
        return this.#endTask(task);
      case "found":
      case "changed":
        return undefined;
      default:
        return checkNever(response);
    }
  }

  #endTask(task: SnapshotTask): SnapshotHead | undefined {
    this.#tasks.shift();
    if (task.kind !== "put_head") return undefined;
    this.#parts = [];
    const { shard } = this.#options;
    this.#tasks.push({ kind: "list", prefix: formatHeadPrefix(shard) });
    this.#tasks.push({ kind: "list", prefix: formatPartPrefix(shard) });
    return this.#head;
  }

  #applyListed(task: SnapshotTask, keys: readonly string[]): void {
    if (task.kind !== "list") return;
    this.#tasks.shift();
    const head = this.#head;
    if (head === undefined) return;
    const older = keys.filter((key) => isOlder(key, head));
    const deletions = older.map((key): SnapshotTask => ({
      kind: "delete",
      key,
    }));
    const after = keys.at(-1);
    if (keys.length === LIST_LIMIT && after !== undefined) {
      deletions.push({ kind: "list", prefix: task.prefix, after });
    }
    this.#tasks.unshift(...deletions);
  }

  #createRequest(task: SnapshotTask, head: SnapshotHead): PlatformRequest {
    const { shard } = this.#options;
    switch (task.kind) {
      case "put_part":
        return createPut(
          formatPartKey(shard, { ...head, part: task.part }),
          this.#parts[task.part] ?? new Uint8Array(),
        );
      case "put_head":
        return createPut(formatHeadKey(shard, head), encodeHead(head));
      case "list":
        return { ...task, limit: LIST_LIMIT };
      case "delete":
        return { ...task, condition: { kind: "any" } };
      default:
        return checkNever(task);
    }
  }
}

function createPut(key: string, value: Uint8Array): PlatformRequest {
  return { kind: "put", key, value, condition: { kind: "absent" } };
}
