/**
 * The messages that wait to be sent to one peer, bounded in bytes and time.
 */
import type { PeerMessage } from "@camphorlock/types";
import type { PeerSettings } from "./settings.ts";

/**
 * What became of a message. `congested` asks the sender to hold back text
 * until the peer is drained; the message itself is queued.
 */
export type SendOutcome = "queued" | "congested" | "dropped";

interface QueuedMessage {
  readonly bytes: Buffer;
  readonly queuedAtMs: number;
}

/** Kinds whose next sending replaces this one, so that a loss does no harm. */
const REPLACEABLE_KINDS: ReadonlySet<PeerMessage["kind"]> = new Set([
  "heartbeat",
  "heartbeat_ack",
  "probe_request",
  "probe_result",
  "assignment_news",
  "target_loads",
  "slot_renewed",
  "configuration_request",
  "configuration_offer",
]);

/** The queue of one peer. */
export class SendQueue {
  readonly #settings: PeerSettings;
  #messages: QueuedMessage[] = [];
  #bytes = 0;
  #isCongested = false;

  constructor(settings: PeerSettings) {
    this.#settings = settings;
  }

  /** Adds an encoded message, or drops it by its kind when the queue is long. */
  add(
    kind: PeerMessage["kind"],
    message: { bytes: Buffer; nowMs: number },
  ): SendOutcome {
    const { bytes, nowMs } = message;
    const { queueHighBytes, queueLimitBytes, messageBytes } = this.#settings;
    if (bytes.length > messageBytes) return "dropped";
    const isHigh = this.#bytes + bytes.length > queueHighBytes;
    if (isHigh && REPLACEABLE_KINDS.has(kind)) return "dropped";
    const isFirst = this.#messages.length === 0;
    if (!isFirst && this.#bytes + bytes.length > queueLimitBytes) {
      return "dropped";
    }
    this.#messages.push({ bytes, queuedAtMs: nowMs });
    this.#bytes += bytes.length;
    this.#isCongested ||= isHigh;
    return isHigh ? "congested" : "queued";
  }

  /** Takes the messages of one frame, in order. */
  takeFrame(): Buffer[] {
    const { frameBytes } = this.#settings;
    let count = 0;
    let size = 0;
    for (const { bytes } of this.#messages) {
      if (count > 0 && size + bytes.length > frameBytes) break;
      count += 1;
      size += bytes.length;
    }
    this.#bytes -= size;
    return this.#messages.splice(0, count).map((each) => each.bytes);
  }

  /** Whether the queue was congested and has emptied; says so once. */
  takeDrained(): boolean {
    if (!this.#isCongested) return false;
    if (this.#bytes > this.#settings.queueLowBytes) return false;
    this.#isCongested = false;
    return true;
  }

  /** Drops what has waited too long; returns the number. */
  removeExpired(nowMs: number): number {
    const oldestMs = nowMs - this.#settings.queueLifeMs;
    const first = this.#messages.findIndex((each) =>
      each.queuedAtMs > oldestMs
    );
    const count = first < 0 ? this.#messages.length : first;
    if (count === 0) return 0;
    const expired = this.#messages.splice(0, count);
    for (const { bytes } of expired) this.#bytes -= bytes.length;
    return expired.length;
  }

  /** Whether nothing waits. */
  isEmpty(): boolean {
    return this.#messages.length === 0;
  }
}
