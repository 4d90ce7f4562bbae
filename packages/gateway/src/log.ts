/**
 * Structured log lines on standard output, written in batches.
 *
 * Lines wait in memory until the next flush. When the output doesn't keep up,
 * lines beyond a bound are dropped and counted, so that no request ever waits
 * for the log.
 */
import type { EventData } from "@camphorlock/codes/events";
import { EVENTS } from "@camphorlock/codes/events";
import type { LogFields } from "@camphorlock/types";

/** Lines that may wait for the output. */
const MAX_WAITING_LINES = 2_000;

/** Where lines go: standard output, or a list in tests. */
export interface LogOutput {
  /** Writes text; calls back when it may be given more. */
  write(text: string, handleWritten: () => void): void;
}

/** Writes the log of one process. */
export class GatewayLog {
  readonly #output: LogOutput;
  readonly #vmId: string;
  #lines: string[] = [];
  #dropped = 0;
  #isWriting = false;

  constructor(output: LogOutput, vmId: string) {
    this.#output = output;
    this.#vmId = vmId;
  }

  /** Adds a line. */
  write(event: EventData, fields: LogFields): void {
    if (this.#lines.length >= MAX_WAITING_LINES) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(this.#format(event, fields));
  }

  /**
   * Hands the waiting lines to the output, unless it's still busy. Returns how
   * many lines were dropped since the last time.
   */
  writeWaiting(): number {
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
    this.#isWriting = true;
    this.#output.write(text, () => this.#isWriting = false);
    return dropped;
  }

  #format(event: EventData, fields: LogFields): string {
    return JSON.stringify({
      at: new Date().toISOString(),
      level: event.level,
      event: event.event,
      name: event.name,
      vm: this.#vmId,
      ...fields,
    }) + "\n";
  }
}
