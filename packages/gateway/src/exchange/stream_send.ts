/**
 * Sends a request to a target and passes the events of its answer on as they
 * arrive, each whole and once. What the caller has received is kept across
 * sends, so that a later send can go on where an earlier one broke off.
 */
import {
  type AnswerReceiver,
  type Exchange,
  type ExchangeEnd,
  isDelimited,
  type PeerConnection,
  type PeerHeaders,
  type PeerRequest,
} from "@camphorlock/http/exchange";
import {
  EventSplitter,
  type StreamEvent,
} from "../decisions/event_splitter.ts";
import type { FailedSend } from "../decisions/plan_next_send.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import {
  checkAnswer,
  type RunningSend,
  type SendOptions,
  type WholeTargetAnswer,
} from "./whole_send.ts";

const STATUS_OK = 200;
/** Largest answer that isn't a stream and is held. */
const MAX_PLAIN_BYTES = 1_048_576;

/** What the caller has of a stream. */
export interface StreamProgress {
  /** Last event passed on; what the caller resumed after at first. */
  lastEventId: number;
  /** Events passed on. */
  events: number;
  /** Time until the first event, since the request came in. */
  firstEventMs: number | undefined;
}

/** What a send brought. */
export type StreamSendEnd =
  | { readonly kind: "completed" }
  /** An answer that isn't a stream. */
  | WholeTargetAnswer
  | FailedSend;

/** Tokens that are granted a few events at a time. */
export interface StreamGrant {
  /** Whether no further event is due. */
  readonly isFull: boolean;
  /** Counts the next event; false when it has to wait. */
  addEvent(): boolean;
  /** Waits until the next event can pass, or the request is over. */
  waitForMore(): Promise<void>;
}

/** What a stream needs from its request. */
export interface StreamSendOptions extends SendOptions {
  readonly progress: StreamProgress;
  readonly caller: CallerExchange;
  /** The tokens that may be passed on, where a budget limits them. */
  readonly grant: StreamGrant | undefined;
  /** Notes an event before it's passed on. */
  readonly recordEvent: () => void;
}

/** Starts a send. */
export function startStreamSend(
  connection: PeerConnection,
  request: PeerRequest,
  options: StreamSendOptions,
): RunningSend<StreamSendEnd> {
  const send = new StreamSend(options);
  send.start(connection, request);
  return send;
}

class StreamSend implements AnswerReceiver, RunningSend<StreamSendEnd> {
  readonly end: Promise<StreamSendEnd>;
  readonly #options: StreamSendOptions;
  readonly #splitter = new EventSplitter();
  readonly #plainChunks: Uint8Array[] = [];
  #plainBytes = 0;
  #resolve: (end: StreamSendEnd) => void = () => {};
  #exchange: Exchange | undefined;
  #timer: NodeJS.Timeout | undefined;
  #status = 0;
  #headers: PeerHeaders = {};
  #isStream = false;
  /** Events that have arrived and aren't granted yet. */
  readonly #waiting: StreamEvent[] = [];
  /** How the target ended while events waited. */
  #ended: ExchangeEnd | undefined;
  #isOver = false;

  constructor(options: StreamSendOptions) {
    this.#options = options;
    this.end = new Promise((resolve) => {
      this.#resolve = (end) => {
        this.#isOver = true;
        resolve(end);
      };
    });
  }

  start(connection: PeerConnection, request: PeerRequest): void {
    const exchange = connection.start(request, this);
    this.#exchange = exchange;
    this.#options.caller.onDrain(() => {
      if (this.#waiting.length === 0) exchange.resume();
    });
    const { timeoutMs } = this.#options;
    this.#timer = setTimeout(
      () => this.#endBroken(`no whole answer in ${timeoutMs} ms`),
      timeoutMs,
    );
  }

  cancel(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#exchange?.cancel();
  }

  handleHead(status: number, headers: PeerHeaders): void {
    this.#status = status;
    this.#headers = headers;
    const checked = this.#check();
    this.#isStream = checked.kind === "answered" && status === STATUS_OK;
    if (checked.kind === "broken") this.#endBroken(checked.detail);
  }

  handleData(chunk: Uint8Array): void {
    if (!this.#isStream) return this.#addPlain(chunk);
    const events = this.#splitter.take(chunk);
    if (this.#splitter.isOverlong) return this.#endBroken("an overlong event");
    this.#waiting.push(...events);
    this.#sendWaiting();
  }

  handleEnd(end: ExchangeEnd): void {
    if (this.#waiting.length > 0) {
      this.#ended = end;
      return;
    }
    clearTimeout(this.#timer);
    switch (end.kind) {
      case "not_sent":
        return this.#resolve({ kind: "unreachable", detail: end.detail });
      case "broken":
        return this.#resolve(end);
      case "ended":
        return this.#resolve(this.#buildEnd());
    }
  }

  #buildEnd(): StreamSendEnd {
    if (!this.#isStream) return this.#check();
    if (this.#splitter.restBytes > 0) {
      return { kind: "broken", detail: "ended within an event" };
    }
    if (!isDelimited(this.#status, this.#headers)) {
      return { kind: "broken", detail: "the stream's end can't be told" };
    }
    this.#openStream();
    return { kind: "completed" };
  }

  #check(): WholeTargetAnswer | FailedSend {
    return checkAnswer({
      kind: "answered",
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#plainChunks),
    }, this.#options) as WholeTargetAnswer | FailedSend;
  }

  /** Passes on what's granted, then the end if the target has ended. */
  #sendWaiting(): void {
    for (;;) {
      const [event] = this.#waiting;
      if (event === undefined) break;
      if (!this.#canSend(event)) return;
      this.#waiting.shift();
      if (!this.#sendEvent(event)) return;
    }
    if (this.#ended !== undefined) this.handleEnd(this.#ended);
  }

  /** Whether an event may pass; one that can't holds the stream up. */
  #canSend(event: StreamEvent): boolean {
    const { grant, progress } = this.#options;
    const isNew = event.id === undefined || event.id > progress.lastEventId;
    if (grant === undefined || !isNew || grant.addEvent()) return true;
    if (grant.isFull) {
      this.#endBroken("more tokens than the request declares");
      return false;
    }
    this.#exchange?.pause();
    void grant.waitForMore().then(() => {
      if (this.#isOver) return;
      this.#exchange?.resume();
      this.#sendWaiting();
    });
    return false;
  }

  #sendEvent(event: StreamEvent): boolean {
    const { progress, caller } = this.#options;
    const expected = progress.lastEventId + 1;
    if (event.id !== undefined && event.id < expected) return true;
    if (event.id !== undefined && event.id > expected) {
      this.#endBroken(`event ${event.id} follows ${progress.lastEventId}`);
      return false;
    }
    this.#openStream();
    this.#options.recordEvent();
    progress.lastEventId = expected;
    progress.events += 1;
    if (!caller.sendEvents(event.bytes)) this.#exchange?.pause();
    return true;
  }

  #openStream(): void {
    const { caller, codec } = this.#options;
    if (caller.isAnswering) return;
    caller.openStream(this.#status, codec.encodeAnswerHeaders(this.#headers));
  }

  #addPlain(chunk: Uint8Array): void {
    this.#plainBytes += chunk.length;
    if (this.#plainBytes > MAX_PLAIN_BYTES) {
      this.#endBroken("the answer is too large");
    } else this.#plainChunks.push(chunk);
  }

  #endBroken(detail: string): void {
    const wasSent = this.#exchange?.wasSent !== false;
    this.cancel();
    this.#resolve({ kind: wasSent ? "broken" : "unreachable", detail });
  }
}
