/**
 * Decodes a stream of server-sent events into the data of each event.
 */
import { StringDecoder } from "node:string_decoder";

const DATA_FIELD = "data:";
const MAX_LINE_CHARACTERS = 1024 * 1024;

/** Incremental decoder of server-sent events of one `data` line each. */
export class EventStreamDecoder {
  readonly #decoder = new StringDecoder("utf8");
  #partialLine = "";

  /**
   * Decodes the next bytes and returns the data of each completed event, or
   * `undefined` when a line is longer than `MAX_LINE_CHARACTERS`.
   */
  append(bytes: Uint8Array): string[] | undefined {
    const text = this.#partialLine + this.#decoder.write(bytes);
    const lines = text.split("\n");
    this.#partialLine = lines.pop() ?? "";
    if (this.#partialLine.length > MAX_LINE_CHARACTERS) return undefined;
    const events: string[] = [];
    for (const line of lines) {
      if (line.startsWith(DATA_FIELD)) {
        events.push(line.slice(DATA_FIELD.length).trim());
      }
    }
    return events;
  }
}
