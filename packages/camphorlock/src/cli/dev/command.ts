/**
 * `camphorlock dev`: runs nodes and a deployment's stand-ins in one process.
 */
import type { Command } from "commander";
import { EXIT_CODES, printFailure } from "../exit_codes.ts";
import { waitForSignal } from "../wait_for_signal.ts";
import { startDevelopmentCluster } from "./development_cluster.ts";

const STOP_LIMIT_MS = 1_000;
const DEFAULT_NODES = "3";

interface DevOptions {
  readonly deployment: string;
  readonly nodes: string;
  readonly log: string;
}

/** Defines the command. */
export function defineDev(program: Command): void {
  program.command("dev")
    .description("runs nodes, engines, services and a platform on loopback")
    .option("--deployment <name>", "zincir or okonkwo", "zincir")
    .option("--nodes <count>", "number of nodes", DEFAULT_NODES)
    .option("--log <level>", "debug, info, warn or error", "warn")
    .action(runDevelopment);
}

async function runDevelopment(options: DevOptions): Promise<void> {
  const started = await startDevelopmentCluster({
    deployment: options.deployment,
    nodeCount: Number(options.nodes),
    logLevel: options.log,
  });
  if (started.isErr()) return printFailure(started.error, "usage");
  const { addresses, stop, model, service } = started.value;
  printExamples(addresses, { model, service });
  await waitForSignal();
  console.log("stopping");
  await stop(STOP_LIMIT_MS);
  process.exit(EXIT_CODES.done);
}

function printExamples(
  addresses: readonly string[],
  names: { readonly model: string; readonly service: string },
): void {
  const [first] = addresses;
  const json = "-H 'content-type: application/json'";
  console.log(
    `camphorlock runs at ${
      addresses.map((address) => `http://${address}`).join(" ")
    }

Create a program:
  curl -s ${json} http://${first}/v1/programs \\
    -d '{"partner":"zincir","agent":"quote","class":"short","budget_micros":1000000}'

Run a call of the program (P is the program's id):
  curl -N ${json} http://${first}/v1/programs/$P/calls \\
    -d '{"kind":"model","model":"${names.model}","messages":[{"role":"user","content":"quote 40 links"}],"stream":true}'

Run an operator's statement:
  npm run --silent camphorlock -- operate --node ${first} show nodes

SIGINT (Ctrl-C) stops all nodes.`,
  );
}
