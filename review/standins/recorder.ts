/**
 * Writes what a case sent, what was answered and what was run to a file, one
 * line of JSON each, with the time since the start in ms.
 */
import { writeFileSync } from "node:fs";

/** The record of one run of a case. */
export class Recorder {
  readonly #startedAtMs = performance.now();
  readonly #lines: string[] = [];
  readonly #path: string;

  constructor(path: string) {
    this.#path = path;
  }

  /** Time since the start, in ms. */
  get elapsedMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Adds a line. */
  write(event: string, fields: object = {}): void {
    const atMs = Math.round(this.elapsedMs);
    this.#lines.push(JSON.stringify({ at_ms: atMs, event, ...fields }));
  }

  /** Writes the file; throws if it can't be written. */
  save(): void {
    writeFileSync(this.#path, this.#lines.join("\n") + "\n");
  }
}
