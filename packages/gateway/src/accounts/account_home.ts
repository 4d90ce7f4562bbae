/**
 * One gateway as the home of token accounts: decides on turns, and sees to it
 * that it has an allowance before it grants any of it.
 *
 * The first allowance of a program comes from the holder of the program's
 * shard, without a write to the store. Any other is taken from the program's
 * record. A turn for which there's neither is refused as not run.
 */
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import { computeFirstAllowance } from "../decisions/first_allowances.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { TurnAnswer, TurnRequest } from "../model/token_account.ts";
import type { ObjectStore } from "../ports.ts";
import { AccountLog } from "./account_log.ts";
import { AllowanceRecords } from "./allowance_records.ts";

/** Time after which a home says that it waits for others. */
const PENDING_AFTER_MS = 60;
/** Allowances that one question may wait for; other turns use some of them. */
const MAX_ALLOWANCES = 8;
/** How long accounts of programs without turns are kept. */
const KEEP_ACCOUNTS_MS = 300_000;

/** What a home works with. */
export interface AccountHomeParts {
  readonly accounts: TokenAccounts;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Asks the holder of a program's shard for its first allowance. */
  readonly callHolder: (programId: string) => Promise<boolean>;
}

/** The home role of one gateway. */
export class AccountHome {
  readonly #parts: AccountHomeParts;
  readonly #records: AllowanceRecords;
  readonly #log: AccountLog;
  /** Decisions under way, by turn. */
  readonly #deciding = new Map<string, Promise<TurnAnswer>>();
  /** Allowances under way, by program. */
  readonly #allowing = new Map<string, Promise<string | undefined>>();

  constructor(parts: AccountHomeParts) {
    this.#parts = parts;
    this.#records = new AllowanceRecords(parts);
    this.#log = new AccountLog(parts);
  }

  /** Decides on a turn. A question that is asked again joins the first. */
  open(turn: TurnRequest): Promise<TurnAnswer> {
    const running = this.#deciding.get(turn.turnId) ?? this.#start(turn);
    let timer: NodeJS.Timeout | undefined;
    const pending = new Promise<TurnAnswer>((resolve) => {
      timer = setTimeout(
        () => resolve({ kind: "pending" }),
        PENDING_AFTER_MS,
      );
    });
    return Promise.race([running, pending]).finally(() => clearTimeout(timer));
  }

  /** Ends a turn. */
  close(programId: string, turnId: string, passedTokens: number): void {
    this.#parts.accounts.close(programId, turnId, passedTokens);
  }

  removeUnused(nowMs: number): void {
    this.#parts.accounts.removeUnused(nowMs - KEEP_ACCOUNTS_MS);
    this.#records.removeUnused(nowMs - KEEP_ACCOUNTS_MS);
  }

  #start(turn: TurnRequest): Promise<TurnAnswer> {
    const decision = this.#settle(turn)
      .finally(() => this.#deciding.delete(turn.turnId));
    this.#deciding.set(turn.turnId, decision);
    return decision;
  }

  async #settle(turn: TurnRequest): Promise<TurnAnswer> {
    const { accounts } = this.#parts;
    for (let allowances = 0;; allowances += 1) {
      const decision = accounts.open(turn, performance.now());
      switch (decision.kind) {
        case "admitted":
          this.#log.writeAdmitted(turn, decision.grantedTokens);
          return decision;
        case "over_budget":
          this.#log.writeOverBudget(turn);
          void this.#records.saveSpent(turn.programId, turn.budgetTokens);
          return decision;
        case "needs_allowance": {
          const detail = allowances < MAX_ALLOWANCES
            ? await this.#startAllowing(turn, decision.missingTokens)
            : "other turns of the program use up what is taken";
          if (detail === undefined) continue;
          this.#log.writeUnavailable(turn, detail);
          return { kind: "unavailable" };
        }
      }
    }
  }

  /** Gets an allowance, one at a time; a text says why there's none. */
  #startAllowing(
    turn: TurnRequest,
    missingTokens: number,
  ): Promise<string | undefined> {
    const { programId } = turn;
    const running = this.#allowing.get(programId);
    if (running !== undefined) return running;
    const allowing = this.#reserveAllowance(turn, missingTokens)
      .finally(() => this.#allowing.delete(programId));
    this.#allowing.set(programId, allowing);
    return allowing;
  }

  async #reserveAllowance(
    turn: TurnRequest,
    missingTokens: number,
  ): Promise<string | undefined> {
    const { programId, budgetTokens } = turn;
    const { accounts, callHolder } = this.#parts;
    if (accounts.takeFirstQuestion(programId)) {
      const isGiven = await callHolder(programId);
      this.#log.writeFirst(turn, isGiven);
      if (isGiven) {
        const tokens = computeFirstAllowance(budgetTokens);
        accounts.addAllowance(programId, tokens);
        return undefined;
      }
    }
    const wanted = { programId, budgetTokens, missingTokens };
    const taken = await this.#records.take(wanted);
    switch (taken.kind) {
      case "taken":
        accounts.addAllowance(programId, taken.tokens);
        return undefined;
      case "exhausted":
        if (!taken.isSpent) return "other homes have the rest of the budget";
        accounts.setSpent(programId);
        return turn.isRunning ? "the program was stopped before" : undefined;
      case "unavailable":
        return taken.detail;
    }
  }
}
