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

  /** Writes that a turn was admitted, and what that rests on. */
  writeAdmitted(
    turn: TurnRequest,
    basis: "recorded" | "ahead_of_record",
  ): void {
    const { log, metrics } = this.#parts;
    metrics.add("turns_admitted");
    if (basis === "ahead_of_record") {
      metrics.add("turns_admitted_ahead_of_record");
    }
    log.write(EVENTS.TurnAdmitted, { ...this.#buildFields(turn), basis });
  }

  writeOverBudget(turn: TurnRequest): void {
    this.#parts.log.write(EVENTS.TurnOverBudget, this.#buildFields(turn));
  }

  writeUnavailable(turn: TurnRequest, detail: string): void {
    this.#parts.log.write(EVENTS.AccountUnavailable, {
      ...this.#buildFields(turn),
      detail,
    });
  }

  /** Writes what a new account begins with. */
  writeMet({ programId, turnId }: TurnRequest, mayBeKnown: boolean): void {
    const { accounts, log } = this.#parts;
    const account = accounts.find(programId);
    log.write(EVENTS.AccountMet, {
      program: programId,
      request: turnId,
      is_assumed: account?.isAssumed ?? false,
      earlier_tokens: account?.earlierTokens ?? 0,
      may_be_known_elsewhere: mayBeKnown,
      is_loss_possible: accounts.isLossPossible(performance.now()),
    });
  }

  #buildFields(turn: TurnRequest): LogFields {
    const account = this.#parts.accounts.find(turn.programId);
    const turns = account?.turns ?? [];
    const sum = (isOpen: boolean) =>
      turns.filter((each) => each.isOpen === isOpen)
        .reduce((total, { tokens }) => total + tokens, 0);
    return {
      request: turn.turnId,
      program: turn.programId,
      budget_tokens: turn.budgetTokens,
      turn_tokens: turn.turnTokens,
      passed_tokens: sum(false),
      open_tokens: sum(true),
      earlier_tokens: account?.earlierTokens ?? 0,
      recorded_tokens: account?.recordedTokens ?? 0,
      is_assumed: account?.isAssumed ?? false,
    };
  }
}
