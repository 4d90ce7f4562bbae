/**
 * Splits the bytes of an event stream into whole events, so that a caller gets
 * no part of an event whose rest was lost.
 */

const LINE_FEED = 0x0a;
/** Longest event that is held; a longer one means that the stream is broken. */
const MAX_EVENT_BYTES = 262_144;
const ID_PATTERN = /^id: ?(\d+)\r?$/m;

/** One whole event. */
export interface StreamEvent {
  /** Number of the event; absent where it has none. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/** Splits one stream. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an unfinished event. */
  get restBytes(): number {
    return this.#rest.length;
  }

  /** Whether an event is longer than any valid one. */
  get isOverlong(): boolean {
    return this.#rest.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes and takes the events that they complete. */
  take(chunk: Uint8Array): StreamEvent[] {
    const bytes = this.#rest.length === 0
      ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
      : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, 0); end > 0;) {
      events.push(createEvent(bytes.subarray(start, end)));
      start = end;
      end = findEventEnd(bytes, start);
    }
    this.#rest = Buffer.from(bytes.subarray(start));
    return events;
  }
}

/** Finds the end of the event that begins at `start`; 0 when it isn't whole. */
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
