/**
 * Writes server-sent events directly to the response of Node's HTTP server.
 *
 * A stream may carry one event per token, and the streams of the fetch API make
 * each event several times as expensive. While the caller's connection is under
 * back-pressure, text is buffered and then sent as one event.
 */
import type { ServerResponse } from "node:http";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { CallerResponse } from "@camphorlock/types";
import type { Context } from "hono";

const STATUS_OK = 200;

/** One server-sent event. */
export interface StreamEvent {
  readonly event?: string;
  readonly data: string;
  readonly id?: string;
}

/** Options of an event stream. */
export interface EventStreamOptions {
  /** Formats one part of the response as events. */
  readonly formatPart: (part: CallerResponse) => readonly StreamEvent[];
  /** Called once if the caller disconnects before the stream ends. */
  readonly onDisconnect: () => void;
}

/** The streamed response to one request. */
export class EventStream {
  readonly #response: ServerResponse;
  readonly #options: EventStreamOptions;
  /** Parts buffered until the connection can take more. */
  #buffered: CallerResponse[] = [];
  #isEnded = false;

  constructor(response: ServerResponse, options: EventStreamOptions) {
    this.#response = response;
    this.#options = options;
    response.writeHead(STATUS_OK, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
    });
    response.flushHeaders();
    response.on("drain", () => this.#flush());
    response.once("close", () => this.#handleClose());
  }

  /** Adds a part. One that isn't of kind `text` ends the stream. */
  add(part: CallerResponse): void {
    if (this.#isEnded) return;
    const last = this.#buffered.at(-1);
    if (last?.kind === "text" && part.kind === "text") {
      this.#buffered.pop();
      this.#buffered.push({ ...last, text: last.text + part.text });
    } else {
      this.#buffered.push(part);
    }
    if (!this.#response.writableNeedDrain) this.#flush();
  }

  #flush(): void {
    const parts = this.#buffered;
    this.#buffered = [];
    for (const part of parts) {
      const events = this.#options.formatPart(part);
      this.#response.write(events.map(formatEvent).join(""));
      if (part.kind !== "text") return this.#end();
    }
  }

  #end(): void {
    this.#isEnded = true;
    this.#response.end();
  }

  #handleClose(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#options.onDisconnect();
  }
}

/** Opens the event stream of a request that Node's HTTP server received. */
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
