#!/usr/bin/env node
/**
 * The `camphorlock` command line. Each command has a folder of its own.
 */
import { Command } from "commander";
import { defineBench } from "./bench/command.ts";
import { defineCheckSettings } from "./check_settings/command.ts";
import { defineDev } from "./dev/command.ts";
import { defineDrain } from "./drain/command.ts";
import { defineExplain } from "./explain/command.ts";
import { defineOperate } from "./operate/command.ts";
import { defineScenario } from "./scenario/command.ts";
import { defineServe } from "./serve/command.ts";
import { defineShow } from "./show/command.ts";
import { defineTurns } from "./turns/command.ts";
import { VERSION } from "./version/version.ts";

const program = new Command("camphorlock")
  .description("A scheduler for agent programs")
  .version(VERSION, "--version", "prints the version");

defineServe(program);
defineDev(program);
defineCheckSettings(program);
defineExplain(program);
defineOperate(program);
defineShow(program);
defineDrain(program);
defineScenario(program);
defineBench(program);
defineTurns(program);
program.command("version")
  .description("prints the version")
  .action(() => console.log(VERSION));

await program.parseAsync();
