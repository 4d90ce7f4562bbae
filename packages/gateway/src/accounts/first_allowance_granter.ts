/**
 * Grants parts of first allowances for the shards that this gateway holds.
 *
 * A part is granted once its record is durable, and only if this gateway may
 * still grant it then: what another holder can't find on the disks was granted
 * to nobody. After a loss of the holder before, the parts that it granted are
 * read from the disks.
 */
import { EVENTS } from "@camphorlock/codes/events";
import {
  chooseParts,
  computePartTokens,
  FIRST_ALLOWANCE_PARTS,
  type FirstAllowanceRefusal,
  type FirstAllowances,
} from "../decisions/first_allowances.ts";
import { getShard } from "../decisions/shard_table.ts";
import type { GatewayLog } from "../log.ts";
import type { GrantRecords } from "./grant_records.ts";

/**
 * Longest time of a request: several times the delay of disks and a sync, and
 * less than homes wait, since they take a holder that is later for lost.
 */
const REQUEST_TIMEOUT_MS = 150;
/** Records of earlier grants that are written at the same time. */
const RECORDS_AT_ONCE = 50;
const EARLIER_GRANTS_TIMEOUT_MS = 5_000;

/** A home's request for a part of a program's first allowance. */
export interface FirstGrantRequest {
  readonly programId: string;
  readonly budgetTokens: number;
  /** Tokens that the home can use at once. */
  readonly wantedTokens: number;
}

/** The decision on a request. */
export type FirstGrant =
  | {
    readonly kind: "granted";
    readonly tokens: number;
    /** Whether nothing of the first allowance is left. */
    readonly isLast: boolean;
  }
  | { readonly kind: "refused"; readonly reason: FirstAllowanceRefusal };

/** Dependencies of the granter. */
export interface FirstAllowanceGranterDependencies {
  readonly allowances: FirstAllowances;
  readonly records: GrantRecords;
  readonly log: GatewayLog;
  /** Revision and age of the cached shard table, for the log. */
  readonly describeTable: () => {
    readonly revision: number;
    readonly age_ms: number;
  };
}

interface ChosenParts {
  readonly before: number;
  readonly parts: number;
}

/** The grants of one gateway. */
export class FirstAllowanceGranter {
  readonly #dependencies: FirstAllowanceGranterDependencies;
  /** The last request in progress of each program. */
  readonly #pending = new Map<string, Promise<unknown>>();

  constructor(dependencies: FirstAllowanceGranterDependencies) {
    this.#dependencies = dependencies;
  }

  /** Grants as many parts as cover the wanted tokens. Never rejects. */
  async grant(request: FirstGrantRequest): Promise<FirstGrant> {
    const { programId, budgetTokens } = request;
    const granted = await this.#runNext(
      programId,
      (before) => chooseParts(before, request),
    );
    if (granted.kind === "refused") return granted;
    const { before, parts } = granted;
    return {
      kind: "granted",
      tokens: computePartTokens(budgetTokens, parts) -
        computePartTokens(budgetTokens, before),
      isLast: parts === FIRST_ALLOWANCE_PARTS,
    };
  }

  /**
   * Grants the whole first allowance to a home of a build that knows no parts;
   * false if a part of it was granted before.
   */
  async grantWhole(programId: string): Promise<boolean> {
    const granted = await this.#runNext(
      programId,
      (before) => before === 0 ? FIRST_ALLOWANCE_PARTS : undefined,
    );
    return granted.kind === "granted";
  }

  /**
   * Records the grants of shards whose grants weren't recorded so far; true if
   * there are such shards and all records are durable.
   */
  async recordEarlier(): Promise<boolean> {
    const { allowances, records } = this.#dependencies;
    if (!records.canSave) return false;
    const granted = allowances.startRecording(performance.now());
    if (granted === undefined) return false;
    const left = [...granted];
    while (left.length > 0) {
      const deadlineMs = performance.now() + EARLIER_GRANTS_TIMEOUT_MS;
      const saved = await Promise.all(
        left.splice(0, RECORDS_AT_ONCE).map(([programId, parts]) =>
          records.save(programId, parts, deadlineMs)
        ),
      );
      if (saved.includes(false)) return false;
    }
    return true;
  }

  /** Runs the requests for one program one after another. */
  async #runNext(
    programId: string,
    choose: (before: number) => number | undefined,
  ): Promise<
    | { readonly kind: "granted" } & ChosenParts
    | { readonly kind: "refused"; readonly reason: FirstAllowanceRefusal }
  > {
    const startedAtMs = performance.now();
    const deadlineMs = startedAtMs + REQUEST_TIMEOUT_MS;
    const decision = (this.#pending.get(programId) ?? Promise.resolve())
      .then(() => this.#settleGrant(programId, { choose, deadlineMs }));
    this.#pending.set(programId, decision);
    const decided = await decision;
    if (this.#pending.get(programId) === decision) {
      this.#pending.delete(programId);
    }
    const isRefused = typeof decided === "string";
    this.#dependencies.log.write(EVENTS.FirstAllowanceDecided, {
      program: programId,
      outcome: isRefused ? decided : "given",
      shard: getShard(programId),
      ...this.#dependencies.describeTable(),
      ...isRefused
        ? {}
        : { parts_before: decided.before, parts: decided.parts },
      duration_ms: Math.round(performance.now() - startedAtMs),
    });
    return isRefused
      ? { kind: "refused", reason: decided }
      : { kind: "granted", ...decided };
  }

  async #settleGrant(
    programId: string,
    { choose, deadlineMs }: {
      readonly choose: (before: number) => number | undefined;
      readonly deadlineMs: number;
    },
  ): Promise<ChosenParts | FirstAllowanceRefusal> {
    const { allowances, records } = this.#dependencies;
    const holding = allowances.findHolding(programId);
    const refusal = this.#check(programId, holding);
    if (refusal !== undefined) return refusal;
    const before = allowances.findParts(programId) ?? await records.find(
      programId,
      { registeredAtMs: allowances.findUsableAtMs(programId), deadlineMs },
    );
    if (before === undefined) return "not_found_out";
    const parts = before < FIRST_ALLOWANCE_PARTS ? choose(before) : undefined;
    const refusalNow = this.#check(programId, holding);
    if (refusalNow !== undefined) return refusalNow;
    // A holder that takes over from here on looks this program up.
    allowances.setParts(programId, before, performance.now());
    if (parts === undefined) return "given_before";
    if (!allowances.needsRecord(programId)) {
      allowances.setParts(programId, FIRST_ALLOWANCE_PARTS, performance.now());
      return { before, parts: FIRST_ALLOWANCE_PARTS };
    }
    const isRecorded = records.canSave &&
      await records.save(programId, parts, deadlineMs);
    if (!isRecorded) return "not_recorded";
    // Another process may have become the holder during the save.
    const lateRefusal = this.#check(programId, holding);
    if (lateRefusal !== undefined) return lateRefusal;
    allowances.setParts(programId, parts, performance.now());
    return { before, parts };
  }

  /** Returns why nothing may be granted now, or not in the same holding. */
  #check(
    programId: string,
    holding: object | undefined,
  ): FirstAllowanceRefusal | undefined {
    const { allowances } = this.#dependencies;
    if (allowances.findHolding(programId) !== holding) return "not_held";
    return allowances.check(programId, performance.now(), Date.now());
  }
}
