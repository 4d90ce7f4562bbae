/**
 * Runs operators' statements on this node.
 */
import type { OperateAnswer, OperateRequest } from "@camphorlock/callers";
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  isConfigurationSubject,
  listConfigurationRows,
  parseStatement,
  renderTable,
  type Row,
  runQuery,
} from "@camphorlock/operators";
import type { NodeCore, NodeInput } from "@camphorlock/scheduler";
import type {
  ChangeCommand,
  ConfigurationValue,
  OperatorName,
  Partner,
  ProgramView,
  Revision,
  ShowCommand,
} from "@camphorlock/types";
import { PARTNERS } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { type ChangeReport, ChangeWaiters } from "./change_waiters.ts";

/** What statements are run with. */
export interface OperationsOptions {
  readonly core: NodeCore;
  readonly processName: string;
  readonly handle: (input: NodeInput) => void;
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
        return this.#show(value);
      case "stop_program":
        return await this.#options.stopProgram(value.programId);
      case "change":
        return await this.#change(value.change, {
          text: request.statement,
          by: by.value,
          ...(value.ifRevision === undefined
            ? {}
            : { ifRevision: value.ifRevision }),
        });
      default: {
        const detail = `${value.kind} isn't served by this node yet`;
        return err(createFailure("StatementInvalid", detail));
      }
    }
  }

  #show(command: ShowCommand): Result<OperateAnswer, Failure> {
    return this.#listRows(command)
      .andThen((rows) => runQuery(command, rows))
      .map((table) => ({ text: renderTable(table), data: table }));
  }

  #listRows(command: ShowCommand): Result<readonly Row[], Failure> {
    const { core } = this.#options;
    const value = this.#getValue(command.asOf);
    if (value.isErr()) return err(value.error);
    if (isConfigurationSubject(command.subject)) {
      return ok(listConfigurationRows(value.value, command.subject));
    }
    switch (command.subject) {
      case "programs":
        return ok(core.listPrograms().map(buildProgramRow));
      case "nodes":
        return ok(
          core.getView().nodes.map((node) => ({
            node: node.spec.vmId,
            region: node.spec.region,
            domain: node.spec.failureDomain,
            state: node.state,
            revision: node.revision,
          })),
        );
      default: {
        const detail = `${command.subject} aren't served by this node yet`;
        return err(createFailure("StatementInvalid", detail));
      }
    }
  }

  #getValue(asOf?: Revision): Result<ConfigurationValue, Failure> {
    const { core } = this.#options;
    return asOf === undefined
      ? ok(core.configuration)
      : core.getConfigurationAsOf(asOf);
  }

  async #change(
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

/** Builds the row of a program. */
function buildProgramRow(program: ProgramView): Row {
  const { spec } = program;
  return {
    program: spec.programId,
    partner: spec.partner,
    team: spec.team,
    agent: spec.agent,
    class: spec.programClass,
    state: program.state,
    calls: program.calls,
    running: program.running,
    budget: spec.budgetMicros,
    spent: program.spentMicros,
    reserved: program.reservedMicros,
  };
}
