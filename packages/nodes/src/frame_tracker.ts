/**
 * The sequence numbers and acknowledgements of one stream, and the timeout
 * after which the stream counts as silent.
 */
import type { PeerSettings } from "./settings.ts";

interface SentFrame {
  readonly number: number;
  sentAtMs: number;
}

/** Tracks the sequence numbers of one stream in both directions. */
export class FrameTracker {
  readonly #settings: PeerSettings;
  #sent = 0;
  #received = 0;
  #acknowledged = 0;
  #ackDueAtMs: number | undefined;
  #unacknowledged: SentFrame[] = [];
  #lastSentMs: number;

  constructor(settings: PeerSettings, nowMs: number) {
    this.#settings = settings;
    this.#lastSentMs = nowMs;
  }

  /** Assigns the number of a frame that requires an acknowledgement. */
  takeNumber(nowMs: number): number {
    this.#sent += 1;
    this.#lastSentMs = nowMs;
    this.#unacknowledged.push({ number: this.#sent, sentAtMs: nowMs });
    return this.#sent;
  }

  /** Returns the acknowledgement to send with a frame, and marks it as sent. */
  takeAcknowledgement(): number {
    this.#ackDueAtMs = undefined;
    this.#acknowledged = this.#received;
    return this.#received;
  }

  /**
   * Applies the numbers of a received frame. Returns whether they are valid:
   * numbers must be consecutive, and only sent frames can be acknowledged.
   */
  applyReceived(
    frame: { number: number; acknowledged: number },
    nowMs: number,
  ): boolean {
    if (frame.acknowledged > this.#sent) return false;
    const first = this.#unacknowledged.findIndex((each) =>
      each.number > frame.acknowledged
    );
    if (first < 0) this.#unacknowledged = [];
    else if (first > 0) this.#unacknowledged.splice(0, first);
    if (frame.number === 0) return true;
    if (frame.number !== this.#received + 1) return false;
    this.#received = frame.number;
    this.#ackDueAtMs ??= nowMs + this.#settings.ackDelayMs;
    return true;
  }

  /** Whether an acknowledgement is due and needs a frame of its own. */
  needsAcknowledgement(nowMs: number): boolean {
    return this.#ackDueAtMs !== undefined && nowMs >= this.#ackDueAtMs &&
      this.#received > this.#acknowledged;
  }

  /** Whether a frame has been unacknowledged for `silenceTimeoutMs`. */
  isSilent(nowMs: number): boolean {
    const [oldest] = this.#unacknowledged;
    if (oldest === undefined) return false;
    return nowMs - oldest.sentAtMs >= this.#settings.silenceTimeoutMs;
  }

  /** Whether a heartbeat is due. */
  needsHeartbeat(periodMs: number, nowMs: number): boolean {
    return nowMs - this.#lastSentMs >= periodMs;
  }

  /** Extends the acknowledgement deadlines by a pause of this process. */
  handlePause(pauseMs: number): void {
    for (const frame of this.#unacknowledged) frame.sentAtMs += pauseMs;
  }

  /** Returns the number of frames that the other side hasn't acknowledged. */
  countUnacknowledged(): number {
    return this.#unacknowledged.length;
  }
}
