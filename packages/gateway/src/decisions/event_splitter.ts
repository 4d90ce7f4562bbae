/**
 * Splits the bytes of an event stream into complete events, so that a caller
 * never receives part of an event whose remainder was lost.
 *
 * The load: events of any size that arrive in pieces of any size. Each byte is
 * searched and copied a bounded number of times, also where a long event arrives
 * byte by byte.
 */
import { GrowingBuffer } from "@camphorlock/http/exchange";

const LINE_FEED = 0x0a;
/** Longest buffered event; a longer one means that the stream is malformed. */
const MAX_EVENT_BYTES = 262_144;
/** Longest mark of an event's end. */
const MAX_END_BYTES = 3;
const DATA_FIELD = "data:";
const ID_PATTERN = /^id: ?(\d+)\r?$/m;

/** One complete event. */
export interface StreamEvent {
  /** Number of the event; undefined if it has none. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/** Splits one stream. */
export class EventSplitter {
  readonly #remainder = new GrowingBuffer();

  /** Number of buffered bytes of an incomplete event. */
  get bufferedBytes(): number {
    return this.#remainder.length;
  }

  /** Whether the incomplete event is longer than any valid one. */
  get isOverlong(): boolean {
    return this.#remainder.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes and returns the events that they complete. */
  append(chunk: Uint8Array): StreamEvent[] {
    const searchedBytes = this.#remainder.length;
    if (searchedBytes > 0) this.#remainder.append(chunk);
    const bytes = searchedBytes > 0
      ? this.#remainder.view()
      : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
    const events: StreamEvent[] = [];
    let start = 0;
    const searchAt = Math.max(0, searchedBytes - MAX_END_BYTES + 1);
    for (let end = findEventEnd(bytes, searchAt); end > 0;) {
      events.push(createEvent(bytes.subarray(start, end)));
      start = end;
      end = findEventEnd(bytes, start);
    }
    // Otherwise the remainder has all bytes.
    if (start > 0 || searchedBytes === 0) {
      this.#remainder.reset();
      this.#remainder.append(bytes.subarray(start));
    }
    return events;
  }
}

/**
 * Reads the data of an event: the values of its `data` lines, joined by line
 * feeds.
 */
export function readEventData({ bytes }: StreamEvent): Buffer {
  const values = bytes.toString("latin1").split(/\r?\n/)
    .filter((line) => line === "data" || line.startsWith("data:"))
    .map((line) => line.slice(DATA_FIELD.length).replace(/^ /, ""));
  return Buffer.from(values.join("\n"), "latin1");
}

/** Finds the first end of an event from `start` on; 0 if there is none. */
function findEventEnd(bytes: Buffer, start: number): number {
  for (
    let at = bytes.indexOf(LINE_FEED, start);
    at >= 0;
    at = bytes.indexOf(LINE_FEED, at + 1)
  ) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return 0;
}

function createEvent(bytes: Buffer): StreamEvent {
  const match = ID_PATTERN.exec(bytes.toString("latin1"));
  return { id: match === null ? undefined : Number(match[1]), bytes };
}
