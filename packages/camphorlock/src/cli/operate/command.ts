/**
 * `camphorlock operate`: runs a statement of the operator language at a node.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Command } from "commander";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { request } from "undici";
import { printFailure } from "../exit_codes.ts";

/** Which node is asked, by whom, and how the answer is printed. */
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
      .argument("<statement...>", "for instance: show nodes"),
  ).action(async (words: string[], options: OperateOptions) => {
    await runStatement(words.join(" "), options);
  });
}

/** Adds the options of all commands that run a statement. */
export function addOperateOptions(command: Command): Command {
  return command
    .option("--node <host:port>", "the node to ask", "127.0.0.1:7400")
    .option("--by <partner/operator>", "who asks", "zincir/operator")
    .option("--json", "prints the answer's data");
}

/** Runs a statement and prints its answer. */
export async function runStatement(
  statement: string,
  options: OperateOptions,
): Promise<void> {
  const answer = await sendStatement(statement, options);
  if (answer.isErr()) {
    const isRefused = answer.error.name !== "PlatformUnavailable";
    return printFailure(answer.error, isRefused ? "failed" : "unreachable");
  }
  const { text, data } = answer.value;
  console.log(options.json === true ? JSON.stringify(data) : text);
}

function sendStatement(
  statement: string,
  options: OperateOptions,
): ResultAsync<OperateBody, Failure> {
  const sent = request(`http://${options.node}/v1/operate`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ statement, by: options.by }),
  });
  return ResultAsync.fromPromise(sent, createUnreachable)
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
