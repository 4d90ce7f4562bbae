/**
 * The identity of a disk's contents, in a file of its own.
 *
 * A folder without it is new or was wiped. Only a disk that was there when the
 * system first started is complete from the beginning.
 */
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { saveFile } from "./segment_files.ts";

const FILE_NAME = "disk.json";

/** What a disk knows about itself. */
export interface DiskIdentity {
  readonly diskId: string;
  /** Whether the disk still holds everything that it ever acknowledged. */
  readonly isComplete: boolean;
  /** Whether it took the place of a disk whose copies were lost. */
  readonly hasPredecessor: boolean;
}

/** Loads the identity; undefined when there is none or it's damaged. */
export async function loadIdentity(
  folder: string,
): Promise<DiskIdentity | undefined> {
  try {
    const text = await readFile(join(folder, FILE_NAME), "utf8");
    const value = JSON.parse(text) as Partial<DiskIdentity> | null;
    return typeof value?.diskId === "string" &&
        typeof value.isComplete === "boolean"
      ? {
        diskId: value.diskId,
        isComplete: value.isComplete,
        hasPredecessor: value.hasPredecessor === true,
      }
      : undefined;
  } catch {
    // A missing or unreadable file means that nothing is known of this disk.
    return undefined;
  }
}

/** Creates an identity for a new folder. */
export function createIdentity(isComplete: boolean): DiskIdentity {
  return { diskId: randomUUID(), isComplete, hasPredecessor: false };
}

/** Saves the identity; it's durable when the promise resolves. */
export async function saveIdentity(
  folder: string,
  identity: DiskIdentity,
): Promise<void> {
  await saveFile(folder, FILE_NAME, JSON.stringify(identity));
}
