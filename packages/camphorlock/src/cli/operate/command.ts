/**
 * `camphorlock operate`: runs a statement of the operator language on a node.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Command } from "commander";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { request } from "undici";
import { printFailure } from "../exit_codes.ts";

/** The node that runs the statement, the operator, and the output format. */
export interface OperateOptions {
  readonly node: string;
  readonly by: string;
  readonly json?: boolean;
}

interface OperateBody {
  readonly text: string;
  readonly data: unknown;
}

interface FailureBody {
  readonly error: Failure;
}

/** Defines the command. */
export function defineOperate(program: Command): void {
  addOperateOptions(
    program.command("operate")
      .description("runs a statement of the operator language")
      .argument("<statement...>", "for example: show nodes"),
  ).action(async (words: string[], options: OperateOptions) => {
    await runStatement(words.join(" "), options);
  });
}

/** Adds the options shared by all commands that run a statement. */
export function addOperateOptions(command: Command): Command {
  return command
    .option(
      "--node <host:port>",
      "the node that runs the statement",
      "127.0.0.1:7400",
    )
    .option(
      "--by <partner/operator>",
      "the operator who runs it",
      "zincir/operator",
    )
    .option("--json", "prints the response's data as JSON");
}

/** Runs a statement and prints the response. */
export async function runStatement(
  statement: string,
  options: OperateOptions,
): Promise<void> {
  const response = await sendStatement(statement, options);
  if (response.isErr()) {
    const isRefused = response.error.name !== "PlatformUnavailable";
    return printFailure(response.error, isRefused ? "failed" : "unreachable");
  }
  const { text, data } = response.value;
  console.log(options.json === true ? JSON.stringify(data) : text);
}

function sendStatement(
  statement: string,
  options: OperateOptions,
): ResultAsync<OperateBody, Failure> {
  const pending = request(`http://${options.node}/v1/operate`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ statement, by: options.by }),
  });
  return ResultAsync.fromPromise(pending, createUnreachable)
    .andThen(({ statusCode, body }) =>
      ResultAsync.fromPromise(body.json(), createUnreachable)
        .andThen((json) => {
          if (statusCode === 200) return okAsync(json as OperateBody);
          return errAsync((json as FailureBody).error);
        })
    );
}

function createUnreachable(error: unknown): Failure {
  return createFailure("PlatformUnavailable", String(error));
}
