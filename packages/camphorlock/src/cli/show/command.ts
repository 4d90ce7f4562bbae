/**
 * `camphorlock show`: shorthand for `camphorlock operate show`.
 */
import type { Command } from "commander";
import { addOperateOptions, runStatement } from "../operate/command.ts";

/** Defines the command. */
export function defineShow(program: Command): void {
  addOperateOptions(
    program.command("show")
      .description("shows a table of the operator language")
      .argument("<query...>", "for example: programs where state = open"),
  ).action(async (words: string[], options) => {
    await runStatement(`show ${words.join(" ")}`, options);
  });
}
