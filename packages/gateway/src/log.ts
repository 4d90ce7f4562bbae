/**
 * Structured log lines on standard output, written in batches.
 *
 * Lines are buffered in memory until the next flush. When the output doesn't
 * keep up, lines beyond a limit are dropped and counted, so that no request
 * waits for the log.
 */
import type { EventDefinition } from "@camphorlock/codes/events";
import { EVENTS } from "@camphorlock/codes/events";
import type { LogFields } from "@camphorlock/types";

/** Maximum number of buffered lines. */
const MAX_BUFFERED_LINES = 2_000;
/**
 * Maximum characters of the buffered lines, a kilobyte a line: 2,000 lines with
 * ids of callers as long as a head may be would take 32 MB.
 */
const MAX_BUFFERED_CHARS = 2_000_000;
/** Longer values, for instance a caller's id that fills its head, are cut. */
const MAX_VALUE_CHARS = 2_000;

/** The destination of log lines: standard output, or a list in tests. */
export interface LogOutput {
  /** Writes text; calls `handleWritten` when the output accepts more. */
  write(text: string, handleWritten: () => void): void;
}

/** Writes the log of one process. */
export class GatewayLog {
  readonly #output: LogOutput;
  readonly #vmId: string;
  #lines: string[] = [];
  #bufferedChars = 0;
  #dropped = 0;
  #isWriting = false;

  constructor(output: LogOutput, vmId: string) {
    this.#output = output;
    this.#vmId = vmId;
  }

  /** Buffers a line, or drops it when the buffer is full. */
  write(event: EventDefinition, fields: LogFields): void {
    if (
      this.#lines.length >= MAX_BUFFERED_LINES ||
      this.#bufferedChars >= MAX_BUFFERED_CHARS
    ) {
      this.#dropped += 1;
      return;
    }
    const line = this.#format(event, fields);
    this.#bufferedChars += line.length;
    this.#lines.push(line);
  }

  /**
   * Writes the buffered lines, unless the output is still busy. Returns the
   * number of lines dropped since the last write.
   */
  flush(): number {
    if (this.#isWriting) return 0;
    const dropped = this.#dropped;
    this.#dropped = 0;
    if (dropped > 0) {
      const fields = { lines: dropped };
      this.#lines.push(this.#format(EVENTS.LogLinesDropped, fields));
    }
    if (this.#lines.length === 0) return dropped;
    const text = this.#lines.join("");
    this.#lines = [];
    this.#bufferedChars = 0;
    this.#isWriting = true;
    this.#output.write(text, () => this.#isWriting = false);
    return dropped;
  }

  #format(event: EventDefinition, fields: LogFields): string {
    return JSON.stringify({
      at: new Date().toISOString(),
      level: event.level,
      event: event.event,
      name: event.name,
      vm: this.#vmId,
      ...fields,
    }, formatValue) + "\n";
  }
}

function formatValue(_key: string, value: unknown): unknown {
  if (typeof value !== "string" || value.length <= MAX_VALUE_CHARS) {
    return value;
  }
  return `${value.slice(0, MAX_VALUE_CHARS)}...`;
}
