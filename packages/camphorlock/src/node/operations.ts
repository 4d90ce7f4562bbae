/**
 * Runs operators' statements on this node.
 */
import type { OperateAnswer, OperateRequest } from "@camphorlock/callers";
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
import { type ChangeReport, ChangeWaiters } from "./change_waiters.ts";

/** What statements are run with. */
export interface OperationsOptions {
  readonly core: NodeCore;
  readonly processName: string;
  readonly handle: (input: NodeInput) => void;
  /** Finds the charge of an ended call in its program's history. */
  readonly findCharge: (callId: CallId) => Promise<Result<Charge, Failure>>;
  /** Reads the published charges of some days. */
  readonly buildStatement: (
    command: StatementCommand,
  ) => Promise<Result<OperateAnswer, Failure>>;
  /** Ends a program as its caller would. */
  readonly stopProgram: (
    programId: string,
  ) => Promise<Result<OperateAnswer, Failure>>;
}

/** The operators' side of a node. */
export class Operations {
  readonly waiters = new ChangeWaiters();
  readonly #options: OperationsOptions;
  #changes = 0;
  #numbers = 0;

  constructor(options: OperationsOptions) {
    this.#options = options;
  }

  /** Runs one statement. */
  async run(request: OperateRequest): Promise<Result<OperateAnswer, Failure>> {
    const command = parseStatement(request.statement);
    if (command.isErr()) return err(command.error);
    const by = parseOperator(request.by);
    if (by.isErr()) return err(by.error);
    const { value } = command;
    switch (value.kind) {
      case "show":
        return await this.#answerShow(value);
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
        return await this.#answerCall(value.callId);
      case "explain_charge":
        return await this.#answerCharge(value.callId);
      case "explain_program":
        return await this.#answerProgram(value.programId);
      case "statement":
        return await this.#options.buildStatement(value);
      default:
        return checkNever(value);
    }
  }

  async #answerShow(
    command: ShowCommand,
  ): Promise<Result<OperateAnswer, Failure>> {
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
    const value = this.#getValue(asOf);
    if (value.isErr()) return err(value.error);
    if (isConfigurationSubject(subject)) {
      const rows = listConfigurationRows(value.value, subject);
      return ok({ rows, note: "" });
    }
    switch (subject) {
      case "programs":
      case "nodes":
      case "shards":
        return ok(await this.#listFromNodes({ kind: subject }));
      case "calls":
      case "changes": {
        const detail = `show ${subject}: name one with explain instead`;
        return err(createFailure("StatementInvalid", detail));
      }
      default:
        return checkNever(subject);
    }
  }

  /** Asks every node; those that don't answer in time are named. */
  async #listFromNodes(query: NodeQuery): Promise<ListedRows> {
    this.#numbers += 1;
    const requestId = `${this.#options.processName}-query-${this.#numbers}`;
    const waiting = this.waiters.waitRows(requestId);
    this.#options.handle({ kind: "query", requestId, query });
    const { rows, missing } = await waiting;
    const note = missing.length === 0
      ? ""
      : `\nno answer from: ${missing.join(", ")}`;
    return { rows, note };
  }

  /** Explains a call by the decisions that nodes made for it. */
  async #answerCall(callId: CallId): Promise<Result<OperateAnswer, Failure>> {
    const { rows, note } = await this.#listFromNodes({
      kind: "decisions",
      callId,
    });
    if (rows.length === 0) {
      const detail = `no node holds decisions for ${callId}${note}`;
      return err(createFailure("CallUnknown", detail));
    }
    const lines = rows.map(buildDecisionLine)
      .sort((left, right) => left.atMs - right.atMs);
    const explanation = { subject: `call ${callId}`, lines };
    const text = `${renderExplanation(explanation)}${note}`;
    return ok({ text, data: explanation });
  }

  async #answerCharge(
    callId: CallId,
  ): Promise<Result<OperateAnswer, Failure>> {
    const found = await this.#options.findCharge(callId);
    return found.map((charge) => {
      const { core } = this.#options;
      const explanation = buildChargeExplanation(charge, core.configuration);
      return { text: renderExplanation(explanation), data: explanation };
    });
  }

  async #answerProgram(
    programId: ProgramId,
  ): Promise<Result<OperateAnswer, Failure>> {
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

  #getValue(asOf?: Revision): Result<ConfigurationValue, Failure> {
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
  ): Promise<Result<OperateAnswer, Failure>> {
    this.#changes += 1;
    const requestId = `${this.#options.processName}-change-${this.#changes}`;
    const waiting = this.waiters.wait(requestId);
    const atMs = Date.now();
    this.#options.handle({ kind: "change", requestId, change, atMs, ...order });
    const report = await waiting;
    return report.map((data) => ({ text: renderReport(data), data }));
  }
}

/** Renders what became of a change. */
function renderReport(report: ChangeReport): string {
  const accepted = `accepted at revision ${report.revision}`;
  if (report.inForce !== undefined) {
    const { elapsedMs, nodes } = report.inForce;
    const names = nodes.join(", ");
    return `${accepted}; in force after ${Math.round(elapsedMs)} ms ` +
      `on ${nodes.length} nodes: ${names}`;
  }
  const missing = report.missing?.join(", ") ?? "";
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
  /** Says which nodes are left out, if any. */
  readonly note: string;
}

/** A decision as it's explained. */
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
