/**
 * The send queue of one peer, bounded in bytes and waiting time.
 */
import type { PeerMessage } from "@camphorlock/types";
import type { PeerSettings } from "./settings.ts";

/**
 * The outcome of queueing a message. `congested` means that the message is
 * queued, and that the sender should send no text until the queue drains.
 */
export type SendOutcome = "queued" | "congested" | "dropped";

interface QueuedMessage {
  readonly bytes: Buffer;
  readonly queuedAtMs: number;
}

/** Kinds that the next message of the kind supersedes; safe to drop. */
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

  /** Adds an encoded message, or drops it by its kind and the limits. */
  add(
    kind: PeerMessage["kind"],
    message: { bytes: Buffer; nowMs: number },
  ): SendOutcome {
    const { bytes, nowMs } = message;
    const { queueHighWatermarkBytes, queueLimitBytes, messageBytes } =
      this.#settings;
    if (bytes.length > messageBytes) return "dropped";
    const isAboveWatermark =
      this.#bytes + bytes.length > queueHighWatermarkBytes;
    if (isAboveWatermark && REPLACEABLE_KINDS.has(kind)) return "dropped";
    const isFirst = this.#messages.length === 0;
    if (!isFirst && this.#bytes + bytes.length > queueLimitBytes) {
      return "dropped";
    }
    this.#messages.push({ bytes, queuedAtMs: nowMs });
    this.#bytes += bytes.length;
    this.#isCongested ||= isAboveWatermark;
    return isAboveWatermark ? "congested" : "queued";
  }

  /** Removes and returns the messages of the next frame, in order. */
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

  /** Returns true once after a congested queue has drained. */
  takeDrained(): boolean {
    if (!this.#isCongested) return false;
    if (this.#bytes > this.#settings.queueLowWatermarkBytes) return false;
    this.#isCongested = false;
    return true;
  }

  /** Drops the messages that waited too long, and returns their number. */
  removeExpired(nowMs: number): number {
    const oldestMs = nowMs - this.#settings.queueTimeoutMs;
    const first = this.#messages.findIndex((each) =>
      each.queuedAtMs > oldestMs
    );
    const count = first < 0 ? this.#messages.length : first;
    if (count === 0) return 0;
    const expired = this.#messages.splice(0, count);
    for (const { bytes } of expired) this.#bytes -= bytes.length;
    return expired.length;
  }

  /** Whether the queue is empty. */
  isEmpty(): boolean {
    return this.#messages.length === 0;
  }
}
