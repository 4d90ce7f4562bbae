/**
 * Splits a stream of server-sent events into the data of each event.
 */
import { StringDecoder } from "node:string_decoder";

const DATA_FIELD = "data:";
const MAX_LINE_CHARACTERS = 1024 * 1024;

/** Decodes server-sent events of one `data` line each, as they arrive. */
export class EventLines {
  readonly #decoder = new StringDecoder("utf8");
  #rest = "";

  /**
   * Takes the next bytes and returns the data of each event that's whole;
   * `undefined` when a line is longer than any event may be.
   */
  append(bytes: Uint8Array): string[] | undefined {
    const text = this.#rest + this.#decoder.write(bytes);
    const lines = text.split("\n");
    this.#rest = lines.pop() ?? "";
    if (this.#rest.length > MAX_LINE_CHARACTERS) return undefined;
    const events: string[] = [];
    for (const line of lines) {
      if (line.startsWith(DATA_FIELD)) {
        events.push(line.slice(DATA_FIELD.length).trim());
      }
    }
    return events;
  }
}
