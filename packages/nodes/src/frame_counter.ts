/**
 * The numbers and acknowledgements of one stream, and when it counts as
 * silent.
 */
import type { PeerSettings } from "./settings.ts";

interface SentFrame {
  readonly number: number;
  sentAtMs: number;
}

/** Counts the frames of one stream in both directions. */
export class FrameCounter {
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

  /** Takes the number of a frame that wants an acknowledgement. */
  takeNumber(nowMs: number): number {
    this.#sent += 1;
    this.#lastSentMs = nowMs;
    this.#unacknowledged.push({ number: this.#sent, sentAtMs: nowMs });
    return this.#sent;
  }

  /** Takes the acknowledgement that goes with a frame. */
  takeAcknowledgement(): number {
    this.#ackDueAtMs = undefined;
    this.#acknowledged = this.#received;
    return this.#received;
  }

  /**
   * Applies the numbers of a received frame. Returns whether they can be:
   * numbers follow each other, and only sent frames are acknowledged.
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

  /** Whether an acknowledgement has to be sent by itself. */
  needsAcknowledgement(nowMs: number): boolean {
    return this.#ackDueAtMs !== undefined && nowMs >= this.#ackDueAtMs &&
      this.#received > this.#acknowledged;
  }

  /** Whether the other side has left a frame unacknowledged for too long. */
  isSilent(nowMs: number): boolean {
    const [oldest] = this.#unacknowledged;
    if (oldest === undefined) return false;
    return nowMs - oldest.sentAtMs >= this.#settings.silenceTimeoutMs;
  }

  /** Whether a heartbeat is due. */
  needsHeartbeat(periodMs: number, nowMs: number): boolean {
    return nowMs - this.#lastSentMs >= periodMs;
  }

  /** Leaves out a time in which this process itself was paused. */
  handlePause(pauseMs: number): void {
    for (const frame of this.#unacknowledged) frame.sentAtMs += pauseMs;
  }

  /** Counts the frames that the other side hasn't acknowledged. */
  countUnacknowledged(): number {
    return this.#unacknowledged.length;
  }
}
