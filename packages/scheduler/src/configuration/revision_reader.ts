/**
 * Reads revisions from the platform until the node has caught up.
 *
 * The reader lists keys first. Otherwise, a node that was offline for longer
 * than revisions are kept would find the next key absent and treat an old
 * revision as the latest. The list shows the gap, which the reader skips by
 * loading a checkpoint.
 */
import {
  checkNever,
  type Effect,
  type PlatformRequest,
  type PlatformResponse,
  type Revision,
} from "@camphorlock/types";
import { MAX_PATCH_GAP, type RevisionHistory } from "./history.ts";
import {
  computeCheckpoint,
  decodeRecord,
  formatRevisionKey,
  parseRevisionKey,
  REVISION_PREFIX,
} from "./record.ts";
import type { PlatformCalls } from "./platform_calls.ts";

const LIST_LIMIT = 1_000;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 4_000;

type ReaderState =
  | { readonly kind: "idle" }
  | { readonly kind: "waiting"; readonly untilMs: number }
  | { readonly kind: "listing"; readonly after: Revision }
  | {
    readonly kind: "reading";
    readonly next: Revision;
    readonly head: Revision;
  };

/** Brings a node's history up to the platform's latest revision. */
export class RevisionReader {
  #state: ReaderState = { kind: "idle" };
  #needsNewRound = false;
  #failures = 0;
  #headSeenAtMs: number | undefined;
  #failedSinceMs: number | undefined;
  readonly #history: RevisionHistory;
  readonly #calls: PlatformCalls;

  constructor(history: RevisionHistory, calls: PlatformCalls) {
    this.#history = history;
    this.#calls = calls;
  }

  /** When a list last showed no revision later than the node's, if ever. */
  get headSeenAtMs(): number | undefined {
    return this.#headSeenAtMs;
  }

  /** Time since which all requests fail; `undefined` after a success. */
  get failedSinceMs(): number | undefined {
    return this.#failedSinceMs;
  }

  /** Whether no read is in progress or scheduled. */
  get isIdle(): boolean {
    return this.#state.kind === "idle";
  }

  /** Starts a round of reads, or schedules one after the current round. */
  start(nowMs: number): readonly Effect[] {
    if (this.#state.kind !== "idle") {
      this.#needsNewRound = true;
      return [];
    }
    return this.#list(this.#history.revision, nowMs);
  }

  /** Retries a failed round when the back-off has passed. */
  handleTick(nowMs: number): readonly Effect[] {
    if (this.#state.kind !== "waiting") return [];
    if (this.#state.untilMs > nowMs) return [];
    return this.#list(this.#history.revision, nowMs);
  }

  /** Handles the response to the reader's one request in flight. */
  handleResponse(response: PlatformResponse, nowMs: number): readonly Effect[] {
    if (response.kind === "failed") return this.#handleFailure(nowMs);
    this.#failures = 0;
    this.#failedSinceMs = undefined;
    switch (this.#state.kind) {
      case "listing":
        return this.#handleList(response, nowMs);
      case "reading":
        return this.#handleRecord(response, nowMs);
      case "idle":
      case "waiting":
        return [];
      default:
        return checkNever(this.#state);
    }
  }

  #handleFailure(nowMs: number): readonly Effect[] {
    const delayMs = MIN_RETRY_MS * 2 ** Math.min(this.#failures, 10);
    this.#failures += 1;
    this.#failedSinceMs ??= nowMs;
    const untilMs = nowMs + Math.min(delayMs, MAX_RETRY_MS);
    this.#state = { kind: "waiting", untilMs };
    return [];
  }

  #list(after: Revision, nowMs: number): readonly Effect[] {
    this.#needsNewRound = false;
    this.#state = { kind: "listing", after };
    return [this.#send({
      kind: "list",
      prefix: REVISION_PREFIX,
      after: formatRevisionKey(after),
      limit: LIST_LIMIT,
    }, nowMs)];
  }

  #handleList(response: PlatformResponse, nowMs: number): readonly Effect[] {
    if (response.kind !== "listed") return this.#handleFailure(nowMs);
    const revisions = response.keys.flatMap(({ key }) => {
      return parseRevisionKey(key) ?? [];
    });
    const last = revisions.at(-1);
    if (last === undefined) return this.#handleHead(nowMs);
    if (response.keys.length >= LIST_LIMIT) return this.#list(last, nowMs);
    return this.#read(last, nowMs);
  }

  #handleHead(nowMs: number): readonly Effect[] {
    const after = this.#state.kind === "listing" ? this.#state.after : 0;
    // A list whose last page was full is followed by an empty page.
    if (after > this.#history.revision) return this.#read(after, nowMs);
    this.#headSeenAtMs = nowMs;
    if (this.#needsNewRound) return this.#list(this.#history.revision, nowMs);
    this.#state = { kind: "idle" };
    return [];
  }

  #read(head: Revision, nowMs: number): readonly Effect[] {
    const current = this.#history.revision;
    const next = head - current <= MAX_PATCH_GAP
      ? current + 1
      : computeCheckpoint(head);
    return this.#get({ next, head }, nowMs);
  }

  #get(
    range: { readonly next: Revision; readonly head: Revision },
    nowMs: number,
  ): readonly Effect[] {
    const next = Math.max(range.next, this.#history.revision + 1);
    if (next > range.head) return this.#list(this.#history.revision, nowMs);
    this.#state = { kind: "reading", next, head: range.head };
    const key = formatRevisionKey(next);
    return [this.#send({ kind: "get", key }, nowMs)];
  }

  #handleRecord(response: PlatformResponse, nowMs: number): readonly Effect[] {
    if (response.kind !== "found") return this.#handleFailure(nowMs);
    const record = decodeRecord(response.object.value);
    if (record.isErr()) return this.#handleFailure(nowMs);
    if (this.#history.apply(record.value) === "gap") {
      return this.#handleFailure(nowMs);
    }
    const head = this.#state.kind === "reading" ? this.#state.head : 0;
    return this.#get({ next: record.value.revision + 1, head }, nowMs);
  }

  #send(request: PlatformRequest, nowMs: number): Effect {
    return this.#calls.send(request, { purpose: "reader", nowMs });
  }
}
