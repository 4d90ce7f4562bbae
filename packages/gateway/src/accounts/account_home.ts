/**
 * The home role of one gateway for token accounts: decides on turns, and
 * acquires an allowance before it grants tokens from it.
 *
 * The holder of a program's shard grants the first allowance in parts, without a
 * write to the store. Every further allowance is acquired by a write to the
 * program's record in the store. If neither is available, the turn is refused
 * and doesn't run.
 */
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type {
  TurnDecision,
  TurnRequest,
  TurnResponse,
} from "../model/token_account.ts";
import type { ObjectStore } from "../ports.ts";
import { AccountLog } from "./account_log.ts";
import { AllowanceRecords } from "./allowance_records.ts";
import type {
  FirstGrant,
  FirstGrantRequest,
} from "./first_allowance_granter.ts";

/** Time after which a home responds that its decision is pending. */
const PENDING_AFTER_MS = 60;
/** Maximum allowances per request; other turns use some of them. */
const MAX_ALLOWANCES_PER_REQUEST = 8;
/** Retention time of accounts whose programs have no turns. */
const ACCOUNT_RETENTION_MS = 300_000;

/** Dependencies of a home. */
export interface AccountHomeDependencies {
  readonly accounts: TokenAccounts;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Requests a part of a first allowance from the holder of its shard. */
  readonly acquireFirstAllowance: (
    request: FirstGrantRequest,
  ) => Promise<FirstGrant>;
}

type NeededAllowance = Extract<TurnDecision, { kind: "needs_allowance" }>;

/** The home role of one gateway. */
export class AccountHome {
  readonly #dependencies: AccountHomeDependencies;
  readonly #records: AllowanceRecords;
  readonly #log: AccountLog;
  /** Decisions in flight, by turn. */
  readonly #pendingDecisions = new Map<string, Promise<TurnResponse>>();
  /** Allowances in flight, by program. */
  readonly #pendingAllowances = new Map<string, Promise<string | undefined>>();

  constructor(dependencies: AccountHomeDependencies) {
    this.#dependencies = dependencies;
    this.#records = new AllowanceRecords(dependencies);
    this.#log = new AccountLog(dependencies);
  }

  /** Decides on a turn. A repeated request joins the decision in flight. */
  open(turn: TurnRequest): Promise<TurnResponse> {
    const inFlight = this.#pendingDecisions.get(turn.turnId) ??
      this.#startDecision(turn);
    let timer: NodeJS.Timeout | undefined;
    const pending = new Promise<TurnResponse>((resolve) => {
      timer = setTimeout(
        () => resolve({ kind: "pending" }),
        PENDING_AFTER_MS,
      );
    });
    return Promise.race([inFlight, pending]).finally(() => clearTimeout(timer));
  }

  /** Ends a turn. */
  close(programId: string, turnId: string, passedTokens: number): void {
    this.#dependencies.accounts.close(programId, turnId, passedTokens);
  }

  removeUnused(nowMs: number): void {
    this.#dependencies.accounts.removeUnused(nowMs - ACCOUNT_RETENTION_MS);
    this.#records.removeUnused(nowMs - ACCOUNT_RETENTION_MS);
  }

  #startDecision(turn: TurnRequest): Promise<TurnResponse> {
    const decision = this.#settleTurn(turn)
      .finally(() => this.#pendingDecisions.delete(turn.turnId));
    this.#pendingDecisions.set(turn.turnId, decision);
    return decision;
  }

  async #settleTurn(turn: TurnRequest): Promise<TurnResponse> {
    const { accounts } = this.#dependencies;
    for (let allowances = 0;; allowances += 1) {
      const decision = accounts.open(turn, performance.now());
      switch (decision.kind) {
        case "admitted":
          this.#log.writeAdmitted(turn, decision.grantedTokens);
          return accounts.hasOtherTurns(turn.programId, turn.turnId)
            ? { ...decision, hasEarlierTurns: true }
            : decision;
        case "over_budget":
          this.#log.writeOverBudget(turn);
          void this.#records.saveSpent(turn.programId, turn.budgetTokens);
          return decision;
        case "needs_allowance": {
          const detail = allowances < MAX_ALLOWANCES_PER_REQUEST
            ? await this.#acquireAllowance(turn, decision)
            : `other turns of the program used up ${MAX_ALLOWANCES_PER_REQUEST} allowances`;
          if (detail === undefined) continue;
          this.#log.writeUnavailable(turn, detail);
          return { kind: "unavailable" };
        }
      }
    }
  }

  /** Acquires an allowance, one at a time; returns the reason on failure. */
  #acquireAllowance(
    turn: TurnRequest,
    needed: NeededAllowance,
  ): Promise<string | undefined> {
    const { programId } = turn;
    const inFlight = this.#pendingAllowances.get(programId);
    if (inFlight !== undefined) return inFlight;
    const acquisition = this.#reserveAllowance(turn, needed)
      .finally(() => this.#pendingAllowances.delete(programId));
    this.#pendingAllowances.set(programId, acquisition);
    return acquisition;
  }

  async #reserveAllowance(
    turn: TurnRequest,
    { missingTokens, wantedTokens }: NeededAllowance,
  ): Promise<string | undefined> {
    const { programId, budgetTokens } = turn;
    const { accounts, acquireFirstAllowance } = this.#dependencies;
    let firstDetail = "used";
    if (!accounts.hasUsedFirstAllowance(programId)) {
      const first = await acquireFirstAllowance({
        programId,
        budgetTokens,
        wantedTokens,
      });
      this.#log.writeFirstAllowance(turn, first);
      if (isLastGrant(first)) accounts.setFirstAllowanceUsed(programId);
      if (first.kind === "granted" && first.tokens > 0) {
        this.#addAllowance(turn, first.tokens);
        return undefined;
      }
      if (first.kind === "refused") firstDetail = first.reason;
    }
    const request = { programId, budgetTokens, missingTokens };
    const result = await this.#records.acquire(request);
    switch (result.kind) {
      case "acquired":
        this.#addAllowance(turn, result.tokens);
        return undefined;
      case "exhausted":
        if (!result.isSpent) {
          return "the rest of the budget is allotted to other homes; " +
            `first allowance: ${firstDetail}`;
        }
        accounts.setSpent(programId);
        return turn.isRunning
          ? "the program was already stopped: its budget is spent"
          : undefined;
      case "unavailable":
        return result.detail;
    }
  }

  #addAllowance(
    { programId, budgetTokens }: TurnRequest,
    tokens: number,
  ): void {
    this.#dependencies.accounts
      .addAllowance({ programId, budgetTokens, tokens }, performance.now());
  }
}

/** Whether the holder will grant no more; other refusals may pass. */
function isLastGrant(first: FirstGrant): boolean {
  return first.kind === "granted"
    ? first.isLast
    : first.reason === "given_before";
}
