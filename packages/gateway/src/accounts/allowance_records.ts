/**
 * Takes allowances from programs' budgets in the store.
 *
 * A record counts what was allowed in all. A home adds to it by a conditional
 * write, and only then may pass on what it added. So two homes never take the
 * same part, and what a lost home took stays taken.
 */
import { randomUUID } from "node:crypto";
import { EVENTS } from "@camphorlock/codes/events";
import type { Result } from "neverthrow";
import {
  type Attempt,
  buildTake,
  readRecord,
  type Wanted,
} from "../decisions/allowance_take.ts";
import { computeFirstAllowance } from "../decisions/first_allowances.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { AccountRecord } from "../model/token_account.ts";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreWrite,
} from "../ports.ts";

/** Writes of one take; each lost race shows the record that it has to meet. */
const MAX_WRITES = 4;
/** How long a call that failed tells that the store is out of reach. */
const STORE_LOST_MS = 500;
/** A write whose answer takes this long is sent once more beside it. */
const REPEAT_AFTER_MS = 150;

/** What records are taken with. */
export interface AllowanceRecordsParts {
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** What taking came to. */
export type Taken =
  | { readonly kind: "taken"; readonly tokens: number }
  /** The whole budget is allowed out already. */
  | { readonly kind: "exhausted"; readonly isSpent: boolean }
  | { readonly kind: "unavailable"; readonly detail: string };

type WriteResult = Promise<Result<StoredObject, StoreFailure>>;

interface KnownRecord {
  /** Absent while the store isn't known to have one. */
  readonly revision: number | undefined;
  readonly record: Omit<AccountRecord, "writtenBy">;
}

interface KnownProgram {
  known: KnownRecord;
  attempt: Attempt | undefined;
  usedAtMs: number;
  /** Ends when no write of the record is under way. */
  idle: Promise<unknown>;
}

/** The records as one home knows them. */
export class AllowanceRecords {
  readonly #parts: AllowanceRecordsParts;
  readonly #programs = new Map<string, KnownProgram>();
  #storeLostUntilMs = Number.NEGATIVE_INFINITY;

  constructor(parts: AllowanceRecordsParts) {
    this.#parts = parts;
  }

  /** Takes a part of a budget for this home alone. */
  take(wanted: Wanted): Promise<Taken> {
    const program = this.#get(wanted);
    const taken = program.idle.then(() => this.#take(program, wanted));
    program.idle = taken;
    return taken;
  }

  /** Records that the program was stopped, so that it stays stopped. */
  saveSpent(programId: string, budgetTokens: number): Promise<void> {
    const program = this.#get({ programId, budgetTokens, missingTokens: 0 });
    const saved = program.idle.then(() => this.#saveSpent(programId, program));
    program.idle = saved;
    return saved;
  }

  /** Forgets what wasn't used since `beforeMs`. */
  removeUnused(beforeMs: number): void {
    for (const [programId, { usedAtMs }] of this.#programs) {
      if (usedAtMs < beforeMs) this.#programs.delete(programId);
    }
  }

  async #take(program: KnownProgram, wanted: Wanted): Promise<Taken> {
    for (let writes = 0; writes < MAX_WRITES; writes += 1) {
      const { known } = program;
      if (known.record.isSpent) return { kind: "exhausted", isSpent: true };
      const attempt = program.attempt ??= buildTake(known.record, wanted);
      if (attempt === undefined) return { kind: "exhausted", isSpent: false };
      if (performance.now() < this.#storeLostUntilMs) {
        return { kind: "unavailable", detail: "the store was out of reach" };
      }
      const result = await this.#write(wanted.programId, program, attempt);
      if (result !== "again") return result;
    }
    return { kind: "unavailable", detail: "others write the record as well" };
  }

  async #saveSpent(programId: string, program: KnownProgram): Promise<void> {
    for (let writes = 0; writes < MAX_WRITES; writes += 1) {
      const { record } = program.known;
      if (record.isSpent || performance.now() < this.#storeLostUntilMs) return;
      program.attempt ??= {
        value: { ...record, isSpent: true, writtenBy: randomUUID() },
        tokens: 0,
      };
      const result = await this.#write(programId, program, program.attempt);
      // Without it the program is refused as long as this home remembers it.
      if (result !== "again" && result.kind === "unavailable") return;
    }
  }

  async #write(
    programId: string,
    program: KnownProgram,
    { value, tokens }: Attempt,
  ): Promise<Taken | "again"> {
    const { metrics, log } = this.#parts;
    const { revision } = program.known;
    const written = await this.#callTwice({
      name: programId,
      value,
      ...(revision === undefined ? {} : { revision }),
    });
    if (written.isOk()) {
      program.known = { revision: written.value.revision, record: value };
      program.attempt = undefined;
      metrics.add("account_records");
      log.write(EVENTS.AccountRecorded, {
        program: programId,
        tokens,
        allowed_tokens: value.allowedTokens,
        is_spent: value.isSpent,
        revision: written.value.revision,
      });
      return { kind: "taken", tokens };
    }
    return await this.#handleFailure(programId, program, written.error);
  }

  async #handleFailure(
    programId: string,
    program: KnownProgram,
    failure: StoreFailure,
  ): Promise<Taken | "again"> {
    switch (failure.kind) {
      case "conflict": {
        const current = failure.current ?? await this.#find(programId);
        return current === undefined
          ? { kind: "unavailable", detail: "the record can't be read" }
          : this.#applyFound(programId, program, current);
      }
      case "absent":
        // An operator removed it; what it counted stays allowed.
        program.known = { ...program.known, revision: undefined };
        return "again";
      case "refused":
      case "uncertain":
        this.#storeLostUntilMs = performance.now() + STORE_LOST_MS;
        return { kind: "unavailable", detail: failure.detail };
      case "history_gone":
        return { kind: "unavailable", detail: failure.kind };
    }
  }

  /** Goes on from the record that the store holds. */
  #applyFound(
    programId: string,
    program: KnownProgram,
    { revision, value }: StoredObject,
  ): Taken | "again" {
    const record = readRecord(value);
    const { attempt } = program;
    const isOwn = attempt !== undefined &&
      record?.writtenBy === attempt.value.writtenBy;
    this.#parts.log.write(EVENTS.AccountRecordFound, {
      program: programId,
      revision,
      allowed_tokens: record?.allowedTokens ?? "unreadable",
      is_spent: record?.isSpent ?? false,
      is_own: isOwn,
    });
    if (record === undefined) {
      return { kind: "unavailable", detail: "the record isn't readable" };
    }
    program.known = { revision, record };
    // Its condition can't hold any more.
    program.attempt = undefined;
    return isOwn ? { kind: "taken", tokens: attempt.tokens } : "again";
  }

  /**
   * Writes, and once more if there's no answer for a while: it may be lost. The
   * condition lets only one of the two take effect.
   */
  async #callTwice(write: StoreWrite): WriteResult {
    const first = this.#call(write);
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), REPEAT_AFTER_MS);
    });
    const early = await Promise.race([first, late]);
    clearTimeout(timer);
    return early ?? await chooseAnswered(first, this.#call(write));
  }

  #call(write: StoreWrite): WriteResult {
    const { store } = this.#parts;
    return write.revision === undefined
      ? store.create("tokenAccounts", write)
      : store.update("tokenAccounts", write);
  }

  async #find(programId: string): Promise<StoredObject | undefined> {
    const found = await this.#parts.store.find("tokenAccounts", programId);
    return found.unwrapOr(undefined);
  }

  #get({ programId, budgetTokens }: Wanted): KnownProgram {
    const program = this.#programs.get(programId) ?? {
      // Without a record, the first allowance may be out all the same.
      known: {
        revision: undefined,
        record: {
          allowedTokens: computeFirstAllowance(budgetTokens),
          isSpent: false,
        },
      },
      attempt: undefined,
      usedAtMs: 0,
      idle: Promise.resolve(),
    };
    program.usedAtMs = performance.now();
    this.#programs.set(programId, program);
    return program;
  }
}

/** Chooses the first answer that tells of the write, else the last failure. */
async function chooseAnswered(
  first: WriteResult,
  second: WriteResult,
): WriteResult {
  const early = await Promise.race([first, second]);
  if (early.isOk() || early.error.kind === "conflict") return early;
  const [one, other] = await Promise.all([first, second]);
  const hasAnswer = one.isOk() || one.error.kind === "conflict";
  return hasAnswer ? one : other;
}
