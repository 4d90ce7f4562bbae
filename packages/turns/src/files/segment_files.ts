/**
 * The segment files of a folder: their names, creation, reading and removal.
 *
 * Names of files survive a loss of power only once their folder was synced.
 */
import { randomUUID } from "node:crypto";
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
} from "node:fs/promises";
import { join } from "node:path";
import { encodeHead, encodeRecord } from "./record_format.ts";

const NAME_PATTERN = /^turns-(\d{10})\.log$/;
const NUMBER_DIGITS = 10;

/** Builds the path of a segment. */
export function buildSegmentPath(folder: string, number: number): string {
  const digits = String(number).padStart(NUMBER_DIGITS, "0");
  return join(folder, `turns-${digits}.log`);
}

/** Creates a folder that is missing, as on a disk that was just formatted. */
export async function createMissingFolder(folder: string): Promise<void> {
  try {
    await readdir(folder);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== "ENOENT") throw error;
    await mkdir(folder, { recursive: true });
  }
}

/** Lists the numbers of a folder's segments in ascending order. */
export function listSegments(folder: string): Promise<number[]> {
  return listNumberedFiles(folder, NAME_PATTERN);
}

/** Lists the numbers in the names of files that match, in ascending order. */
export async function listNumberedFiles(
  folder: string,
  pattern: RegExp,
): Promise<number[]> {
  const entries = await readdir(folder, { withFileTypes: true });
  return entries.flatMap((entry) => {
    const match = pattern.exec(entry.name);
    return match === null || entry.isDirectory() ? [] : [Number(match[1])];
  }).sort((a, b) => a - b);
}

/** Reads a segment. */
export function readSegment(folder: string, number: number): Promise<Buffer> {
  return readFile(buildSegmentPath(folder, number));
}

/** Creates a segment whose name survives a loss of power. */
export async function createSegment(
  folder: string,
  number: number,
): Promise<FileHandle> {
  const file = await open(buildSegmentPath(folder, number), "wx");
  await flushFolder(folder);
  return file;
}

/** Cuts off an unfinished write and marks the segment as written to its end. */
export async function endSegment(
  folder: string,
  segment: { readonly number: number; readonly readableBytes: number },
): Promise<void> {
  const file = await open(buildSegmentPath(folder, segment.number), "r+");
  try {
    await file.truncate(segment.readableBytes);
    const head = segment.readableBytes === 0
      ? encodeHead(randomUUID())
      : Buffer.alloc(0);
    const ending = Buffer.concat([head, encodeRecord({ kind: "seal" })]);
    await file.write(ending, 0, ending.length, segment.readableBytes);
    await file.sync();
  } finally {
    await file.close();
  }
}

/** Removes a segment. */
export async function removeSegment(
  folder: string,
  number: number,
): Promise<void> {
  await rm(buildSegmentPath(folder, number), { force: true });
  await flushFolder(folder);
}

/** Replaces a small file at once; durable when the promise resolves. */
export async function saveFile(
  folder: string,
  name: string,
  text: string,
): Promise<void> {
  const path = join(folder, name);
  const file = await open(`${path}.new`, "w");
  try {
    await file.writeFile(text);
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(`${path}.new`, path);
  await flushFolder(folder);
}

/** Makes the names of a folder's files durable. */
export async function flushFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
