/**
 * `camphorlock explain`: shows from the logs what became of a request or a
 * program, or how requests ended in all.
 */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import {
  filterLines,
  formatLine,
  type LineFilter,
  parseLogLines,
  sumEnds,
} from "./read_log.ts";

const COUNT_WIDTH = 7;

/** Defines the command. */
export function defineExplain(program: Command): void {
  program.command("explain")
    .description("shows from gateway logs how requests ended")
    .argument("<log...>", "files with the log lines of gateways")
    .option("--request <id>", "the lines of one request, in order")
    .option("--program <id>", "the lines of one program, in order")
    .action((files: string[], filter: LineFilter) => {
      const text = files.map((file) => readFileSync(file, "utf8")).join("\n");
      const lines = filterLines(parseLogLines(text), filter);
      const isOne = filter.request !== undefined ||
        filter.program !== undefined;
      if (isOne) return lines.forEach((line) => console.log(formatLine(line)));
      for (const { name, reason, count, first } of sumEnds(lines)) {
        const number = String(count).padStart(COUNT_WIDTH);
        const example = String(first.fields["request"] ?? "");
        console.log(`${number}  ${name}  ${reason}  first: ${example}`);
      }
    });
}
