/**
 * Writes one segment at a time to the next slot of a shard's log.
 *
 * After a lost response or a conflict, the writer reads the slot back. The slot
 * then holds this segment, another writer's segment, or still the old one.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformRequest,
  type PlatformResponse,
  type PlatformRole,
  type PlatformToken,
  type ShardId,
  type WriteCondition,
} from "@camphorlock/types";
import { computeRequestNumber } from "./request_number.ts";
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

/** The outcome of a segment's write. */
export type SegmentOutcome =
  | { readonly kind: "stored"; readonly segment: EncodedSegment }
  | {
    /** Another writer wrote a segment to the slot first. */
    readonly kind: "taken";
    readonly segment: Segment;
  };

/** The request to send next, or the one in flight. */
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

/** Writes the segments of one owner or recovery in order. */
export class SegmentWriter {
  readonly #options: SegmentWriterOptions;
  /** Versions of the slots that this writer has written or read. */
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

  /** The number of the current or next segment. */
  get nextSegment(): number {
    return this.#nextSegment;
  }

  /** Whether the current segment isn't settled yet. */
  get isBusy(): boolean {
    return this.#phase.kind !== "idle";
  }

  /** The kind of the request to send next, if any. */
  get nextRequest(): "get" | "put" | undefined {
    if (this.#phase.kind === "needs_read") return "get";
    return this.#phase.kind === "needs_write" ? "put" : undefined;
  }

  /** Sets the version of a slot that was read elsewhere. */
  setVersion(number: number, version: number): void {
    this.#versions.set(this.#formatKey(number), version);
  }

  /** Continues after a segment of another writer. */
  setNextSegment(number: number): void {
    this.#nextSegment = number;
  }

  /** Sets the segment to write; nothing is sent yet. */
  start(segment: Omit<EncodedSegment, "number">): void {
    this.#segment = { ...segment, number: this.#nextSegment };
    this.#value = encodeSegment(this.#segment);
    const hasCondition = this.#findCondition() !== undefined;
    this.#phase = { kind: hasCondition ? "needs_write" : "needs_read" };
  }

  /** Sends the next request, if any. */
  sendNext(nowMs: number): Effect[] {
    const kind = this.nextRequest;
    if (kind === undefined) return [];
    this.#counter += 1;
    const number = computeRequestNumber(this.#options.epoch, {
      stream: "segment",
      counter: this.#counter,
    });
    this.#phase = { kind: "waiting", request: kind, number, sentAtMs: nowMs };
    const { role, shard } = this.#options;
    const token: PlatformToken = { role, shard, number };
    return [{
      kind: "call_platform",
      token,
      request: this.#createRequest(kind),
    }];
  }

  /** Treats a request that timed out as lost; returns whether one did. */
  checkTimeout(nowMs: number): boolean {
    if (this.#phase.kind !== "waiting") return false;
    const elapsedMs = nowMs - this.#phase.sentAtMs;
    if (elapsedMs < this.#options.platformTimeoutMs) return false;
    this.#phase = { kind: "needs_read" };
    return true;
  }

  /** Whether the token is that of the request in flight. */
  isWaitingFor(token: PlatformToken): boolean {
    return this.#phase.kind === "waiting" &&
      this.#phase.number === token.number &&
      this.#options.role === token.role;
  }

  /** Applies a response; returns `undefined` until the write is settled. */
  handle(response: PlatformResponse): SegmentOutcome | undefined {
    if (this.#phase.kind !== "waiting") return undefined;
    const { request } = this.#phase;
    switch (response.kind) {
      case "stored":
        return this.#settleStored(response.version);
      case "found":
        return this.#settleFound(
          response.object.value,
          response.object.version,
        );
      case "conflict":
        this.#phase = { kind: "needs_read" };
        return undefined;
      case "absent":
        this.#versions.set(this.#formatKey(this.#nextSegment), 0);
        this.#phase = { kind: "needs_write" };
        return undefined;
      case "failed":
        this.#phase = request === "put" && response.reason !== "lost"
          ? { kind: "needs_write" }
          : { kind: "needs_read" };
        return undefined;
      case "deleted":
      case "listed":
      case "changed":
        return undefined;
      default:
        return checkNever(response);
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

  /** Slots are absent on the first lap; later laps need the slot's version. */
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
