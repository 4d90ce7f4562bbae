/**
 * Acquires allowances from programs' budgets in the store.
 *
 * A record holds the sum of all allowances of a program. A home adds to it by a
 * conditional write, and may grant the added tokens only after that write. So
 * two homes never acquire the same tokens, and the allowances of a failed home
 * remain counted.
 */
import { randomUUID } from "node:crypto";
import { EVENTS } from "@camphorlock/codes/events";
import type { Result } from "neverthrow";
import {
  type AllowanceRequest,
  type AllowanceWrite,
  buildAllowanceWrite,
  parseAccountRecord,
} from "../decisions/allowance_write.ts";
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

/** Maximum writes per allowance; each conflict returns the current record. */
const MAX_WRITES = 4;
/** Back-off after a failed call, during which the store isn't called. */
const STORE_BACKOFF_MS = 500;
/** A write without a response after this time is hedged by a second one. */
const HEDGE_DELAY_MS = 150;

/** Dependencies of the records. */
export interface AllowanceRecordsDependencies {
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** Result of the request for an allowance. */
export type AcquireResult =
  | { readonly kind: "acquired"; readonly tokens: number }
  /** The program was stopped, or too little of its budget is unallotted. */
  | { readonly kind: "exhausted"; readonly isSpent: boolean }
  | { readonly kind: "unavailable"; readonly detail: string };

type WriteResult = Promise<Result<StoredObject, StoreFailure>>;

interface CachedRecord {
  /** Undefined until a record has been observed in the store. */
  readonly revision: number | undefined;
  readonly record: Omit<AccountRecord, "writtenBy">;
}

interface CachedProgram {
  known: CachedRecord;
  pendingWrite: AllowanceWrite | undefined;
  usedAtMs: number;
  /** Resolves when no write of the record is in flight. */
  idle: Promise<unknown>;
}

/** The records as cached by one home. */
export class AllowanceRecords {
  readonly #dependencies: AllowanceRecordsDependencies;
  readonly #programs = new Map<string, CachedProgram>();
  #storeBackoffUntilMs = Number.NEGATIVE_INFINITY;

  constructor(dependencies: AllowanceRecordsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Acquires a part of a budget for the exclusive use of this home. */
  acquire(request: AllowanceRequest): Promise<AcquireResult> {
    const program = this.#get(request);
    const acquired = program.idle.then(() => this.#acquire(program, request));
    program.idle = acquired;
    return acquired;
  }

  /** Records that the program was stopped, so that every home refuses it. */
  saveSpent(programId: string, budgetTokens: number): Promise<void> {
    const program = this.#get({ programId, budgetTokens, missingTokens: 0 });
    const saved = program.idle.then(() => this.#saveSpent(programId, program));
    program.idle = saved;
    return saved;
  }

  /** Evicts records that weren't used since `beforeMs`. */
  removeUnused(beforeMs: number): void {
    for (const [programId, { usedAtMs }] of this.#programs) {
      if (usedAtMs < beforeMs) this.#programs.delete(programId);
    }
  }

  async #acquire(
    program: CachedProgram,
    request: AllowanceRequest,
  ): Promise<AcquireResult> {
    for (let writes = 0; writes < MAX_WRITES; writes += 1) {
      const { known } = program;
      if (known.record.isSpent) return { kind: "exhausted", isSpent: true };
      const pendingWrite = program.pendingWrite ??= buildAllowanceWrite(
        known.record,
        request,
      );
      if (pendingWrite === undefined) {
        return { kind: "exhausted", isSpent: false };
      }
      if (performance.now() < this.#storeBackoffUntilMs) {
        return {
          kind: "unavailable",
          detail: `a store call failed in the last ${STORE_BACKOFF_MS} ms`,
        };
      }
      const result = await this.#write(
        request.programId,
        program,
        pendingWrite,
      );
      if (result !== "retry") return result;
    }
    return {
      kind: "unavailable",
      detail: `no success in ${MAX_WRITES} conditional writes of the record`,
    };
  }

  async #saveSpent(programId: string, program: CachedProgram): Promise<void> {
    for (let writes = 0; writes < MAX_WRITES; writes += 1) {
      const { record } = program.known;
      if (record.isSpent || performance.now() < this.#storeBackoffUntilMs) {
        return;
      }
      program.pendingWrite ??= {
        value: { ...record, isSpent: true, writtenBy: randomUUID() },
        tokens: 0,
      };
      const result = await this.#write(
        programId,
        program,
        program.pendingWrite,
      );
      // Unrecorded, the program is refused only while this home caches it.
      if (result !== "retry" && result.kind === "unavailable") return;
    }
  }

  async #write(
    programId: string,
    program: CachedProgram,
    { value, tokens }: AllowanceWrite,
  ): Promise<AcquireResult | "retry"> {
    const { metrics, log } = this.#dependencies;
    const { revision } = program.known;
    const written = await this.#writeHedged({
      name: programId,
      value,
      ...(revision === undefined ? {} : { revision }),
    });
    if (written.isOk()) {
      program.known = { revision: written.value.revision, record: value };
      program.pendingWrite = undefined;
      metrics.add("account_records");
      log.write(EVENTS.AccountRecorded, {
        program: programId,
        tokens,
        allowed_tokens: value.allowedTokens,
        is_spent: value.isSpent,
        revision: written.value.revision,
      });
      return { kind: "acquired", tokens };
    }
    return await this.#handleFailure(programId, program, written.error);
  }

  async #handleFailure(
    programId: string,
    program: CachedProgram,
    failure: StoreFailure,
  ): Promise<AcquireResult | "retry"> {
    switch (failure.kind) {
      case "conflict": {
        const current = failure.current ?? await this.#find(programId);
        return current === undefined
          ? {
            kind: "unavailable",
            detail: "could not read the record after a conflict",
          }
          : this.#applyFound(programId, program, current);
      }
      case "absent":
        // An operator removed the record; its allowances remain counted.
        program.known = { ...program.known, revision: undefined };
        return "retry";
      case "refused":
      case "uncertain":
        this.#storeBackoffUntilMs = performance.now() + STORE_BACKOFF_MS;
        return { kind: "unavailable", detail: failure.detail };
      case "history_gone":
        return { kind: "unavailable", detail: failure.kind };
    }
  }

  /** Continues from the record that the store returned. */
  #applyFound(
    programId: string,
    program: CachedProgram,
    { revision, value }: StoredObject,
  ): AcquireResult | "retry" {
    const record = parseAccountRecord(value);
    const { pendingWrite } = program;
    const isOwn = pendingWrite !== undefined &&
      record?.writtenBy === pendingWrite.value.writtenBy;
    this.#dependencies.log.write(EVENTS.AccountRecordFound, {
      program: programId,
      revision,
      allowed_tokens: record?.allowedTokens ?? "unreadable",
      is_spent: record?.isSpent ?? false,
      is_own: isOwn,
    });
    if (record === undefined) {
      return {
        kind: "unavailable",
        detail: `the record is malformed at revision ${revision}`,
      };
    }
    program.known = { revision, record };
    // The condition of the pending write can't hold any more.
    program.pendingWrite = undefined;
    return isOwn ? { kind: "acquired", tokens: pendingWrite.tokens } : "retry";
  }

  /**
   * Writes, and hedges a late response by a second write, since the response
   * may be lost. The condition lets only one of the two writes take effect.
   */
  async #writeHedged(write: StoreWrite): WriteResult {
    const first = this.#call(write);
    let timer: NodeJS.Timeout | undefined;
    const hedgeDelay = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), HEDGE_DELAY_MS);
    });
    const promptResult = await Promise.race([first, hedgeDelay]);
    clearTimeout(timer);
    return promptResult ?? await chooseConclusive(first, this.#call(write));
  }

  #call(write: StoreWrite): WriteResult {
    const { store } = this.#dependencies;
    return write.revision === undefined
      ? store.create("tokenAccounts", write)
      : store.update("tokenAccounts", write);
  }

  async #find(programId: string): Promise<StoredObject | undefined> {
    const found = await this.#dependencies.store.find(
      "tokenAccounts",
      programId,
    );
    return found.unwrapOr(undefined);
  }

  #get({ programId, budgetTokens }: AllowanceRequest): CachedProgram {
    const program = this.#programs.get(programId) ?? {
      // Without a record, the first allowance may have been granted already.
      known: {
        revision: undefined,
        record: {
          allowedTokens: computeFirstAllowance(budgetTokens),
          isSpent: false,
        },
      },
      pendingWrite: undefined,
      usedAtMs: 0,
      idle: Promise.resolve(),
    };
    program.usedAtMs = performance.now();
    this.#programs.set(programId, program);
    return program;
  }
}

/** Chooses the first success or conflict, else the second write's failure. */
async function chooseConclusive(
  first: WriteResult,
  second: WriteResult,
): WriteResult {
  const fasterResult = await Promise.race([first, second]);
  if (fasterResult.isOk() || fasterResult.error.kind === "conflict") {
    return fasterResult;
  }
  const [firstResult, secondResult] = await Promise.all([first, second]);
  const isConclusive = firstResult.isOk() ||
    firstResult.error.kind === "conflict";
  return isConclusive ? firstResult : secondResult;
}
