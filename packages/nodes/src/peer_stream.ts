/**
 * One stream between this node and another, whichever of them dialed.
 *
 * The first frames agree on the version and check that each side reached the
 * node that it meant. From then on frames carry messages, acknowledgements and
 * heartbeats. A side that finds a frame unacknowledged for too long closes the
 * stream: the connection went silent.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { PeerMessage, VmId } from "@camphorlock/types";
import type { Frame, Opening } from "./generated/peers.ts";
import { FrameCounter } from "./frame_counter.ts";
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
  /** Frames of this side that may not have arrived. */
  readonly unacknowledged: number;
}

/** What a stream tells its user. */
export interface PeerStreamHandlers {
  readonly onOpen: (peer: PeerIdentity) => void;
  readonly onMessage: (message: PeerMessage) => void;
  /** A message was dropped that only a later release knows. */
  readonly onUnknownKind: (kind: string) => void;
  /** A message was dropped that doesn't have the shape of its kind. */
  readonly onMalformed: (failure: Failure) => void;
  readonly onWritable: () => void;
  readonly onEnd: (end: StreamEnd) => void;
}

/** What a stream is made of. */
export interface PeerStreamOptions {
  readonly call: StreamCall;
  readonly self: PeerIdentity;
  /** The node that was dialed; absent on an accepted stream. */
  readonly dialed?: VmId;
  readonly settings: PeerSettings;
  readonly handlers: PeerStreamHandlers;
  readonly readNowMs: () => number;
}

/** A stream to another node. */
export class PeerStream {
  readonly #options: PeerStreamOptions;
  readonly #counter: FrameCounter;
  readonly #startedAtMs: number;
  #state: "opening" | "open" | "ended" = "opening";
  #version = 0;
  #peer: PeerIdentity | undefined;
  #isBlocked = false;
  #lastUsedMs: number;

  constructor(options: PeerStreamOptions) {
    const nowMs = options.readNowMs();
    this.#options = options;
    this.#counter = new FrameCounter(options.settings, nowMs);
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

  /** Does what is due at this time. */
  handleTick(nowMs: number): void {
    if (this.#state === "ended") return;
    if (this.#state === "opening") {
      const forMs = nowMs - this.#startedAtMs;
      if (forMs < this.#options.settings.openTimeoutMs) return;
      this.#end("not_opened", "the other side didn't open in time");
      return;
    }
    if (this.#counter.isSilent(nowMs)) {
      this.#end("silent", "a frame was left unacknowledged");
      return;
    }
    this.#checkAlive(nowMs);
  }

  /** Leaves out a time in which this process itself was paused. */
  handlePause(pauseMs: number): void {
    this.#counter.handlePause(pauseMs);
  }

  /** Closes the stream. */
  close(detail: string): void {
    this.#end("closed", detail);
  }

  #checkAlive(nowMs: number): void {
    const { settings } = this.#options;
    const idleMs = nowMs - this.#lastUsedMs;
    const isDialed = this.#options.dialed !== undefined;
    if (isDialed && idleMs >= settings.idleTimeoutMs) {
      this.#end("idle", "no messages");
      return;
    }
    const periodMs = idleMs < settings.inUseMs
      ? settings.heartbeatPeriodMs
      : settings.idleHeartbeatPeriodMs;
    if (this.#counter.needsHeartbeat(periodMs, nowMs)) {
      this.#sendFrame({ messages: [], opening: undefined });
    } else if (this.#counter.needsAcknowledgement(nowMs)) {
      this.#writeFrame({ number: 0, messages: [], opening: undefined });
    }
  }

  #sendOpening(receiver: VmId): void {
    const { lowestVersion, highestVersion } = this.#options.settings;
    const opening: Opening = { receiver, lowestVersion, highestVersion };
    this.#sendFrame({ messages: [], opening });
  }

  #sendFrame(content: Pick<Frame, "messages" | "opening">): void {
    const number = this.#counter.takeNumber(this.#options.readNowMs());
    this.#writeFrame({ number, ...content });
  }

  #writeFrame(content: Pick<Frame, "number" | "messages" | "opening">): void {
    if (this.#state === "ended") return;
    const { vmId, incarnation } = this.#options.self;
    const goesOn = this.#options.call.write({
      version: this.#version,
      sender: vmId,
      incarnation,
      acknowledged: this.#counter.takeAcknowledgement(),
      ...content,
    });
    if (!goesOn) this.#isBlocked = true;
  }

  #handleWritable(): void {
    this.#isBlocked = false;
    if (this.#state === "open") this.#options.handlers.onWritable();
  }

  #handleFrame(frame: Frame): void {
    if (this.#state === "ended") return;
    const nowMs = this.#options.readNowMs();
    if (this.#state === "opening" && !this.#open(frame)) return;
    if (!this.#isFromPeer(frame)) {
      this.#refuse(createFailure("PeerFrameInvalid", "sender changed"));
      return;
    }
    if (!this.#counter.applyReceived(frame, nowMs)) {
      this.#refuse(createFailure("PeerFrameInvalid", "numbers don't follow"));
      return;
    }
    if (frame.opening !== undefined) this.#answerOpening();
    if (frame.messages.length > 0) this.#lastUsedMs = nowMs;
    for (const bytes of frame.messages) this.#receiveMessage(bytes);
  }

  /** Takes the other side's opening; returns whether the stream goes on. */
  #open(frame: Frame): boolean {
    const { opening } = frame;
    if (opening === undefined) {
      this.#refuse(createFailure("PeerFrameInvalid", "no opening"));
      return false;
    }
    const { self, dialed, settings } = this.#options;
    if (opening.receiver !== self.vmId) {
      const detail = `${opening.receiver} was meant, this is ${self.vmId}`;
      this.#refuse(createFailure("PeerWrongNode", detail));
      return false;
    }
    if (dialed !== undefined && frame.sender !== dialed) {
      const detail = `${dialed} was meant, ${frame.sender} answers`;
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

  #answerOpening(): void {
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
    const unacknowledged = this.#counter.countUnacknowledged();
    this.#options.call.close(failure);
    this.#options.handlers.onEnd({ reason, detail, unacknowledged });
  }
}
