/**
 * Exit codes of the command line. docs/OPERATORS.md lists them.
 */
import type { Failure } from "@camphorlock/codes";

/** What the process's exit code says. */
export const EXIT_CODES = {
  done: 0,
  /** The command ran and its answer is a failure. */
  failed: 1,
  /** The command line or a settings file is wrong. */
  usage: 2,
  /** The node or the platform can't be reached. */
  unreachable: 3,
} as const;

/** The name of an exit code. */
export type ExitName = keyof typeof EXIT_CODES;

/** Prints a failure to standard error and sets the exit code. */
export function printFailure(failure: Failure, exit: ExitName): void {
  console.error(`error ${failure.code} ${failure.name}: ${failure.detail}`);
  process.exitCode = EXIT_CODES[exit];
}
