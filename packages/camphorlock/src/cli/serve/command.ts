/**
 * `camphorlock serve`: runs one node.
 */
import type { Command } from "commander";
import { NodeProcess } from "../../node/node_process.ts";
import type { Failure } from "@camphorlock/codes";
import type { NodeOptions } from "@camphorlock/scheduler";
import { ok, type Result } from "neverthrow";
import { loadConfiguration } from "../../settings/configuration_file.ts";
import { loadSettings } from "../../settings/load_settings.ts";
import { printFailure } from "../exit_codes.ts";
import type { NodeSettings } from "../../settings/schema.ts";
import { waitForSignal } from "../wait_for_signal.ts";

const STOP_LIMIT_MS = 120_000;

/** Defines the command. */
export function defineServe(program: Command): void {
  program.command("serve")
    .description("runs one node until SIGINT or SIGTERM")
    .requiredOption("--settings <file>", "the node's settings (TOML)")
    .action(async (options: { readonly settings: string }) => {
      const settings = loadSettings(options.settings);
      if (settings.isErr()) return printFailure(settings.error, "usage");
      const initial = loadFirstConfiguration(settings.value);
      if (initial.isErr()) return printFailure(initial.error, "usage");
      const node = new NodeProcess({
        settings: settings.value,
        ...(initial.value === undefined ? {} : { initial: initial.value }),
      });
      const started = await node.start();
      if (started.isErr()) return printFailure(started.error, "failed");
      await waitForSignal();
      await node.stop(STOP_LIMIT_MS);
    });
}

/** Loads the first configuration if the settings name its file. */
function loadFirstConfiguration(
  settings: NodeSettings,
): Result<NodeOptions["initial"], Failure> {
  const file = settings.installation.first_configuration;
  if (file === undefined) return ok(undefined);
  const by = { partner: "zincir", operator: "first-configuration" } as const;
  return loadConfiguration(file)
    .map((value) => ({ value, by, atMs: Date.now() }));
}
