/**
 * Runs operators' statements on this node.
 */
import type { OperateRequest, OperateResponse } from "@camphorlock/callers";
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  buildChargeExplanation,
  isConfigurationSubject,
  listConfigurationRows,
  parseStatement,
  renderExplanation,
  renderTable,
  type Row,
  runQuery,
} from "@camphorlock/operators";
import type { NodeCore, NodeInput } from "@camphorlock/scheduler";
import {
  type CallId,
  type ChangeCommand,
  type Charge,
  checkNever,
  type ConfigurationValue,
  type LogFields,
  type NodeQuery,
  type OperatorName,
  type Partner,
  PARTNERS,
  type ProgramId,
  type QueryRow,
  type Revision,
  type ShowCommand,
  type StatementCommand,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { type ChangeResult, OperationWaiters } from "./operation_waiters.ts";

/** The core and the functions that run statements. */
export interface OperationsOptions {
  readonly core: NodeCore;
  readonly processName: string;
  readonly handle: (input: NodeInput) => void;
  /** Finds the charge of an ended call in its program's history. */
  readonly findCharge: (callId: CallId) => Promise<Result<Charge, Failure>>;
  /** Builds a statement of account from the published charges. */
  readonly buildStatement: (
    command: StatementCommand,
  ) => Promise<Result<OperateResponse, Failure>>;
  /** Ends a program as its caller would. */
  readonly stopProgram: (
    programId: string,
  ) => Promise<Result<OperateResponse, Failure>>;
}

/** Runs statements and waits for their results. */
export class Operations {
  readonly waiters = new OperationWaiters();
  readonly #options: OperationsOptions;
  #changeCount = 0;
  #queryCount = 0;

  constructor(options: OperationsOptions) {
    this.#options = options;
  }

  /** Runs one statement. */
  async run(
    request: OperateRequest,
  ): Promise<Result<OperateResponse, Failure>> {
    const command = parseStatement(request.statement);
    if (command.isErr()) return err(command.error);
    const by = parseOperator(request.by);
    if (by.isErr()) return err(by.error);
    const { value } = command;
    switch (value.kind) {
      case "show":
        return await this.#runShow(value);
      case "stop_program":
        return await this.#options.stopProgram(value.programId);
      case "change":
        return await this.#runChange(value.change, {
          text: request.statement,
          by: by.value,
          ...(value.ifRevision === undefined
            ? {}
            : { ifRevision: value.ifRevision }),
        });
      case "explain_call":
        return await this.#runExplainCall(value.callId);
      case "explain_charge":
        return await this.#runExplainCharge(value.callId);
      case "explain_program":
        return await this.#runExplainProgram(value.programId);
      case "statement":
        return await this.#options.buildStatement(value);
      default:
        return checkNever(value);
    }
  }

  async #runShow(
    command: ShowCommand,
  ): Promise<Result<OperateResponse, Failure>> {
    const rows = await this.#listRows(command);
    return rows.andThen(({ rows: listed, note }) =>
      runQuery(command, listed).map((table) => ({
        text: `${renderTable(table)}${note}`,
        data: table,
      }))
    );
  }

  async #listRows(
    command: ShowCommand,
  ): Promise<Result<ListedRows, Failure>> {
    const { subject, asOf } = command;
    const configuration = this.#getConfiguration(asOf);
    if (configuration.isErr()) return err(configuration.error);
    if (isConfigurationSubject(subject)) {
      const rows = listConfigurationRows(configuration.value, subject);
      return ok({ rows, note: "" });
    }
    switch (subject) {
      case "programs":
      case "nodes":
      case "shards":
        return ok(await this.#listFromNodes({ kind: subject }));
      case "calls":
      case "changes": {
        const detail = `show ${subject}: not listed; use explain call ID`;
        return err(createFailure("StatementInvalid", detail));
      }
      default:
        return checkNever(subject);
    }
  }

  /** Queries every node. The note names those that don't respond in time. */
  async #listFromNodes(query: NodeQuery): Promise<ListedRows> {
    this.#queryCount += 1;
    const requestId = `${this.#options.processName}-query-${this.#queryCount}`;
    const pending = this.waiters.waitRows(requestId);
    this.#options.handle({ kind: "query", requestId, query });
    const { rows, missing } = await pending;
    const note = missing.length === 0
      ? ""
      : `\nno response from: ${missing.join(", ")}`;
    return { rows, note };
  }

  /** Explains a call by the decisions that the nodes recorded for it. */
  async #runExplainCall(
    callId: CallId,
  ): Promise<Result<OperateResponse, Failure>> {
    const { rows, note } = await this.#listFromNodes({
      kind: "decisions",
      callId,
    });
    if (rows.length === 0) {
      const detail = `no node has decisions for ${callId}${note}`;
      return err(createFailure("CallUnknown", detail));
    }
    const lines = rows.map(buildDecisionLine)
      .sort((left, right) => left.atMs - right.atMs);
    const explanation = { subject: `call ${callId}`, lines };
    const text = `${renderExplanation(explanation)}${note}`;
    return ok({ text, data: explanation });
  }

  async #runExplainCharge(
    callId: CallId,
  ): Promise<Result<OperateResponse, Failure>> {
    const found = await this.#options.findCharge(callId);
    return found.map((charge) => {
      const { core } = this.#options;
      const explanation = buildChargeExplanation(charge, core.configuration);
      return { text: renderExplanation(explanation), data: explanation };
    });
  }

  async #runExplainProgram(
    programId: ProgramId,
  ): Promise<Result<OperateResponse, Failure>> {
    const { rows, note } = await this.#listFromNodes({ kind: "programs" });
    const row = rows.find((each) => each.program === programId);
    if (row === undefined) {
      const detail = `program ${programId}${note}`;
      return err(createFailure("ProgramUnknown", detail));
    }
    const lines = [{ what: "program", fields: row }];
    const explanation = { subject: `program ${programId}`, lines };
    return ok({ text: renderExplanation(explanation), data: explanation });
  }

  #getConfiguration(asOf?: Revision): Result<ConfigurationValue, Failure> {
    const { core } = this.#options;
    return asOf === undefined
      ? ok(core.configuration)
      : core.getConfigurationAsOf(asOf);
  }

  async #runChange(
    change: ChangeCommand,
    order: {
      readonly text: string;
      readonly by: OperatorName;
      readonly ifRevision?: Revision;
    },
  ): Promise<Result<OperateResponse, Failure>> {
    this.#changeCount += 1;
    const requestId =
      `${this.#options.processName}-change-${this.#changeCount}`;
    const pending = this.waiters.waitChange(requestId);
    const atMs = Date.now();
    this.#options.handle({ kind: "change", requestId, change, atMs, ...order });
    const result = await pending;
    return result.map((data) => ({ text: renderChangeResult(data), data }));
  }
}

/** Renders the result of a change. */
function renderChangeResult(result: ChangeResult): string {
  const accepted = `accepted at revision ${result.revision}`;
  if (result.inForce !== undefined) {
    const { elapsedMs, nodes } = result.inForce;
    const names = nodes.join(", ");
    return `${accepted}; in force after ${Math.round(elapsedMs)} ms ` +
      `on ${nodes.length} nodes: ${names}`;
  }
  const missing = result.missing?.join(", ") ?? "";
  return `${accepted}; not yet reported by: ${missing}`;
}

/** Parses `partner/operator`. */
function parseOperator(by: string): Result<OperatorName, Failure> {
  const [partner, operator] = by.split("/");
  if (isPartner(partner) && operator !== undefined && operator !== "") {
    return ok({ partner, operator });
  }
  const detail = `by: found ${by}; expected partner/operator`;
  return err(createFailure("BodyInvalid", detail));
}

function isPartner(name: string | undefined): name is Partner {
  return PARTNERS.some((partner) => partner === name);
}

interface ListedRows {
  readonly rows: readonly Row[];
  /** Names the nodes whose rows are missing; empty if none are. */
  readonly note: string;
}

/** One line of a call's explanation. */
interface DecisionLine {
  readonly atMs: number;
  readonly what: string;
  readonly fields: LogFields;
}

function buildDecisionLine(row: QueryRow): DecisionLine {
  const fields = JSON.parse(String(row.fields)) as LogFields;
  return {
    atMs: Number(row.atMs),
    what: String(row.what),
    fields: { node: String(row.node), ...fields },
  };
}
