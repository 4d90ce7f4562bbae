/**
 * Another node: its queue and the streams to it.
 *
 * Usually there's one stream, dialed by the side that had something to say
 * first. When both dial at once there are two; each side then sends on its
 * own, and the one that falls idle is closed.
 */
import type { VmId } from "@camphorlock/types";
import type { PeerStream, StreamEnd } from "./peer_stream.ts";
import { SendQueue } from "./send_queue.ts";
import type { PeerSettings } from "./settings.ts";

/** How a peer gets its streams. */
export interface PeerOptions {
  readonly vmId: VmId;
  readonly settings: PeerSettings;
  /** Dials a fresh connection. */
  readonly dial: (vmId: VmId, address: string) => PeerStream;
  /** Gives a fraction from zero to below one, for the jitter of waits. */
  readonly readFraction: () => number;
}

const MAX_DOUBLINGS = 8;

/** The state that this node holds for another. */
export class Peer {
  readonly queue: SendQueue;
  readonly #options: PeerOptions;
  #address = "";
  #dialed: PeerStream | undefined;
  #accepted: PeerStream | undefined;
  #failures = 0;
  #dialAtMs = 0;
  #lastUsedMs = 0;

  constructor(options: PeerOptions) {
    this.#options = options;
    this.queue = new SendQueue(options.settings);
  }

  /** Notes a message to be sent, and where the node is. */
  recordUse(address: string, nowMs: number): void {
    this.#lastUsedMs = nowMs;
    if (address === this.#address) return;
    this.#address = address;
    this.#dialAtMs = 0;
  }

  /** Takes a stream that the other node dialed in place of its last one. */
  setAccepted(stream: PeerStream): void {
    const former = this.#accepted;
    this.#accepted = stream;
    former?.close("replaced by a later stream");
  }

  /** Notes that the stream dialed by this node is open. */
  recordOpen(): void {
    this.#failures = 0;
  }

  /** Notes that a stream ended; a fresh one may be dialed after a wait. */
  recordEnd(
    stream: PeerStream,
    end: { reason: StreamEnd["reason"]; nowMs: number },
  ): void {
    if (stream === this.#accepted) this.#accepted = undefined;
    if (stream !== this.#dialed) return;
    this.#dialed = undefined;
    const { reconnectBaseMs, reconnectLimitMs } = this.#options.settings;
    const wasOpen = end.reason !== "not_opened" && end.reason !== "refused";
    if (wasOpen) {
      this.#dialAtMs = end.nowMs;
      return;
    }
    const doublings = Math.min(this.#failures, MAX_DOUBLINGS);
    const longestMs = Math.min(
      reconnectBaseMs * 2 ** doublings,
      reconnectLimitMs,
    );
    const jitter = 0.5 + this.#options.readFraction() / 2;
    this.#failures += 1;
    this.#dialAtMs = end.nowMs + longestMs * jitter;
  }

  /** Sends what waits, or dials when there's no stream. */
  sendQueued(nowMs: number): void {
    const stream = this.#chooseStream();
    if (stream === undefined) {
      this.#connectIfDue(nowMs);
      return;
    }
    while (stream.canSend() && !this.queue.isEmpty()) {
      stream.sendMessages(this.queue.takeFrame());
    }
  }

  /** Does what is due at this time. */
  handleTick(nowMs: number): void {
    this.#dialed?.handleTick(nowMs);
    this.#accepted?.handleTick(nowMs);
    if (!this.queue.isEmpty() || this.#isInUse(nowMs)) this.sendQueued(nowMs);
  }

  /** Leaves out a time in which this process itself was paused. */
  handlePause(pauseMs: number): void {
    this.#dialed?.handlePause(pauseMs);
    this.#accepted?.handlePause(pauseMs);
  }

  /** Whether nothing is held for the node any more. */
  isForgettable(nowMs: number): boolean {
    return this.#dialed === undefined && this.#accepted === undefined &&
      this.queue.isEmpty() && !this.#isInUse(nowMs);
  }

  /** Closes the streams. */
  close(detail: string): void {
    this.#dialed?.close(detail);
    this.#accepted?.close(detail);
  }

  #isInUse(nowMs: number): boolean {
    return this.#address !== "" &&
      nowMs - this.#lastUsedMs < this.#options.settings.inUseMs;
  }

  #chooseStream(): PeerStream | undefined {
    if (this.#dialed?.isOpen() === true) return this.#dialed;
    if (this.#accepted?.isOpen() === true) return this.#accepted;
    return undefined;
  }

  #connectIfDue(nowMs: number): void {
    if (this.#dialed !== undefined || nowMs < this.#dialAtMs) return;
    if (this.#address === "") return;
    const { vmId, dial } = this.#options;
    this.#dialed = dial(vmId, this.#address);
  }
}
