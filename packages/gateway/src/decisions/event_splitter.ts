/**
 * Splits the bytes of an event stream into complete events, so that a caller
 * never receives part of an event whose remainder was lost.
 *
 * What counts as an event is what `eventsource-parser` dispatches, which follows
 * https://html.spec.whatwg.org/multipage/server-sent-events.html: a block of
 * lines with data, ended by an empty line. The library returns no bytes, so this
 * module finds the blocks, and events are forwarded as they arrived. Comments
 * and empty lines belong to a stream, too, but aren't events. Whatever else
 * isn't an event is dropped: an id without data would change the event from
 * which a caller resumes.
 *
 * The load: events of any size that arrive in pieces of any size, and bytes
 * without events and without end. Each byte is searched and copied a bounded
 * number of times.
 */
import { GrowingBuffer } from "@camphorlock/http/exchange";
import { createParser, type EventSourceMessage } from "eventsource-parser";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);
const DATA_FIELD = Buffer.from("data");
const DATA_BYTES = DATA_FIELD.length;
/** Longest event with what precedes it; a longer one is malformed. */
const MAX_EVENT_BYTES = 262_144;
const NUMBER_PATTERN = /^\d+$/;

/** One complete event. */
export interface StreamEvent {
  readonly kind: "event";
  /** Number of the event; undefined if its id isn't one. */
  readonly id: number | undefined;
  /** The values of its `data` lines, joined by line feeds, as Latin-1. */
  readonly data: string;
  readonly bytes: Buffer;
}

/** Comments and empty lines between events. */
export interface StreamFiller {
  readonly kind: "filler";
  readonly bytes: Buffer;
}

/** A part of a stream that may be forwarded. */
export type StreamPart = StreamEvent | StreamFiller;

/** What a stream ended with. */
export type StreamEnd =
  | { readonly kind: "complete"; readonly rest: Buffer }
  | { readonly kind: "within_event" };

/** Splits one stream. */
export class EventSplitter {
  /** The bytes of the block that isn't complete yet. */
  readonly #block = new GrowingBuffer();
  /** Offset in the block of the line that isn't complete yet. */
  #lineStart = 0;
  #endsWithReturn = false;
  #hasData = false;
  /** Whether the block has had only comments and empty lines. */
  #isFiller = true;
  #isFirstBlock = true;
  #bytesSinceEvent = 0;
  #droppedBytes = 0;
  readonly #parsed: EventSourceMessage[] = [];
  readonly #parser = createParser({
    onEvent: (event) => void this.#parsed.push(event),
  });

  /** Number of buffered bytes of an incomplete block. */
  get bufferedBytes(): number {
    return this.#block.length;
  }

  /** Number of bytes that were neither of events nor filler. */
  get droppedBytes(): number {
    return this.#droppedBytes;
  }

  /** Whether more bytes arrived without an event than any valid one has. */
  get isOverlong(): boolean {
    return this.#bytesSinceEvent > MAX_EVENT_BYTES;
  }

  /**
   * Adds bytes; yields the events that they complete, and what's between. All
   * must be taken before the next call, unless the stream is given up.
   */
  *append(chunk: Uint8Array): Generator<StreamPart> {
    const searchedBytes = this.#block.length;
    if (searchedBytes > 0) this.#block.append(chunk);
    const bytes = searchedBytes > 0
      ? this.#block.view()
      : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
    this.#bytesSinceEvent += chunk.length;
    /** Where the block begins that isn't complete yet. */
    let start = 0;
    /** Where the filler begins that ends at the block; there may be none. */
    let fillerStart = 0;
    for (let at = searchedBytes; at < bytes.length; at += 1) {
      const byte = bytes[at];
      const followsReturn = this.#endsWithReturn;
      this.#endsWithReturn = byte === CARRIAGE_RETURN;
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) continue;
      if (byte === LINE_FEED && followsReturn) {
        // The rest of a line's end that came with an earlier chunk.
        this.#lineStart = at + 1 - start;
        continue;
      }
      const lineStart = this.#lineStart + start;
      const isEmpty = at === lineStart;
      if (!isEmpty) this.#checkLine(bytes, lineStart, at);
      if (this.#endsWithReturn && bytes[at + 1] === LINE_FEED) {
        this.#endsWithReturn = false;
        at += 1;
      }
      const end = at + 1;
      this.#lineStart = end - start;
      if (!isEmpty) continue;
      if (!this.#isFiller) {
        yield* buildFiller(bytes.subarray(fillerStart, start));
        const event = this.#hasData
          ? this.#parse(bytes.subarray(start, end))
          : undefined;
        if (event === undefined) this.#droppedBytes += end - start;
        else {
          this.#bytesSinceEvent = bytes.length - end;
          yield event;
        }
        fillerStart = end;
      }
      start = end;
      this.#startBlock();
    }
    yield* buildFiller(bytes.subarray(fillerStart, start));
    // Otherwise the block has all bytes.
    if (start > 0 || searchedBytes === 0) {
      this.#block.reset();
      this.#block.append(bytes.subarray(start));
    }
  }

  /** Ends the stream; what is left may be comments, or part of an event. */
  end(): StreamEnd {
    const rest = this.#block.view();
    const line = rest.subarray(this.#lineStart);
    const isFiller = this.#isFiller &&
      (line.length === 0 || line[0] === COLON);
    return isFiller ? { kind: "complete", rest } : { kind: "within_event" };
  }

  #startBlock(): void {
    this.#lineStart = 0;
    this.#hasData = false;
    this.#isFiller = true;
    this.#isFirstBlock = false;
  }

  /** Checks whether a complete line is a comment, or may be data. */
  #checkLine(bytes: Buffer, lineStart: number, end: number): void {
    const isFirst = this.#isFirstBlock && this.#lineStart === 0;
    const start = isFirst ? findTextStart(bytes, lineStart) : lineStart;
    if (bytes[start] === COLON) return;
    this.#isFiller = false;
    if (bytes[start] !== DATA_FIELD[0]) return;
    const field = bytes.subarray(start, Math.min(end, start + DATA_BYTES));
    this.#hasData ||= field.equals(DATA_FIELD);
  }

  /** Parses a block; undefined if it's no event. */
  #parse(bytes: Buffer): StreamEvent | undefined {
    // Latin-1 keeps every byte.
    const text = bytes.toString("latin1");
    // After a return, the parser waits for a line feed.
    this.#parser.feed(text.endsWith("\r") ? `${text}\n` : text);
    const parsed = this.#parsed.pop();
    if (parsed === undefined) return undefined;
    const { id = "", data } = parsed;
    const number = NUMBER_PATTERN.test(id) ? Number(id) : undefined;
    return { kind: "event", id: number, data, bytes };
  }
}

function buildFiller(bytes: Buffer): StreamFiller[] {
  return bytes.length > 0 ? [{ kind: "filler", bytes }] : [];
}

/** Finds the first byte after a byte order mark, if there is one. */
function findTextStart(bytes: Buffer, start: number): number {
  const end = start + BYTE_ORDER_MARK.length;
  return bytes.subarray(start, end).equals(BYTE_ORDER_MARK) ? end : start;
}
