#!/usr/bin/env node
/**
 * The `camphorlock` command line: one folder for each command.
 */
import { Command } from "commander";
import { defineCheckSettings } from "./check_settings/command.ts";
import { defineDev } from "./dev/command.ts";
import { defineOperate } from "./operate/command.ts";
import { defineServe } from "./serve/command.ts";
import { VERSION } from "./version/version.ts";

const program = new Command("camphorlock")
  .description("A scheduler for agent programs")
  .version(VERSION, "--version", "prints the version");

defineServe(program);
defineDev(program);
defineCheckSettings(program);
defineOperate(program);
program.command("version")
  .description("prints the version")
  .action(() => console.log(VERSION));

await program.parseAsync();
