/**
 * Builds statements of account from the charges that the platform stores, and
 * finds single charges in the histories of programs.
 */
import type { OperateResponse } from "@camphorlock/callers";
import { createFailure, type Failure } from "@camphorlock/codes";
import { renderStatement } from "@camphorlock/operators";
import type { PlatformClient } from "@camphorlock/objects";
import {
  buildCharge,
  buildStatement,
  type ChargeBatch,
  decodeBatch,
} from "@camphorlock/scheduler";
import type {
  CallerRequest,
  CallerResponse,
  CallId,
  Charge,
  ConfigurationValue,
  ProgramSpec,
  StatementCommand,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";

const CHARGE_PREFIX = "charge/";
const LIST_LIMIT = 1_000;

/** Reads every published batch of charges. */
export async function readBatches(
  platform: PlatformClient,
): Promise<Result<ChargeBatch[], Failure>> {
  const batches: ChargeBatch[] = [];
  let after: string | undefined;
  for (;;) {
    const listed = await platform.call({
      kind: "list",
      prefix: CHARGE_PREFIX,
      limit: LIST_LIMIT,
      ...(after === undefined ? {} : { after }),
    });
    if (listed.kind !== "listed") return err(createUnavailable("list charges"));
    for (const { key } of listed.keys) {
      const read = await platform.call({ kind: "get", key });
      if (read.kind === "absent") continue;
      if (read.kind !== "found") return err(createUnavailable(key));
      const batch = decodeBatch(read.object.value);
      if (batch.isErr()) return err(batch.error);
      batches.push(batch.value);
    }
    after = listed.keys.at(-1)?.key;
    if (listed.keys.length < LIST_LIMIT || after === undefined) break;
  }
  return ok(batches);
}

/** Builds a partner's statement from the published charges. */
export async function readStatement(
  platform: PlatformClient,
  command: StatementCommand,
): Promise<Result<OperateResponse, Failure>> {
  const batches = await readBatches(platform);
  return batches.map((read) => {
    const statement = buildStatement(read, command);
    return { text: renderStatement(statement), data: statement };
  });
}

/** Submits a request like a caller and returns its final response. */
export type SendRequest = (request: CallerRequest) => Promise<CallerResponse>;

/** Finds the charge of an ended call in its program's history. */
export async function findCharge(
  callId: CallId,
  configuration: ConfigurationValue,
  send: SendRequest,
): Promise<Result<Charge, Failure>> {
  const [programId = ""] = callId.split(".");
  const shown = await send({ kind: "show_program", programId });
  const read = await send({ kind: "read_history", programId });
  if (shown.kind !== "program" || read.kind !== "history") {
    return err(createFailure("CallUnknown", callId));
  }
  const item = read.items.find((each) => each.callId === callId);
  if (item === undefined || item.outcome.status === "not_run") {
    return err(createFailure("CallUnknown", `${callId} has no charge`));
  }
  const spec: ProgramSpec = shown.program.spec;
  const { chargeMicros: micros, agreementRevision: revision } = item.outcome;
  const endedAtMs = item.endedAtMs;
  return ok(
    buildCharge(configuration, { callId, spec, micros, endedAtMs, revision }),
  );
}

function createUnavailable(detail: string): Failure {
  return createFailure("PlatformUnavailable", detail);
}
