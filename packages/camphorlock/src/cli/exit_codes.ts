/**
 * Exit codes of the command line. docs/OPERATORS.md lists them.
 */
import type { Failure } from "@camphorlock/codes";

/** The exit code for each result of a command. */
export const EXIT_CODES = {
  done: 0,
  /** The command ran and failed. */
  failed: 1,
  /** The command line or a settings file is invalid. */
  usage: 2,
  /** The node or the platform can't be reached. */
  unreachable: 3,
} as const;

/** The name of an exit code. */
export type ExitCodeName = keyof typeof EXIT_CODES;

/** Prints a failure to standard error and sets the exit code. */
export function printFailure(failure: Failure, exitName: ExitCodeName): void {
  console.error(`error ${failure.code} ${failure.name}: ${failure.detail}`);
  process.exitCode = EXIT_CODES[exitName];
}
