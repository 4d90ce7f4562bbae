/**
 * A mark of how much of the last segment was synced, in a file of its own.
 *
 * Recovery can't tell a segment that lost its end, or a last segment that is
 * gone, from one that was never written further. The mark is saved once a second
 * at most, so it may prove less than was synced, but never more.
 */
import { readFile, rm } from "node:fs/promises";
import { join } from "node:path";
import { flushFolder, saveFile } from "./segment_files.ts";

const FILE_NAME = "synced.json";

/** What is known to have been synced. */
export interface DurableMark {
  readonly segment: number;
  readonly bytes: number;
}

/** Loads the mark; undefined when there is none or it can't be read. */
export async function loadMark(
  folder: string,
): Promise<DurableMark | undefined> {
  try {
    const text = await readFile(join(folder, FILE_NAME), "utf8");
    const mark = JSON.parse(text) as Partial<DurableMark> | null;
    return Number.isSafeInteger(mark?.segment) &&
        Number.isSafeInteger(mark?.bytes)
      ? mark as DurableMark
      : undefined;
  } catch {
    // Without a mark, nothing is known to have been synced.
    return undefined;
  }
}

/** Saves the mark; it's durable when the promise resolves. */
export async function saveMark(
  folder: string,
  mark: DurableMark,
): Promise<void> {
  await saveFile(folder, FILE_NAME, JSON.stringify(mark));
}

/** Removes the mark of a segment that is about to be removed. */
export async function removeMark(
  folder: string,
  segment: number,
): Promise<void> {
  if ((await loadMark(folder))?.segment !== segment) return;
  await rm(join(folder, FILE_NAME), { force: true });
  await flushFolder(folder);
}
