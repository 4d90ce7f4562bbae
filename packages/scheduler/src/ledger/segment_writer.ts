/**
 * Writes one segment at a time to the next name of a shard's log.
 *
 * A lost answer or a conflict is settled by reading the name back: it holds the
 * segment itself, a later one of somebody else, or still the old one.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformAnswer,
  type PlatformRequest,
  type PlatformRole,
  type PlatformToken,
  type ShardId,
  type WriteCondition,
} from "@camphorlock/types";
import { computeTokenNumber } from "./request_number.ts";
import {
  decodeSegment,
  type EncodedSegment,
  encodeSegment,
  formatSegmentKey,
  type Segment,
} from "./segment.ts";

/** The options of a segment writer. */
export interface SegmentWriterOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly role: PlatformRole;
  readonly nextSegment: number;
  readonly ringSize: number;
  readonly platformTimeoutMs: number;
}

/** How the write of a segment ended. */
export type SegmentOutcome =
  | { readonly kind: "stored"; readonly segment: EncodedSegment }
  | {
    /** Somebody else wrote a segment to the name first. */
    readonly kind: "taken";
    readonly segment: Segment;
  };

/** The request that is to be sent next, or that is under way. */
type WriterPhase =
  | { readonly kind: "idle" }
  | { readonly kind: "needs_read" }
  | { readonly kind: "needs_write" }
  | {
    readonly kind: "waiting";
    readonly request: "get" | "put";
    readonly number: number;
    readonly sentAtMs: number;
  };

/** Puts the segments of one writer in their order. */
export class SegmentWriter {
  readonly #options: SegmentWriterOptions;
  /** Versions of the names that this writer has written or read. */
  readonly #versions = new Map<string, number>();
  #nextSegment: number;
  #counter = 0;
  #phase: WriterPhase = { kind: "idle" };
  #segment: EncodedSegment | undefined;
  #value: Uint8Array = new Uint8Array();

  constructor(options: SegmentWriterOptions) {
    this.#options = options;
    this.#nextSegment = options.nextSegment;
  }

  /** The number of the segment that is written or will be. */
  get nextSegment(): number {
    return this.#nextSegment;
  }

  /** Whether a segment was given that isn't settled. */
  get isBusy(): boolean {
    return this.#phase.kind !== "idle";
  }

  /** The kind of request that is to be sent, if any. */
  get neededRequest(): "get" | "put" | undefined {
    if (this.#phase.kind === "needs_read") return "get";
    return this.#phase.kind === "needs_write" ? "put" : undefined;
  }

  /** Notes the version of a name that was read elsewhere. */
  setVersion(number: number, version: number): void {
    this.#versions.set(this.#formatKey(number), version);
  }

  /** Goes on after a segment of somebody else. */
  setNextSegment(number: number): void {
    this.#nextSegment = number;
  }

  /** Takes the segment to be written; nothing is sent yet. */
  start(segment: Omit<EncodedSegment, "number">): void {
    this.#segment = { ...segment, number: this.#nextSegment };
    this.#value = encodeSegment(this.#segment);
    const known = this.#findCondition() !== undefined;
    this.#phase = { kind: known ? "needs_write" : "needs_read" };
  }

  /** Sends the request that is needed, if any. */
  sendNeeded(nowMs: number): Effect[] {
    const needed = this.neededRequest;
    if (needed === undefined) return [];
    this.#counter += 1;
    const number = computeTokenNumber(this.#options.epoch, {
      stream: "segment",
      counter: this.#counter,
    });
    this.#phase = { kind: "waiting", request: needed, number, sentAtMs: nowMs };
    const { role, shard } = this.#options;
    const token: PlatformToken = { role, shard, number };
    return [{
      kind: "call_platform",
      token,
      request: this.#createRequest(needed),
    }];
  }

  /** Treats a request without an answer as lost. */
  checkTimeout(nowMs: number): boolean {
    if (this.#phase.kind !== "waiting") return false;
    const silentMs = nowMs - this.#phase.sentAtMs;
    if (silentMs < this.#options.platformTimeoutMs) return false;
    this.#phase = { kind: "needs_read" };
    return true;
  }

  /** Whether the token names the request under way. */
  isWaitingFor(token: PlatformToken): boolean {
    return this.#phase.kind === "waiting" &&
      this.#phase.number === token.number &&
      this.#options.role === token.role;
  }

  /** Settles the request under way; `undefined` while the write isn't. */
  handle(answer: PlatformAnswer): SegmentOutcome | undefined {
    if (this.#phase.kind !== "waiting") return undefined;
    const { request } = this.#phase;
    switch (answer.kind) {
      case "stored":
        return this.#settleStored(answer.version);
      case "found":
        return this.#settleFound(answer.object.value, answer.object.version);
      case "conflict":
        this.#phase = { kind: "needs_read" };
        return undefined;
      case "absent":
        this.#versions.set(this.#formatKey(this.#nextSegment), 0);
        this.#phase = { kind: "needs_write" };
        return undefined;
      case "failed":
        this.#phase = request === "put" && answer.reason !== "lost"
          ? { kind: "needs_write" }
          : { kind: "needs_read" };
        return undefined;
      case "deleted":
      case "listed":
      case "changed":
        return undefined;
      default:
        return checkNever(answer);
    }
  }

  #settleStored(version: number): SegmentOutcome | undefined {
    if (this.#segment === undefined) return undefined;
    this.#versions.set(this.#formatKey(this.#nextSegment), version);
    this.#phase = { kind: "idle" };
    this.#nextSegment += 1;
    return { kind: "stored", segment: this.#segment };
  }

  #settleFound(value: Uint8Array, version: number): SegmentOutcome | undefined {
    const found = decodeSegment(value);
    if (found.isErr()) {
      this.#phase = { kind: "needs_read" };
      return undefined;
    }
    const segment = found.value;
    if (segment.number < this.#nextSegment) {
      this.#versions.set(this.#formatKey(this.#nextSegment), version);
      this.#phase = { kind: "needs_write" };
      return undefined;
    }
    const isOwn = segment.epoch === this.#options.epoch &&
      segment.number === this.#nextSegment;
    if (isOwn) return this.#settleStored(version);
    this.#phase = { kind: "idle" };
    return { kind: "taken", segment };
  }

  #createRequest(kind: "get" | "put"): PlatformRequest {
    const key = this.#formatKey(this.#nextSegment);
    if (kind === "get") return { kind, key };
    const condition = this.#findCondition() ?? { kind: "absent" };
    return { kind, key, value: this.#value, condition };
  }

  /** The first lap finds every name absent; later ones know the version. */
  #findCondition(): WriteCondition | undefined {
    const version = this.#versions.get(this.#formatKey(this.#nextSegment));
    if (version !== undefined && version > 0) {
      return { kind: "version", version };
    }
    const isAbsent = version === 0 ||
      this.#nextSegment < this.#options.ringSize;
    return isAbsent ? { kind: "absent" } : undefined;
  }

  #formatKey(number: number): string {
    return formatSegmentKey(
      this.#options.shard,
      number,
      this.#options.ringSize,
    );
  }
}
