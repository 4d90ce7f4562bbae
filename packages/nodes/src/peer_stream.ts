/**
 * One stream between this node and another, dialed by either side.
 *
 * The first frames are a handshake: they negotiate the protocol version, and
 * each side checks that it reached the intended node. Later frames carry
 * messages, acknowledgements and heartbeats. If a frame isn't acknowledged in
 * time, its sender closes the stream as silent.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { PeerMessage, VmId } from "@camphorlock/types";
import type { Frame, Opening } from "./generated/peers.ts";
import { FrameTracker } from "./frame_tracker.ts";
import { decodeMessage } from "./message_codec.ts";
import type { PeerSettings } from "./settings.ts";
import type { StreamCall } from "./stream_call.ts";
import { chooseVersion } from "./versions.ts";

/** The process at one end of a stream. */
export interface PeerIdentity {
  readonly vmId: VmId;
  readonly incarnation: number;
}

/** Why a stream ended. */
export interface StreamEnd {
  readonly reason:
    | "closed"
    | "broken"
    | "silent"
    | "not_opened"
    | "idle"
    | "refused";
  readonly detail: string;
  /** Number of sent frames that weren't acknowledged and may be lost. */
  readonly unacknowledged: number;
}

/** The callbacks of a stream. */
export interface PeerStreamHandlers {
  readonly onOpen: (peer: PeerIdentity) => void;
  readonly onMessage: (message: PeerMessage) => void;
  /** A message of a kind or variant of a later release was dropped. */
  readonly onUnknownKind: (kind: string) => void;
  /** A malformed message was dropped. */
  readonly onMalformed: (failure: Failure) => void;
  readonly onWritable: () => void;
  readonly onEnd: (end: StreamEnd) => void;
}

/** The options of a stream. */
export interface PeerStreamOptions {
  readonly call: StreamCall;
  readonly self: PeerIdentity;
  /** The dialed node; absent on an accepted stream. */
  readonly dialed?: VmId;
  readonly settings: PeerSettings;
  readonly handlers: PeerStreamHandlers;
  readonly readNowMs: () => number;
}

/** A stream to another node. */
export class PeerStream {
  readonly #options: PeerStreamOptions;
  readonly #tracker: FrameTracker;
  readonly #startedAtMs: number;
  #state: "opening" | "open" | "ended" = "opening";
  #version = 0;
  #peer: PeerIdentity | undefined;
  #isBlocked = false;
  #lastUsedMs: number;

  constructor(options: PeerStreamOptions) {
    const nowMs = options.readNowMs();
    this.#options = options;
    this.#tracker = new FrameTracker(options.settings, nowMs);
    this.#startedAtMs = nowMs;
    this.#lastUsedMs = nowMs;
    options.call.subscribe({
      onFrame: (frame) => this.#handleFrame(frame),
      onWritable: () => this.#handleWritable(),
      onEnd: (detail) => this.#handleEnd(detail),
    });
    if (options.dialed !== undefined) this.#sendOpening(options.dialed);
  }

  /** Whether messages can be written now. */
  canSend(): boolean {
    return this.#state === "open" && !this.#isBlocked;
  }

  /** Whether the stream is open. */
  isOpen(): boolean {
    return this.#state === "open";
  }

  /** Whether the stream has ended. */
  hasEnded(): boolean {
    return this.#state === "ended";
  }

  /** Sends encoded messages in one frame. */
  sendMessages(messages: Buffer[]): void {
    this.#lastUsedMs = this.#options.readNowMs();
    this.#sendFrame({ messages, opening: undefined });
  }

  /** Closes the stream on a timeout; sends heartbeats and acknowledgements. */
  handleTick(nowMs: number): void {
    if (this.#state === "ended") return;
    if (this.#state === "opening") {
      const elapsedMs = nowMs - this.#startedAtMs;
      if (elapsedMs < this.#options.settings.openTimeoutMs) return;
      this.#end("not_opened", "no handshake response in time");
      return;
    }
    if (this.#tracker.isSilent(nowMs)) {
      this.#end("silent", "a frame wasn't acknowledged in time");
      return;
    }
    this.#checkLiveness(nowMs);
  }

  /** Extends the acknowledgement deadlines by a pause of this process. */
  handlePause(pauseMs: number): void {
    this.#tracker.handlePause(pauseMs);
  }

  /** Closes the stream. */
  close(detail: string): void {
    this.#end("closed", detail);
  }

  #checkLiveness(nowMs: number): void {
    const { settings } = this.#options;
    const idleMs = nowMs - this.#lastUsedMs;
    const isDialed = this.#options.dialed !== undefined;
    if (isDialed && idleMs >= settings.idleTimeoutMs) {
      this.#end("idle", "no messages within the idle timeout");
      return;
    }
    const periodMs = idleMs < settings.recentUseMs
      ? settings.heartbeatPeriodMs
      : settings.idleHeartbeatPeriodMs;
    if (this.#tracker.needsHeartbeat(periodMs, nowMs)) {
      this.#sendFrame({ messages: [], opening: undefined });
    } else if (this.#tracker.needsAcknowledgement(nowMs)) {
      this.#writeFrame({ number: 0, messages: [], opening: undefined });
    }
  }

  #sendOpening(receiver: VmId): void {
    const { lowestVersion, highestVersion } = this.#options.settings;
    const opening: Opening = { receiver, lowestVersion, highestVersion };
    this.#sendFrame({ messages: [], opening });
  }

  #sendFrame(content: Pick<Frame, "messages" | "opening">): void {
    const number = this.#tracker.takeNumber(this.#options.readNowMs());
    this.#writeFrame({ number, ...content });
  }

  #writeFrame(content: Pick<Frame, "number" | "messages" | "opening">): void {
    if (this.#state === "ended") return;
    const { vmId, incarnation } = this.#options.self;
    const isWritable = this.#options.call.write({
      version: this.#version,
      sender: vmId,
      incarnation,
      acknowledged: this.#tracker.takeAcknowledgement(),
      ...content,
    });
    if (!isWritable) this.#isBlocked = true;
  }

  #handleWritable(): void {
    this.#isBlocked = false;
    if (this.#state === "open") this.#options.handlers.onWritable();
  }

  #handleFrame(frame: Frame): void {
    if (this.#state === "ended") return;
    const nowMs = this.#options.readNowMs();
    if (this.#state === "opening" && !this.#applyOpening(frame)) return;
    if (!this.#isFromPeer(frame)) {
      this.#refuse(createFailure("PeerFrameInvalid", "sender changed"));
      return;
    }
    if (!this.#tracker.applyReceived(frame, nowMs)) {
      this.#refuse(createFailure("PeerFrameInvalid", "invalid frame numbers"));
      return;
    }
    if (frame.opening !== undefined) this.#confirmOpening();
    if (frame.messages.length > 0) this.#lastUsedMs = nowMs;
    for (const bytes of frame.messages) this.#receiveMessage(bytes);
  }

  /** Applies the other side's opening; returns false if it's refused. */
  #applyOpening(frame: Frame): boolean {
    const { opening } = frame;
    if (opening === undefined) {
      this.#refuse(createFailure("PeerFrameInvalid", "no opening in frame"));
      return false;
    }
    const { self, dialed, settings } = this.#options;
    if (opening.receiver !== self.vmId) {
      const detail = `expected ${opening.receiver}, this is ${self.vmId}`;
      this.#refuse(createFailure("PeerWrongNode", detail));
      return false;
    }
    if (dialed !== undefined && frame.sender !== dialed) {
      const detail = `expected ${dialed}, ${frame.sender} responded`;
      this.#refuse(createFailure("PeerWrongNode", detail));
      return false;
    }
    const version = chooseVersion(settings, opening);
    if (version.isErr()) {
      this.#refuse(version.error);
      return false;
    }
    this.#version = version.value;
    this.#peer = { vmId: frame.sender, incarnation: frame.incarnation };
    return true;
  }

  #confirmOpening(): void {
    if (this.#state !== "opening" || this.#peer === undefined) return;
    this.#state = "open";
    if (this.#options.dialed === undefined) this.#sendOpening(this.#peer.vmId);
    this.#options.handlers.onOpen(this.#peer);
  }

  #isFromPeer(frame: Frame): boolean {
    return frame.sender === this.#peer?.vmId &&
      frame.incarnation === this.#peer.incarnation;
  }

  #receiveMessage(bytes: Buffer): void {
    const { handlers } = this.#options;
    const decoded = decodeMessage(bytes);
    if (decoded.isErr()) handlers.onMalformed(decoded.error);
    else if (decoded.value.kind === "unknown") {
      handlers.onUnknownKind(decoded.value.messageKind);
    } else handlers.onMessage(decoded.value.message);
  }

  #refuse(failure: Failure): void {
    this.#end("refused", `${failure.name}: ${failure.detail}`, failure);
  }

  #handleEnd(detail: string): void {
    const reason = this.#state === "opening" ? "not_opened" : "broken";
    this.#end(reason, detail);
  }

  #end(
    reason: StreamEnd["reason"],
    detail: string,
    ...[failure]: readonly Failure[]
  ): void {
    if (this.#state === "ended") return;
    this.#state = "ended";
    const unacknowledged = this.#tracker.countUnacknowledged();
    this.#options.call.close(failure);
    this.#options.handlers.onEnd({ reason, detail, unacknowledged });
  }
}
