/**
 * Reads the streamed response of one attempt and checks that it is complete.
 *
 * A response is complete when every chunk has the attempt's id, offsets have no
 * gap, a finish reason and the usage were received, and the end marker `[DONE]`
 * arrived. Anything less ends as `broken`. A complete response is reported at
 * its end marker, whatever happens to the connection afterwards.
 */
import type { AttemptEvent, AttemptOrder, Usage } from "@camphorlock/types";
import {
  ATTEMPT_HEADER,
  type ExchangeEnd,
  getHeader,
  NOT_RUN_HEADER,
  type PeerHeaders,
  type ResponseReceiver,
} from "@camphorlock/http";
import {
  type CompletionChunk,
  parseCompletionChunk,
} from "./completion_chunk.ts";
import { EventStreamDecoder } from "./event_stream_decoder.ts";

const END_MARKER = "[DONE]";
const MAX_ERROR_BYTES = 4_096;
const MAX_TEXT_CHARACTERS = 16 * 1024 * 1024;
const STATUS_OK = 200;

/** Receives the events of an attempt. */
export type AttemptListener = (event: AttemptEvent) => void;

/** Options of an attempt's stream. */
export interface AttemptStreamOptions {
  /** Number of generated characters before the first chunk. */
  readonly fromOffset: number;
  readonly onEvent: AttemptListener;
  /** Whether the attempt itself was sent by an earlier request. */
  readonly wasSentBefore: boolean;
  /** Cancels the exchange after a fault in the response. */
  readonly onFault: () => void;
}

/** The receiver of one attempt's response. */
export class AttemptStream implements ResponseReceiver {
  readonly #order: AttemptOrder;
  readonly #options: AttemptStreamOptions;
  readonly #decoder = new EventStreamDecoder();
  readonly #texts: string[] = [];
  readonly #errorParts: Uint8Array[] = [];
  #status = 0;
  #headers: PeerHeaders = {};
  #length: number;
  #batchText = "";
  #batchTokens = 0;
  #isFlushScheduled = false;
  #finished = false;
  #usage: Usage | undefined;
  #closed = false;

  constructor(order: AttemptOrder, options: AttemptStreamOptions) {
    this.#order = order;
    this.#options = options;
    this.#length = options.fromOffset;
  }

  /** Whether the attempt's end was reported or the stream was closed. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Stops reporting events. */
  close(): void {
    this.#closed = true;
  }

  handleHead(status: number, headers: PeerHeaders): void {
    this.#status = status;
    this.#headers = headers;
    const attemptId = getHeader(headers, ATTEMPT_HEADER);
    if (status === STATUS_OK && attemptId !== this.#order.attemptId) {
      this.#endBroken(`the response is for attempt ${attemptId ?? "(none)"}`);
    }
  }

  handleData(bytes: Uint8Array): void {
    if (this.#closed) return;
    if (this.#status !== STATUS_OK) {
      this.#appendErrorBody(bytes);
      return;
    }
    const events = this.#decoder.append(bytes);
    if (events === undefined) return this.#endBroken("an event is too long");
    for (const data of events) this.#handleEvent(data);
    this.#scheduleFlush();
  }

  handleEnd(end: ExchangeEnd): void {
    if (this.#closed) return;
    if (end.kind !== "ended") {
      const isNotSent = end.kind === "not_sent" && !this.#options.wasSentBefore;
      const kind = isNotSent ? "not_sent" : "broken";
      this.#end({ kind, detail: end.detail });
    } else if (this.#status !== STATUS_OK) {
      this.#end(this.#buildRejected());
    } else {
      this.#endBroken("the response has no end marker");
    }
  }

  #handleEvent(data: string): void {
    if (this.#closed) return;
    if (data === END_MARKER) return this.#end(this.#buildCompleted());
    const chunk = parseCompletionChunk(data);
    const fault = this.#findFault(chunk);
    if (chunk === undefined || fault !== undefined) {
      return this.#endBroken(fault ?? "a chunk is malformed");
    }
    this.#appendText(chunk);
    this.#finished ||= chunk.finished;
    this.#usage = chunk.usage ?? this.#usage;
  }

  #findFault(chunk: CompletionChunk | undefined): string | undefined {
    if (chunk === undefined) return "a chunk is malformed";
    if (chunk.id !== this.#order.attemptId) {
      return `a chunk is for attempt ${chunk.id}`;
    }
    if (chunk.offset !== undefined && chunk.offset !== this.#length) {
      return `a chunk begins at ${chunk.offset} instead of ${this.#length}`;
    }
    if (this.#length > MAX_TEXT_CHARACTERS) return "the response is too long";
    return undefined;
  }

  #appendText(chunk: CompletionChunk): void {
    this.#batchText += chunk.text;
    this.#batchTokens += chunk.tokens;
    this.#length += chunk.text.length;
  }

  /** Schedules one report for all the chunks that one socket read returned. */
  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    queueMicrotask(() => this.#flushBatch());
  }

  #flushBatch(): void {
    this.#isFlushScheduled = false;
    if (this.#closed || this.#batchText === "") return;
    const text = this.#batchText;
    const tokens = this.#batchTokens;
    this.#batchText = "";
    this.#batchTokens = 0;
    this.#texts.push(text);
    const generatedBefore = this.#length - text.length;
    const offset = this.#order.prefixText.length + generatedBefore;
    this.#options.onEvent({ kind: "text", offset, text, tokens });
  }

  #buildCompleted(): AttemptEvent {
    this.#flushBatch();
    if (!this.#finished) {
      return { kind: "broken", detail: "the response has no finish reason" };
    }
    if (this.#usage === undefined) {
      return { kind: "broken", detail: "the response has no usage" };
    }
    const text = this.#order.prefixText + this.#texts.join("");
    return { kind: "completed", text, usage: this.#usage };
  }

  #buildRejected(): AttemptEvent {
    return {
      kind: "rejected",
      status: this.#status,
      detail: Buffer.concat(this.#errorParts).toString("utf8"),
      notRun: getHeader(this.#headers, NOT_RUN_HEADER) === "true",
    };
  }

  #appendErrorBody(bytes: Uint8Array): void {
    const length = this.#errorParts.reduce((sum, part) => sum + part.length, 0);
    this.#errorParts.push(bytes.subarray(0, MAX_ERROR_BYTES - length));
    if (length + bytes.length < MAX_ERROR_BYTES) return;
    this.#end(this.#buildRejected());
    this.#options.onFault();
  }

  #endBroken(detail: string): void {
    if (this.#closed) return;
    this.#end({ kind: "broken", detail });
    this.#options.onFault();
  }

  #end(event: AttemptEvent): void {
    this.#flushBatch();
    this.#closed = true;
    this.#options.onEvent(event);
  }
}
