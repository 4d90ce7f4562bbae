/**
 * The log lines and counters of a home's decisions on turns.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { LogFields } from "@camphorlock/types";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { TurnRequest } from "../model/token_account.ts";

/** What the lines are written from. */
export interface AccountLogParts {
  readonly accounts: TokenAccounts;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** Writes the lines of one home. */
export class AccountLog {
  readonly #parts: AccountLogParts;

  constructor(parts: AccountLogParts) {
    this.#parts = parts;
  }

  writeAdmitted(turn: TurnRequest, grantedTokens: number): void {
    const { log, metrics } = this.#parts;
    metrics.add("turns_admitted");
    const fields = this.#buildFields(turn);
    log.write(EVENTS.TurnAdmitted, { ...fields, turn_granted: grantedTokens });
  }

  writeOverBudget(turn: TurnRequest): void {
    this.#parts.log.write(EVENTS.TurnOverBudget, this.#buildFields(turn));
  }

  writeUnavailable(turn: TurnRequest, detail: string): void {
    const { log, metrics } = this.#parts;
    metrics.add("turns_without_allowance");
    const fields = this.#buildFields(turn);
    log.write(EVENTS.AccountUnavailable, { ...fields, detail });
  }

  /** Writes whether a program's first allowance was given to this home. */
  writeFirst({ programId, turnId }: TurnRequest, isGiven: boolean): void {
    const { log, metrics } = this.#parts;
    if (isGiven) metrics.add("first_allowances");
    log.write(EVENTS.AccountMet, {
      program: programId,
      request: turnId,
      has_first_allowance: isGiven,
    });
  }

  #buildFields(turn: TurnRequest): LogFields {
    const account = this.#parts.accounts.find(turn.programId);
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
