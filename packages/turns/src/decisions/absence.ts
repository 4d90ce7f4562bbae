/**
 * Decides whether a turn certainly doesn't exist.
 *
 * A kept turn has copies on one disk more than may be lost at once. If all
 * disks but that many, each with continuous contents, don't hold it, then no
 * disk ever did. A disk that is new, wiped or damaged proves nothing until it
 * has copied what its predecessor may have held.
 */
import type { DiskInfo, LossTolerance } from "../model/turn_disk.ts";
import { countMaxLost } from "./disk_choice.ts";

/** The answer of one disk that doesn't hold a turn. */
export interface AbsenceAnswer {
  readonly diskId: string;
  /** Whether the disk still holds everything that it ever acknowledged. */
  readonly isComplete: boolean;
}

/** Whether the answers of registered disks prove that a turn doesn't exist. */
export function isAbsenceProven(
  answers: readonly AbsenceAnswer[],
  { disks, tolerance }: {
    /** Every registered disk, read from the store after the question. */
    readonly disks: readonly DiskInfo[];
    readonly tolerance: LossTolerance;
  },
): boolean {
  const complete = new Set(
    answers.filter(({ isComplete }) => isComplete).map(({ diskId }) => diskId),
  );
  const witnesses = disks.filter(({ diskId }) => complete.has(diskId)).length;
  return witnesses > 0 &&
    witnesses >= disks.length - countMaxLost(disks, tolerance);
}

/** Counts the sources that a new disk must copy before it's complete. */
export function countRequiredSources(
  others: readonly DiskInfo[],
  { hasPredecessor, tolerance }: {
    /** Whether the disk took the place of a registered one. */
    readonly hasPredecessor: boolean;
    readonly tolerance: LossTolerance;
  },
): number {
  const members = others.length + (hasPredecessor ? 1 : 0);
  return Math.max(0, members - countMaxLost(others, tolerance));
}
