/**
 * One gateway as the home of token accounts: decides on turns and keeps the
 * store's records ahead of what the accounts' programs may have passed on.
 *
 * While the store is out of reach, turns go on with the account in the memory
 * of its two homes, and the record follows when the store is back.
 */
import { randomUUID } from "node:crypto";
import { EVENTS } from "@camphorlock/codes/events";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { AccountRecord, TurnRequest } from "../model/token_account.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { DistantAccounts } from "./distant_accounts.ts";
import type { TurnAnswer } from "../peers/peer_messages.ts";
import type { ObjectStore } from "../ports.ts";
import { AccountLog } from "./account_log.ts";

/** Longest that a turn waits for its record while the store seems to work. */
const RECORD_WAIT_MS = 80;
/** A record that was found asks for a larger one; a third is never needed. */
const MAX_RECORD_WAITS = 2;
/** How long turns wait for a home that just started; less than its callers. */
const START_WAIT_MS = 250;
/** Pause before a record that the store didn't take is written again. */
const RECORD_RETRY_MS = 500;
/** How long a call that failed tells that the store is out of reach. */
const STORE_LOST_MS = 1_500;

/** What a home works with. */
export interface AccountHomeParts {
  readonly accounts: TokenAccounts;
  readonly distant: DistantAccounts;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

type Allowance = Pick<AccountRecord, "allowedTokens" | "isSpent">;

interface Recording {
  wanted: Allowance;
  readonly done: Promise<void>;
}

/** The home role of one gateway. */
export class AccountHome {
  readonly #parts: AccountHomeParts;
  readonly #homeId: string = randomUUID();
  readonly #recordings = new Map<string, Recording>();
  /** Store revisions of the records that this process wrote or found. */
  readonly #revisions = new Map<string, number>();
  /** Until then turns don't wait for records. */
  #storeLostUntilMs = Number.NEGATIVE_INFINITY;
  readonly #stored = new Map<string, Allowance>();
  /** Turns that came before this home began to decide. */
  readonly #waiting = new Set<() => void>();
  #isStarted = false;
  #isStopped = false;

  readonly #log: AccountLog;

  constructor(parts: AccountHomeParts) {
    this.#parts = parts;
    this.#log = new AccountLog(parts);
  }

  /** Decides on a turn. */
  async open(turn: TurnRequest): Promise<TurnAnswer> {
    const { distant } = this.#parts;
    if (!await this.#waitForStart()) {
      this.#log.writeUnavailable(turn, "the other gateways aren't met yet");
      return "unavailable";
    }
    const mayBeKnown = await distant.load(turn.programId) === "doubtful";
    const isMet = this.#parts.accounts.find(turn.programId) === undefined;
    const answer = await this.#openHere(turn, mayBeKnown);
    if (isMet) this.#log.writeMet(turn, mayBeKnown);
    if (answer !== "admitted" || await distant.confirm(turn)) return answer;
    this.#parts.accounts.close(turn.programId, turn.turnId, 0);
    return "over_budget";
  }

  async #openHere(turn: TurnRequest, mayBeKnown: boolean): Promise<TurnAnswer> {
    const { accounts } = this.#parts;
    let decision = accounts.open(turn, performance.now(), mayBeKnown);
    for (
      let tries = 0;
      decision.kind === "needs_record" && tries < MAX_RECORD_WAITS;
      tries += 1
    ) {
      await this.#waitForRecord(turn, decision.allowedTokens);
      decision = accounts.open(turn, performance.now());
    }
    switch (decision.kind) {
      case "admitted":
        this.#log.writeAdmitted(turn, "recorded");
        return "admitted";
      case "over_budget":
        this.#log.writeOverBudget(turn);
        this.#startRecording(turn.programId, {
          allowedTokens: turn.budgetTokens,
          isSpent: true,
        });
        return "over_budget";
      case "unknown":
        this.#log.writeUnavailable(
          turn,
          "tokens may have been spent before a loss",
        );
        return "unavailable";
      case "needs_record":
        return this.#openUnrecorded(turn);
    }
  }

  /** Decides while the store doesn't take the record, which is tried again. */
  #openUnrecorded(turn: TurnRequest): TurnAnswer {
    const { accounts } = this.#parts;
    if (accounts.find(turn.programId)?.isAssumed) {
      this.#log.writeUnavailable(
        turn,
        "the store can't tell what was spent before",
      );
      return "unavailable";
    }
    if (!accounts.confirm(turn, performance.now())) return "over_budget";
    this.#log.writeAdmitted(turn, "ahead_of_record");
    return "admitted";
  }

  /** Begins to decide, once what was known before the start is known again. */
  start(): void {
    this.#isStarted = true;
    for (const resolve of this.#waiting) resolve();
    this.#waiting.clear();
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #waitForStart(): Promise<boolean> {
    if (this.#isStarted) return true;
    await new Promise<void>((resolve) => {
      this.#waiting.add(resolve);
      setTimeout(resolve, START_WAIT_MS);
    });
    return this.#isStarted;
  }

  async #waitForRecord(turn: TurnRequest, allowed: number): Promise<void> {
    const recording = this.#startRecording(turn.programId, {
      allowedTokens: allowed,
      isSpent: false,
    });
    if (performance.now() < this.#storeLostUntilMs) return;
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, RECORD_WAIT_MS);
    });
    await Promise.race([recording, limit]);
    clearTimeout(timer);
  }

  #startRecording(programId: string, wanted: Allowance): Promise<void> {
    const running = this.#recordings.get(programId);
    if (running !== undefined) {
      running.wanted = mergeAllowances(running.wanted, wanted);
      return running.done;
    }
    const stored = this.#stored.get(programId);
    if (stored !== undefined && hasCovered(stored, wanted)) {
      return Promise.resolve();
    }
    let resolve: () => void = () => {};
    const done = new Promise<void>((resolveDone) => {
      resolve = resolveDone;
    });
    const recording = { wanted, done };
    this.#recordings.set(programId, recording);
    this.#record(programId, recording).finally(() => {
      this.#recordings.delete(programId);
      resolve();
    });
    return done;
  }

  async #record(programId: string, recording: Recording): Promise<void> {
    const { accounts, log, metrics } = this.#parts;
    while (!this.#isStopped) {
      const { wanted } = recording;
      if (!await this.#write(programId, wanted)) {
        await new Promise((resolve) => setTimeout(resolve, RECORD_RETRY_MS));
        continue;
      }
      accounts.addRecord(programId, { ...wanted, writtenBy: this.#homeId });
      this.#stored.set(programId, wanted);
      metrics.add("account_records");
      log.write(EVENTS.AccountRecorded, { program: programId, ...wanted });
      if (hasCovered(wanted, recording.wanted)) return;
    }
  }

  /** Writes a record that covers `wanted`; false when it must be repeated. */
  async #write(programId: string, wanted: Allowance): Promise<boolean> {
    const { store, accounts, log } = this.#parts;
    const revision = this.#revisions.get(programId);
    const value: AccountRecord = { ...wanted, writtenBy: this.#homeId };
    const write = { name: programId, value };
    const written = revision === undefined
      ? await store.create("tokenAccounts", write)
      : await store.update("tokenAccounts", { ...write, revision });
    if (written.isOk()) {
      this.#revisions.set(programId, written.value.revision);
      return true;
    }
    const failure = written.error;
    if (failure.kind === "absent") {
      this.#revisions.delete(programId);
      return false;
    }
    if (failure.kind !== "conflict") {
      this.#storeLostUntilMs = performance.now() + STORE_LOST_MS;
      return false;
    }
    const current = failure.current ??
      (await store.find("tokenAccounts", programId)).unwrapOr(undefined);
    if (current === undefined) return false;
    this.#revisions.set(programId, current.revision);
    const stored = readRecord(current.value);
    log.write(EVENTS.AccountRecordFound, {
      program: programId,
      revision: current.revision,
      ...stored,
      is_own: stored.writtenBy === this.#homeId,
      is_assumed: accounts.find(programId)?.isAssumed ?? false,
    });
    // A write whose answer was lost is found again.
    if (stored.writtenBy === this.#homeId) {
      accounts.addRecord(programId, stored);
    } else accounts.addFoundRecord(programId, stored);
    return hasCovered(stored, wanted);
  }
}

function readRecord(value: unknown): AccountRecord {
  const record = (value ?? {}) as Partial<AccountRecord>;
  const { allowedTokens, isSpent, writtenBy } = record;
  return {
    allowedTokens: typeof allowedTokens === "number" ? allowedTokens : 0,
    isSpent: isSpent === true,
    writtenBy: typeof writtenBy === "string" ? writtenBy : "",
  };
}

function hasCovered(stored: Allowance, wanted: Allowance): boolean {
  return stored.allowedTokens >= wanted.allowedTokens &&
    (stored.isSpent || !wanted.isSpent);
}

function mergeAllowances(left: Allowance, right: Allowance): Allowance {
  return {
    allowedTokens: Math.max(left.allowedTokens, right.allowedTokens),
    isSpent: left.isSpent || right.isSpent,
  };
}
