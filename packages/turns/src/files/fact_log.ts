/**
 * Keeps facts on the disk, for when all processes that have them in memory are
 * lost at the same moment.
 *
 * The load: hundreds of short facts a second, few of which are ever asked for.
 * No save waits for the disk: lines are written and synced together a few times
 * a second, and those of a disk that hangs, fails or is full are dropped beyond
 * a limit. Each line has a checksum; one that was torn or damaged is left out, so
 * that its fact is unknown, never wrong. When the file has grown, a new one
 * begins with what is still known.
 */
import { createHash } from "node:crypto";
import { type FileHandle, open, readFile, rm } from "node:fs/promises";
import { join } from "node:path";
import type { CopiedFact } from "@camphorlock/facts";
import { flushFolder, listNumberedFiles } from "./segment_files.ts";

const NAME_PATTERN = /^facts-(\d+)\.log$/;
/** A larger file is replaced by one with the facts that are still known. */
const MAX_FILE_BYTES = 8 * 1_024 * 1_024;
/** Lines that wait for the disk; more are dropped. */
const MAX_WAITING_BYTES = 1_024 * 1_024;
const CHECKSUM_LENGTH = 8;

/** A fact as it's written, with the time of its save in Unix milliseconds. */
interface StoredFact extends Omit<CopiedFact, "ageMs"> {
  readonly savedAtUnixMs: number;
}

/** Dependencies of the log. */
export interface FactLogOptions {
  readonly folder: string;
  /** Lists the facts that are known, for a new file. */
  readonly listFacts: () => readonly CopiedFact[];
  /** Told once when lines begin to be dropped, and why. */
  readonly reportFailure: (detail: string) => void;
  readonly readUnixMs?: () => number;
}

/** The facts on one disk. */
export class FactLog {
  readonly #options: FactLogOptions;
  #file: FileHandle | undefined;
  #number: number;
  #fileBytes = 0;
  #lines: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #hasFailed = false;

  constructor(options: FactLogOptions, number: number) {
    this.#options = options;
    this.#number = number;
  }

  /** Adds a fact to the next write. */
  append(fact: CopiedFact): void {
    const line = this.#encode(fact);
    if (this.#waitingBytes + line.length > MAX_WAITING_BYTES) {
      return this.#recordFailure("the disk doesn't keep up");
    }
    this.#lines.push(line);
    this.#waitingBytes += line.length;
  }

  /** Writes and syncs what waits, unless a write is under way. Never rejects. */
  async flush(): Promise<void> {
    if (this.#isWriting || this.#lines.length === 0) return;
    this.#isWriting = true;
    try {
      if (this.#file === undefined || this.#fileBytes > MAX_FILE_BYTES) {
        await this.#startFile();
      }
      const text = this.#takeLines();
      await this.#file?.appendFile(text);
      await this.#file?.datasync();
      this.#fileBytes += text.length;
      this.#hasFailed = false;
    } catch (error) {
      this.#recordFailure(String(error));
    } finally {
      this.#isWriting = false;
    }
  }

  /** Closes the file; what waits is lost. */
  async close(): Promise<void> {
    const file = this.#file;
    this.#file = undefined;
    await file?.close().catch(() => {
      // The file is closed at the end of the process in any case.
    });
  }

  /** Starts a file with all known facts, and removes the ones before. */
  async #startFile(): Promise<void> {
    const { folder, listFacts } = this.#options;
    const number = this.#number + 1;
    const text = listFacts().map((fact) => this.#encode(fact)).join("");
    const file = await open(join(folder, `facts-${number}.log`), "w");
    try {
      await file.appendFile(text);
      await file.datasync();
      await flushFolder(folder);
    } catch (error) {
      await file.close();
      throw error;
    }
    await this.#file?.close();
    this.#file = file;
    this.#number = number;
    this.#fileBytes = text.length;
    for (const each of await listNumberedFiles(folder, NAME_PATTERN)) {
      if (each < number) {
        await rm(join(folder, `facts-${each}.log`), { force: true });
      }
    }
  }

  #takeLines(): string {
    const text = this.#lines.join("");
    this.#lines = [];
    this.#waitingBytes = 0;
    return text;
  }

  #encode({ ageMs, ...fact }: CopiedFact): string {
    const nowMs = this.#options.readUnixMs?.() ?? Date.now();
    const stored: StoredFact = {
      ...fact,
      lifetimeMs: fact.lifetimeMs + ageMs,
      savedAtUnixMs: nowMs - ageMs,
    };
    const text = JSON.stringify(stored);
    return `${computeChecksum(text)} ${text}\n`;
  }

  #recordFailure(detail: string): void {
    if (this.#hasFailed) return;
    this.#hasFailed = true;
    this.#options.reportFailure(detail);
  }
}

/** Opens the log of a folder; returns the facts that haven't expired, too. */
export async function openFactLog(
  options: FactLogOptions,
): Promise<{ readonly log: FactLog; readonly facts: readonly CopiedFact[] }> {
  const { folder } = options;
  const nowMs = options.readUnixMs?.() ?? Date.now();
  const numbers = await listNumberedFiles(folder, NAME_PATTERN);
  const texts = await Promise.all(
    numbers.map((each) =>
      readFile(join(folder, `facts-${each}.log`), "utf8").catch(() => {
        // Unreadable facts are unknown.
        return "";
      })
    ),
  );
  const facts = texts.flatMap((text) => decodeLines(text, nowMs));
  return { log: new FactLog(options, Math.max(0, ...numbers)), facts };
}

function decodeLines(text: string, nowMs: number): CopiedFact[] {
  return text.split("\n").flatMap((line) => {
    const [checksum = ""] = line.split(" ", 1);
    const body = line.slice(checksum.length + 1);
    if (body === "" || computeChecksum(body) !== checksum) return [];
    const { savedAtUnixMs, ...fact }: StoredFact = JSON.parse(body);
    // A clock that was set back must not make a fact last longer.
    const ageMs = Math.max(0, nowMs - savedAtUnixMs);
    const lifetimeMs = fact.lifetimeMs - ageMs;
    return lifetimeMs > 0 ? [{ ...fact, lifetimeMs, ageMs }] : [];
  });
}

function computeChecksum(text: string): string {
  return createHash("sha256").update(text).digest("hex")
    .slice(0, CHECKSUM_LENGTH);
}
