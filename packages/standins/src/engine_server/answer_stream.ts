/**
 * The answer of one attempt at the engine stand-in and who reads it.
 */
import type { ServerResponse } from "node:http";
import type { AttemptId, Usage } from "@camphorlock/types";
import type { PlannedAnswer } from "./chat_form.ts";

interface Reader {
  readonly response: ServerResponse;
  /** The id that chunks carry; a crossed answer carries a wrong one. */
  readonly shownId: string;
  silent: boolean;
}

/** Faults of one reader's connection. */
export interface ReaderOptions {
  readonly fromOffset: number;
  readonly shownId: string;
  readonly silent: boolean;
}

/** The produced text of one attempt. It goes on without readers. */
export class AnswerStream {
  readonly attemptId: AttemptId;
  readonly #planned: PlannedAnswer;
  readonly #readers = new Set<Reader>();
  #produced: number;
  #usage: Usage | undefined;
  #cancelled = false;

  constructor(planned: PlannedAnswer) {
    this.attemptId = planned.request.attemptId;
    this.#planned = planned;
    this.#produced = planned.prefixLength;
  }

  /** Whether nothing more will be produced. */
  get ended(): boolean {
    return this.#usage !== undefined || this.#cancelled;
  }

  /** Whether it was stopped before its end. */
  get wasCancelled(): boolean {
    return this.#cancelled;
  }

  /** Characters of the attempt's own text so far. */
  get length(): number {
    return this.#produced - this.#planned.prefixLength;
  }

  /** Adds a reader, who first gets the text after its offset. */
  addReader(response: ServerResponse, options: ReaderOptions): void {
    const { shownId, silent } = options;
    const reader: Reader = { response, shownId, silent };
    this.#readers.add(reader);
    response.once("close", () => this.#readers.delete(reader));
    const start = this.#planned.prefixLength + options.fromOffset;
    if (start < this.#produced) {
      this.#writeText(reader, { start, end: this.#produced, tokens: 1 });
    }
    this.#endIfDone(reader);
  }

  /** Adds tokens up to a count of the whole answer's tokens. */
  appendTokens(upTo: number, tokens: number): void {
    const end = this.#planned.answer.ends[upTo - 1] ?? this.#produced;
    if (end <= this.#produced) return;
    const start = this.#produced;
    this.#produced = end;
    for (const reader of this.#readers) {
      this.#writeText(reader, { start, end, tokens });
    }
  }

  /** Ends the answer as whole. */
  end(usage: Usage): void {
    this.#usage = usage;
    for (const reader of this.#readers) this.#endIfDone(reader);
  }

  /** Ends the answer early. */
  cancel(): void {
    this.#cancelled = true;
    for (const reader of this.#readers) this.#endIfDone(reader);
  }

  /** Lets the present readers' connections go silent for good. */
  setReadersSilent(): void {
    for (const reader of this.#readers) reader.silent = true;
  }

  /** Breaks the present readers' connections. */
  closeReaders(): void {
    for (const reader of this.#readers) reader.response.destroy();
  }

  #writeText(
    reader: Reader,
    part: {
      readonly start: number;
      readonly end: number;
      readonly tokens: number;
    },
  ): void {
    const content = this.#planned.answer.text.slice(part.start, part.end);
    const offset = part.start - this.#planned.prefixLength;
    writeEvent(reader, {
      id: reader.shownId,
      object: "chat.completion.chunk",
      offset,
      tokens: part.tokens,
      choices: [{ index: 0, delta: { content }, finish_reason: null }],
    });
  }

  #endIfDone(reader: Reader): void {
    if (!this.ended || reader.silent) return;
    if (this.#usage !== undefined) this.#writeEnd(reader, this.#usage);
    reader.response.end();
  }

  #writeEnd(reader: Reader, usage: Usage): void {
    writeEvent(reader, {
      id: reader.shownId,
      object: "chat.completion.chunk",
      offset: this.length,
      choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
      usage: {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.completionTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
      },
    });
    reader.response.write("data: [DONE]\n\n");
  }
}

function writeEvent(reader: Reader, data: object): void {
  if (reader.silent) return;
  reader.response.write(`data: ${JSON.stringify(data)}\n\n`);
}
