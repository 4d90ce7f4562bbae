/**
 * The completion of one attempt at the engine stand-in, and its readers.
 */
import type { ServerResponse } from "node:http";
import type { AttemptId, Usage } from "@camphorlock/types";
import type { PlannedCompletion } from "./chat_request.ts";

interface Reader {
  readonly response: ServerResponse;
  /** The attempt id in the chunks. A mismatched response has a wrong one. */
  readonly reportedId: string;
  silent: boolean;
}

/** How one reader's connection behaves. */
export interface ReaderOptions {
  readonly fromOffset: number;
  readonly reportedId: string;
  readonly silent: boolean;
}

/** The text of one attempt. Generation continues without readers. */
export class CompletionStream {
  readonly attemptId: AttemptId;
  readonly #planned: PlannedCompletion;
  readonly #readers = new Set<Reader>();
  #produced: number;
  #usage: Usage | undefined;
  #cancelled = false;

  constructor(planned: PlannedCompletion) {
    this.attemptId = planned.request.attemptId;
    this.#planned = planned;
    this.#produced = planned.prefixLength;
  }

  /** Whether the completion ended or was cancelled. */
  get ended(): boolean {
    return this.#usage !== undefined || this.#cancelled;
  }

  /** Whether the attempt was cancelled before its end. */
  get wasCancelled(): boolean {
    return this.#cancelled;
  }

  /** Characters that this attempt has produced, without the prefix. */
  get length(): number {
    return this.#produced - this.#planned.prefixLength;
  }

  /** Adds a reader and sends it the text produced after its offset. */
  addReader(response: ServerResponse, options: ReaderOptions): void {
    const { reportedId, silent } = options;
    const reader: Reader = { response, reportedId, silent };
    this.#readers.add(reader);
    response.once("close", () => this.#readers.delete(reader));
    const start = this.#planned.prefixLength + options.fromOffset;
    if (start < this.#produced) {
      this.#writeText(reader, { start, end: this.#produced, tokens: 1 });
    }
    this.#endIfDone(reader);
  }

  /** Appends tokens, up to the token number `upTo` of the completion. */
  appendTokens(upTo: number, tokens: number): void {
    const end = this.#planned.answer.ends[upTo - 1] ?? this.#produced;
    if (end <= this.#produced) return;
    const start = this.#produced;
    this.#produced = end;
    for (const reader of this.#readers) {
      this.#writeText(reader, { start, end, tokens });
    }
  }

  /** Ends the completion normally. */
  end(usage: Usage): void {
    this.#usage = usage;
    for (const reader of this.#readers) this.#endIfDone(reader);
  }

  /** Ends the completion before its last token. */
  cancel(): void {
    this.#cancelled = true;
    for (const reader of this.#readers) this.#endIfDone(reader);
  }

  /** Stops all output to the current readers. Their connections stay open. */
  setReadersSilent(): void {
    for (const reader of this.#readers) reader.silent = true;
  }

  /** Closes the current readers' connections. */
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
      id: reader.reportedId,
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
      id: reader.reportedId,
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
