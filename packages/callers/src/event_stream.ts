/**
 * Writes server-sent events straight to the response of Node's HTTP server.
 *
 * A stream carries an event for each token at worst, which the streams of the
 * fetch API make several times as expensive. While the caller's connection is
 * full, text is collected and goes out as one event.
 */
import type { ServerResponse } from "node:http";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { CallerAnswer } from "@camphorlock/types";
import type { Context } from "hono";

const STATUS_OK = 200;

/** One server-sent event. */
export interface StreamEvent {
  readonly event?: string;
  readonly data: string;
  readonly id?: string;
}

/** How a stream is written. */
export interface EventStreamOptions {
  /** Makes the events of an answer. */
  readonly formatAnswer: (answer: CallerAnswer) => readonly StreamEvent[];
  /** Called once when the caller has gone before the end. */
  readonly onGone: () => void;
}

/** The stream of one request's answers. */
export class EventStream {
  readonly #response: ServerResponse;
  readonly #options: EventStreamOptions;
  /** Answers that wait until the connection takes more. */
  #waiting: CallerAnswer[] = [];
  #isEnded = false;

  constructor(response: ServerResponse, options: EventStreamOptions) {
    this.#response = response;
    this.#options = options;
    response.writeHead(STATUS_OK, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
    });
    response.flushHeaders();
    response.on("drain", () => this.#writeWaiting());
    response.once("close", () => this.#handleClose());
  }

  /** Adds an answer. One that isn't of kind `text` ends the stream. */
  add(answer: CallerAnswer): void {
    if (this.#isEnded) return;
    const last = this.#waiting.at(-1);
    if (last?.kind === "text" && answer.kind === "text") {
      this.#waiting.pop();
      this.#waiting.push({ ...last, text: last.text + answer.text });
    } else {
      this.#waiting.push(answer);
    }
    if (!this.#response.writableNeedDrain) this.#writeWaiting();
  }

  #writeWaiting(): void {
    const answers = this.#waiting;
    this.#waiting = [];
    for (const answer of answers) {
      const events = this.#options.formatAnswer(answer);
      this.#response.write(events.map(formatEvent).join(""));
      if (answer.kind !== "text") return this.#end();
    }
  }

  #end(): void {
    this.#isEnded = true;
    this.#response.end();
  }

  #handleClose(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#options.onGone();
  }
}

/** Opens the stream of a request that Node's HTTP server received. */
export function openEventStream(
  context: Context,
  options: EventStreamOptions,
): { readonly stream: EventStream; readonly response: Response } {
  const { outgoing } = context.env as HttpBindings;
  const stream = new EventStream(outgoing as ServerResponse, options);
  return { stream, response: RESPONSE_ALREADY_SENT };
}

function formatEvent({ event, data, id }: StreamEvent): string {
  const eventLine = event === undefined ? "" : `event: ${event}\n`;
  const idLine = id === undefined ? "" : `id: ${id}\n`;
  return `${eventLine}data: ${data}\n${idLine}\n`;
}
