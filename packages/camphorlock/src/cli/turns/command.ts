/**
 * `camphorlock turns`: checks the folder of a disk that keeps turns, without
 * changing it.
 */
import { checkFolder, type FolderReport } from "@camphorlock/turns";
import type { Command } from "commander";
import { EXIT_CODES } from "../exit_codes.ts";

/** Ids that one line of the report names. */
const MAX_NAMED = 10;

/** Defines the command. */
export function defineTurns(program: Command): void {
  program.command("turns")
    .description("checks the folder of a disk that keeps turns")
    .argument("<folder>", "the data folder of the disk's process")
    .option("--json", "prints the report as JSON")
    .action(runCheck);
}

async function runCheck(
  folder: string,
  { json }: { readonly json?: boolean },
): Promise<void> {
  let report: FolderReport;
  try {
    report = await checkFolder(folder);
  } catch (error) {
    console.error(
      `${folder} can't be read (${String(error)}); name a disk's data folder`,
    );
    process.exitCode = EXIT_CODES.usage;
    return;
  }
  console.log(
    json === true ? JSON.stringify(report) : formatReport(report).join("\n"),
  );
  const isDamaged = report.damage.length > 0 || report.orphans.length > 0;
  if (isDamaged) process.exitCode = EXIT_CODES.failed;
}

/** Formats a report as lines of text. */
export function formatReport(report: FolderReport): string[] {
  const { identity, segments, turns, chains, orphans, damage } = report;
  const state = identity?.isComplete === true
    ? "complete"
    : "not complete: its word that a turn is absent proves nothing";
  return [
    identity === undefined
      ? "disk: unknown; the folder is new, wiped or not a disk's"
      : `disk: ${identity.diskId}, ${state}`,
    ...segments.map(({ number, bytes, turns: count }) =>
      `segment ${number}: ${bytes} bytes, ${count} turns`
    ),
    `turns: ${turns}, of which ${chains} start a chain`,
    `unfinished last write: ${report.unfinishedBytes} bytes`,
    `turns without their ancestors: ${formatIds(orphans)}`,
    ...damage.map((each) => `damage: ${each}`),
  ];
}

function formatIds(ids: readonly string[]): string {
  if (ids.length === 0) return "none";
  const named = ids.slice(0, MAX_NAMED).join(", ");
  return ids.length > MAX_NAMED ? `${ids.length}: ${named}, ...` : named;
}
