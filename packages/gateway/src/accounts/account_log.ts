/**
 * Log lines and counters for a home's decisions on turns.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { LogFields } from "@camphorlock/types";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { TurnRequest } from "../model/token_account.ts";
import type { FirstGrant } from "./first_allowance_granter.ts";

/** Dependencies of the log of a home. */
export interface AccountLogDependencies {
  readonly accounts: TokenAccounts;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** Writes the log lines and counters of one home. */
export class AccountLog {
  readonly #dependencies: AccountLogDependencies;

  constructor(dependencies: AccountLogDependencies) {
    this.#dependencies = dependencies;
  }

  writeAdmitted(turn: TurnRequest, grantedTokens: number): void {
    const { log, metrics } = this.#dependencies;
    metrics.add("turns_admitted");
    const fields = this.#buildFields(turn);
    log.write(EVENTS.TurnAdmitted, { ...fields, turn_granted: grantedTokens });
  }

  writeOverBudget(turn: TurnRequest): void {
    this.#dependencies.log.write(
      EVENTS.TurnOverBudget,
      this.#buildFields(turn),
    );
  }

  writeUnavailable(turn: TurnRequest, detail: string): void {
    const { log, metrics } = this.#dependencies;
    metrics.add("turns_without_allowance");
    const fields = this.#buildFields(turn);
    log.write(EVENTS.AccountUnavailable, { ...fields, detail });
  }

  /** Logs the decision on this home's request for a first allowance. */
  writeFirstAllowance(
    { programId, turnId }: TurnRequest,
    first: FirstGrant,
  ): void {
    const { log, metrics } = this.#dependencies;
    const isGranted = first.kind === "granted";
    metrics.add(isGranted ? "first_allowances" : "first_allowances_refused");
    log.write(EVENTS.AccountMet, {
      program: programId,
      request: turnId,
      outcome: isGranted ? "given" : first.reason,
      tokens: isGranted ? first.tokens : 0,
    });
  }

  #buildFields(turn: TurnRequest): LogFields {
    const account = this.#dependencies.accounts.find(turn.programId);
    return {
      request: turn.turnId,
      program: turn.programId,
      budget_tokens: turn.budgetTokens,
      turn_tokens: turn.turnTokens,
      is_running: turn.isRunning,
      allowed_tokens: account?.allowedTokens ?? 0,
      passed_tokens: account?.passedTokens ?? 0,
      granted_tokens: account?.grantedTokens ?? 0,
    };
  }
}
