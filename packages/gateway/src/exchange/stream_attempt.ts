/**
 * One attempt of a streaming request: forwards a target's events as they
 * arrive, each complete and once. The caller's progress is kept across
 * attempts, so that a later attempt resumes where an earlier one broke off.
 */
import {
  type Exchange,
  type ExchangeEnd,
  GrowingBuffer,
  type PeerConnection,
  type PeerHeaders,
  type PeerRequest,
  type ResponseReceiver,
} from "@camphorlock/http/exchange";
import {
  EventSplitter,
  type StreamEvent,
  type StreamPart,
} from "../decisions/event_splitter.ts";
import type { FailedAttempt } from "../decisions/next_step.ts";
import {
  type AttemptOptions,
  checkResponse,
  type RunningAttempt,
  type TargetResponse,
} from "./buffered_attempt.ts";
import type { CallerExchange } from "./caller_exchange.ts";

const STATUS_OK = 200;
/** Largest response that isn't a stream and is buffered. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** The caller's progress in a stream. */
export interface StreamProgress {
  /** Last event forwarded; initially the one that the caller resumes after. */
  lastEventId: number;
  /** Number of events forwarded. */
  events: number;
  /** Time from the request's arrival to the first event. */
  firstEventMs: number | undefined;
}

/** The result of an attempt. */
export type StreamAttemptResult =
  | { readonly kind: "completed" }
  /** A response that isn't a stream. */
  | TargetResponse
  | FailedAttempt;

/** Tokens that are granted a few events at a time. */
export interface StreamGrant {
  /** Whether the turn has used all tokens that its request declares. */
  readonly isFull: boolean;
  /** Counts the next event; false when it has to wait for a grant. */
  addEvent(): boolean;
  /** Waits for the next event's tokens; false when the turn was closed. */
  waitForMore(): Promise<boolean>;
}

/** Settings of a streaming attempt. */
export interface StreamAttemptOptions extends AttemptOptions {
  readonly progress: StreamProgress;
  readonly caller: CallerExchange;
  /** The tokens that may be forwarded, where a budget limits them. */
  readonly grant: StreamGrant | undefined;
  /** Records an event before it's forwarded. */
  readonly recordEvent: (event: StreamEvent) => void;
  /** Records at the attempt's end how many bytes weren't forwarded. */
  readonly recordDropped: (bytes: number) => void;
}

/** Starts a streaming attempt. */
export function startStreaming(
  connection: PeerConnection,
  request: PeerRequest,
  options: StreamAttemptOptions,
): RunningAttempt<StreamAttemptResult> {
  const attempt = new StreamAttempt(options);
  attempt.start(connection, request);
  return attempt;
}

class StreamAttempt
  implements ResponseReceiver, RunningAttempt<StreamAttemptResult> {
  readonly result: Promise<StreamAttemptResult>;
  readonly #options: StreamAttemptOptions;
  readonly #splitter = new EventSplitter();
  /** The body of a response that isn't a stream. */
  readonly #buffered = new GrowingBuffer({
    maxBytes: MAX_BUFFERED_BYTES,
  });
  #resolve: (result: StreamAttemptResult) => void = () => {};
  #exchange: Exchange | undefined;
  #timer: NodeJS.Timeout | undefined;
  #status = 0;
  #headers: PeerHeaders = {};
  #isStream = false;
  /** What has arrived, from the first event on that waits for a grant. */
  readonly #waitingParts: StreamPart[] = [];
  /** Comments before the first event; an attempt without events sends none. */
  readonly #heldFiller: Uint8Array[] = [];
  /** How the exchange ended while events were waiting. */
  #deferredEnd: ExchangeEnd | undefined;
  #hasEnded = false;

  constructor(options: StreamAttemptOptions) {
    this.#options = options;
    this.result = new Promise((resolve) => {
      this.#resolve = (result) => {
        this.#hasEnded = true;
        const { droppedBytes } = this.#splitter;
        if (droppedBytes > 0) options.recordDropped(droppedBytes);
        resolve(result);
      };
    });
  }

  start(connection: PeerConnection, request: PeerRequest): void {
    const exchange = connection.start(request, this);
    this.#exchange = exchange;
    this.#options.caller.onDrain(() => {
      if (this.#waitingParts.length === 0) exchange.resume();
    });
    const { timeoutMs } = this.#options;
    this.#timer = setTimeout(
      () => this.#endBroken(`no complete response within ${timeoutMs} ms`),
      timeoutMs,
    );
  }

  cancel(): void {
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    this.#exchange?.cancel();
  }

  handleHead(status: number, headers: PeerHeaders): void {
    this.#status = status;
    this.#headers = headers;
    const checked = this.#checkResponse();
    this.#isStream = checked.kind === "answered" && status === STATUS_OK;
    if (checked.kind === "broken") this.#endBroken(checked.detail);
  }

  handleData(chunk: Uint8Array): void {
    if (!this.#isStream) return this.#addBuffered(chunk);
    for (const part of this.#splitter.append(chunk)) {
      this.#waitingParts.push(part);
      // Most reads hold one event, but all of a flood's needn't be split.
      if (this.#waitingParts.length === 1) this.#forwardWaiting();
      if (this.#hasEnded) return;
    }
    if (!this.#splitter.isOverlong) return;
    this.#endBroken("overlong event, or too much without an event");
  }

  handleEnd(end: ExchangeEnd): void {
    if (this.#waitingParts.length > 0) {
      this.#deferredEnd = end;
      return;
    }
    clearTimeout(this.#timer);
    switch (end.kind) {
      case "not_sent":
        return this.#resolve({ kind: "unreachable", detail: end.detail });
      case "broken":
        return this.#resolve(end);
      case "ended":
        return this.#resolve(this.#buildResult());
    }
  }

  #buildResult(): StreamAttemptResult {
    if (!this.#isStream) return this.#checkResponse();
    const end = this.#splitter.end();
    if (end.kind === "within_event") {
      return { kind: "broken", detail: "the stream ended within an event" };
    }
    this.#openStream();
    if (end.rest.length > 0) this.#options.caller.sendEvents(end.rest);
    return { kind: "completed" };
  }

  #checkResponse(): TargetResponse | FailedAttempt {
    return checkResponse({
      kind: "answered",
      status: this.#status,
      headers: this.#headers,
      pieces: this.#buffered.listPieces(),
      isReused: this.#exchange?.isReused ?? false,
    }, this.#options) as TargetResponse | FailedAttempt;
  }

  /** Forwards the granted events, then a deferred end of the exchange. */
  #forwardWaiting(): void {
    for (;;) {
      const [part] = this.#waitingParts;
      if (part === undefined) break;
      if (part.kind === "event" && !this.#canForward(part)) return;
      this.#waitingParts.shift();
      if (part.kind === "filler") this.#forwardFiller(part.bytes);
      else if (!this.#forwardEvent(part)) return;
    }
    if (this.#deferredEnd !== undefined) this.handleEnd(this.#deferredEnd);
  }

  /** Whether an event may be forwarded; if not, the stream is paused. */
  #canForward(event: StreamEvent): boolean {
    const { grant, progress } = this.#options;
    if (event.id === undefined) {
      this.#endBroken("an event without a number");
      return false;
    }
    const isNew = event.id > progress.lastEventId;
    if (grant === undefined || !isNew || grant.addEvent()) return true;
    if (grant.isFull) {
      this.#endBroken("more tokens than the request declares");
      return false;
    }
    this.#exchange?.pause();
    void grant.waitForMore().then((isGranted) => {
      if (this.#hasEnded) return;
      if (!isGranted) {
        return this.#endBroken(
          "the turn was closed before its tokens were granted",
        );
      }
      this.#exchange?.resume();
      this.#forwardWaiting();
    });
    return false;
  }

  #forwardEvent(event: StreamEvent): boolean {
    const { progress, caller } = this.#options;
    const expected = progress.lastEventId + 1;
    if (event.id === undefined || event.id < expected) return true;
    if (event.id > expected) {
      this.#endBroken(
        `event ${event.id} arrived after event ${progress.lastEventId}`,
      );
      return false;
    }
    this.#openStream();
    this.#options.recordEvent(event);
    progress.lastEventId = expected;
    progress.events += 1;
    if (!caller.sendEvents(event.bytes)) this.#exchange?.pause();
    return true;
  }

  /** Forwards what isn't an event; it changes nothing in the progress. */
  #forwardFiller(bytes: Uint8Array): void {
    const { caller } = this.#options;
    if (!caller.hasSentHead) this.#heldFiller.push(bytes);
    else if (!caller.sendEvents(bytes)) this.#exchange?.pause();
  }

  /** Sends the response's head, and the comments before the first event. */
  #openStream(): void {
    const { caller, codec } = this.#options;
    if (!caller.hasSentHead) {
      caller.openStream({
        status: this.#status,
        headers: codec.encodeResponseHeaders(this.#headers),
      });
    }
    for (const bytes of this.#heldFiller.splice(0)) caller.sendEvents(bytes);
  }

  #addBuffered(chunk: Uint8Array): void {
    const growth = this.#buffered.computeGrowth(chunk);
    if (this.#buffered.length + chunk.length > MAX_BUFFERED_BYTES) {
      this.#endBroken("the response exceeds the size limit");
    } else if (!this.#options.share.reserve(growth)) {
      this.#endBroken("the process holds too much to read the response");
    } else this.#buffered.append(chunk);
  }

  #endBroken(detail: string): void {
    const wasSent = this.#exchange?.wasSent !== false;
    this.cancel();
    this.#resolve({ kind: wasSent ? "broken" : "unreachable", detail });
  }
}
