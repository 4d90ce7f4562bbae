/**
 * Decodes a stream of server-sent events into the data of each event, by
 * `eventsource-parser`, which follows the standard.
 */
import { StringDecoder } from "node:string_decoder";
import { createParser } from "eventsource-parser";

/** Longest line or event; a longer one is malformed. */
const MAX_BUFFERED_CHARACTERS = 1024 * 1024;

/** Incremental decoder of server-sent events. */
export class EventStreamDecoder {
  readonly #decoder = new StringDecoder("utf8");
  #events: string[] = [];
  #isOverlong = false;
  readonly #parser = createParser({
    maxBufferSize: MAX_BUFFERED_CHARACTERS,
    onEvent: ({ data }) => this.#events.push(data),
    onError: ({ type }) => {
      if (type === "max-buffer-size-exceeded") this.#isOverlong = true;
    },
  });

  /**
   * Decodes the next bytes and returns the data of each completed event, or
   * `undefined` when an event is longer than `MAX_BUFFERED_CHARACTERS`.
   */
  append(bytes: Uint8Array): string[] | undefined {
    if (this.#isOverlong) return undefined;
    this.#events = [];
    this.#parser.feed(this.#decoder.write(bytes));
    return this.#isOverlong ? undefined : this.#events;
  }
}
