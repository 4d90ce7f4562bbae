/**
 * Follows the streamed answer of one attempt and checks that it's whole.
 *
 * An answer is whole when every chunk names the attempt, offsets have no gap,
 * the engine said that it finished and what was used, and the end mark came.
 * Anything less ends as `broken`. A whole answer is reported at its end mark,
 * whatever happens to the connection after it.
 */
import type { AttemptEvent, AttemptOrder, Usage } from "@camphorlock/types";
import {
  type AnswerReceiver,
  ATTEMPT_HEADER,
  type ExchangeEnd,
  getHeader,
  NOT_RUN_HEADER,
  type PeerHeaders,
} from "@camphorlock/http";
import { type AnswerChunk, parseAnswerChunk } from "./answer_chunk.ts";
import { EventLines } from "./event_lines.ts";

const END_MARK = "[DONE]";
const MAX_ERROR_BYTES = 4_096;
const MAX_ANSWER_CHARACTERS = 16 * 1024 * 1024;
const STATUS_OK = 200;

/** Receives what happens to an attempt. */
export type AttemptListener = (event: AttemptEvent) => void;

/** Settings of an attempt's stream. */
export interface AttemptStreamOptions {
  /** Characters of generated text before the first chunk. */
  readonly fromOffset: number;
  readonly onEvent: AttemptListener;
  /** Whether the attempt itself was sent by an earlier request. */
  readonly wasSentBefore: boolean;
  /** Gives the connection up after a fault in the answer. */
  readonly onFault: () => void;
}

/** The receiver of one attempt's answer. */
export class AttemptStream implements AnswerReceiver {
  readonly #order: AttemptOrder;
  readonly #options: AttemptStreamOptions;
  readonly #lines = new EventLines();
  readonly #parts: string[] = [];
  readonly #errorParts: Uint8Array[] = [];
  #status = 0;
  #headers: PeerHeaders = {};
  #length: number;
  #batchText = "";
  #batchTokens = 0;
  #flushPlanned = false;
  #finished = false;
  #usage: Usage | undefined;
  #closed = false;

  constructor(order: AttemptOrder, options: AttemptStreamOptions) {
    this.#order = order;
    this.#options = options;
    this.#length = options.fromOffset;
  }

  /** Whether the attempt's end was reported, or nothing more is wanted. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Reports nothing more. */
  close(): void {
    this.#closed = true;
  }

  handleHead(status: number, headers: PeerHeaders): void {
    this.#status = status;
    this.#headers = headers;
    const attemptId = getHeader(headers, ATTEMPT_HEADER);
    if (status === STATUS_OK && attemptId !== this.#order.attemptId) {
      this.#endBroken(`the answer is for attempt ${attemptId ?? "(none)"}`);
    }
  }

  handleData(bytes: Uint8Array): void {
    if (this.#closed) return;
    if (this.#status !== STATUS_OK) {
      this.#appendError(bytes);
      return;
    }
    const events = this.#lines.append(bytes);
    if (events === undefined) return this.#endBroken("an event is too long");
    for (const data of events) this.#handleEvent(data);
    this.#startFlush();
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
      this.#endBroken("the answer has no end mark");
    }
  }

  #handleEvent(data: string): void {
    if (this.#closed) return;
    if (data === END_MARK) return this.#end(this.#buildCompleted());
    const chunk = parseAnswerChunk(data);
    const fault = this.#findFault(chunk);
    if (chunk === undefined || fault !== undefined) {
      return this.#endBroken(fault ?? "a chunk is malformed");
    }
    this.#appendText(chunk);
    this.#finished ||= chunk.finished;
    this.#usage = chunk.usage ?? this.#usage;
  }

  #findFault(chunk: AnswerChunk | undefined): string | undefined {
    if (chunk === undefined) return "a chunk is malformed";
    if (chunk.id !== this.#order.attemptId) {
      return `a chunk is for attempt ${chunk.id}`;
    }
    if (chunk.offset !== undefined && chunk.offset !== this.#length) {
      return `a chunk begins at ${chunk.offset} instead of ${this.#length}`;
    }
    if (this.#length > MAX_ANSWER_CHARACTERS) return "the answer is too long";
    return undefined;
  }

  #appendText(chunk: AnswerChunk): void {
    this.#batchText += chunk.text;
    this.#batchTokens += chunk.tokens;
    this.#length += chunk.text.length;
  }

  /** One read of the socket may bring many chunks: report them together. */
  #startFlush(): void {
    if (this.#flushPlanned) return;
    this.#flushPlanned = true;
    queueMicrotask(() => this.#sendBatch());
  }

  #sendBatch(): void {
    this.#flushPlanned = false;
    if (this.#closed || this.#batchText === "") return;
    const text = this.#batchText;
    const tokens = this.#batchTokens;
    this.#batchText = "";
    this.#batchTokens = 0;
    this.#parts.push(text);
    const generatedBefore = this.#length - text.length;
    const offset = this.#order.prefixText.length + generatedBefore;
    this.#options.onEvent({ kind: "text", offset, text, tokens });
  }

  #buildCompleted(): AttemptEvent {
    this.#sendBatch();
    if (!this.#finished) {
      return { kind: "broken", detail: "the answer ended early" };
    }
    if (this.#usage === undefined) {
      return { kind: "broken", detail: "the answer has no usage" };
    }
    const text = this.#order.prefixText + this.#parts.join("");
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

  #appendError(bytes: Uint8Array): void {
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
    this.#sendBatch();
    this.#closed = true;
    this.#options.onEvent(event);
  }
}
