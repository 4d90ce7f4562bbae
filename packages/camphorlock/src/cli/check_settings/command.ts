/**
 * `camphorlock check-settings`: checks settings files without starting a node.
 */
import type { Command } from "commander";
import { loadSettings } from "../../settings/load_settings.ts";
import { printFailure } from "../exit_codes.ts";

/** Defines the command. */
export function defineCheckSettings(program: Command): void {
  program.command("check-settings")
    .description("checks settings files and lists every error")
    .argument("<files...>", "settings files (TOML)")
    .option("--json", "prints the settings, defaults included, as JSON")
    .action((files: string[], options: { readonly json?: boolean }) => {
      for (const file of files) checkFile(file, options.json === true);
    });
}

function checkFile(file: string, json: boolean): void {
  const settings = loadSettings(file);
  if (settings.isErr()) return printFailure(settings.error, "usage");
  console.log(
    json ? JSON.stringify(settings.value, undefined, 2) : `${file}: valid`,
  );
}
