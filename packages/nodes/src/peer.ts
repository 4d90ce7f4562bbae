/**
 * Another node, with its send queue and streams.
 *
 * Usually there's one stream, dialed by the side that sends first. If both
 * sides dial at the same time, there are two streams: each side sends on the
 * one that it dialed, and a stream that becomes idle is closed.
 */
import type { VmId } from "@camphorlock/types";
import type { PeerStream, StreamEnd } from "./peer_stream.ts";
import { SendQueue } from "./send_queue.ts";
import type { PeerSettings } from "./settings.ts";

/** The options of a peer. */
export interface PeerOptions {
  readonly vmId: VmId;
  readonly settings: PeerSettings;
  /** Dials a new connection. */
  readonly dial: (vmId: VmId, address: string) => PeerStream;
  /** Returns a random number in [0, 1), for the jitter of the back-off. */
  readonly readRandom: () => number;
}

const MAX_DOUBLINGS = 8;

/** The connection state of another node. */
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

  /** Records a message to send and the current address of the node. */
  recordUse(address: string, nowMs: number): void {
    this.#lastUsedMs = nowMs;
    if (address === this.#address) return;
    this.#address = address;
    this.#dialAtMs = 0;
  }

  /** Replaces the stream that the other node dialed last. */
  setAccepted(stream: PeerStream): void {
    const previous = this.#accepted;
    this.#accepted = stream;
    previous?.close("replaced by a newer stream");
  }

  /** Records that the stream dialed by this node is open. */
  recordOpen(): void {
    this.#failures = 0;
  }

  /** Records the end of a stream and sets the back-off before the next dial. */
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
    const backoffMs = Math.min(
      reconnectBaseMs * 2 ** doublings,
      reconnectLimitMs,
    );
    const jitter = 0.5 + this.#options.readRandom() / 2;
    this.#failures += 1;
    this.#dialAtMs = end.nowMs + backoffMs * jitter;
  }

  /** Sends the queued messages, or dials if there's no open stream. */
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

  /** Runs the periodic work of the streams and the queue. */
  handleTick(nowMs: number): void {
    this.#dialed?.handleTick(nowMs);
    this.#accepted?.handleTick(nowMs);
    if (!this.queue.isEmpty() || this.#isInUse(nowMs)) this.sendQueued(nowMs);
  }

  /** Extends the deadlines of the streams by a pause of this process. */
  handlePause(pauseMs: number): void {
    this.#dialed?.handlePause(pauseMs);
    this.#accepted?.handlePause(pauseMs);
  }

  /** Whether the peer has no streams, no messages and no recent use. */
  isEvictable(nowMs: number): boolean {
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
      nowMs - this.#lastUsedMs < this.#options.settings.recentUseMs;
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
