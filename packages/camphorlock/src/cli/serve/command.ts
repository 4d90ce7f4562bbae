/**
 * `camphorlock serve`: runs one node.
 */
import type { Command } from "commander";
import { NodeProcess } from "../../node/node_process.ts";
import { loadSettings } from "../../settings/load_settings.ts";
import { printFailure } from "../exit_codes.ts";
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
      const node = new NodeProcess({ settings: settings.value });
      const started = await node.start();
      if (started.isErr()) return printFailure(started.error, "failed");
      await waitForSignal();
      await node.stop(STOP_LIMIT_MS);
    });
}
