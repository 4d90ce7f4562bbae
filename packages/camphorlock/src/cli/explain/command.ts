/**
 * `camphorlock explain`: shows the log lines of one request or program, or
 * counts how all requests ended.
 */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import {
  countOutcomes,
  filterLines,
  formatLine,
  type LineFilter,
  parseLogLines,
} from "./read_log.ts";

const COUNT_WIDTH = 7;

/** Defines the command. */
export function defineExplain(program: Command): void {
  program.command("explain")
    .description("shows how requests ended, from gateway logs")
    .argument("<log...>", "log files of gateways")
    .option("--request <id>", "the lines of one request, in order")
    .option("--program <id>", "the lines of one program, in order")
    .action((files: string[], filter: LineFilter) => {
      const text = files.map((file) => readFileSync(file, "utf8")).join("\n");
      const lines = filterLines(parseLogLines(text), filter);
      const hasId = filter.request !== undefined ||
        filter.program !== undefined;
      if (hasId) return lines.forEach((line) => console.log(formatLine(line)));
      for (const { name, reason, count, first } of countOutcomes(lines)) {
        const number = String(count).padStart(COUNT_WIDTH);
        const example = String(first.fields["request"] ?? "");
        console.log(`${number}  ${name}  ${reason}  first: ${example}`);
      }
    });
}
