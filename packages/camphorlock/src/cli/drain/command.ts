/**
 * `camphorlock drain`: takes a target or a VM out of service.
 */
import type { Command } from "commander";
import { addOperateOptions, runStatement } from "../operate/command.ts";

/** Defines the command. */
export function defineDrain(program: Command): void {
  addOperateOptions(
    program.command("drain")
      .description("takes a target or a VM out of service")
      .argument("<kind>", "target or vm")
      .argument("<name>", "name of the target or VM"),
  ).action(async (kind: string, name: string, options) => {
    await runStatement(`drain ${kind} ${name}`, options);
  });
}
