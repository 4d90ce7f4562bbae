/**
 * Decides how much of a program's budget a home acquires at a time.
 *
 * A program's home may change repeatedly while gateways fail. The tokens that a
 * failed home held are lost to its program, so each acquisition covers only a
 * part of the remaining budget.
 */
import { randomUUID } from "node:crypto";
import type { AccountRecord } from "../model/token_account.ts";
import { computeFirstAllowance } from "./first_allowances.ts";

/** Share of the remaining budget that a home acquires at a time. */
const ACQUIRED_SHARE = 0.25;

/** A home's request for a part of a program's budget. */
export interface AllowanceRequest {
  readonly programId: string;
  readonly budgetTokens: number;
  /** Minimum number of tokens; a smaller allowance is of no use. */
  readonly missingTokens: number;
}

/** A write of an account record; its outcome may be unknown. */
export interface AllowanceWrite {
  readonly value: AccountRecord;
  readonly tokens: number;
}

/** Builds the write that acquires a part; undefined if too little is left. */
export function buildAllowanceWrite(
  record: Omit<AccountRecord, "writtenBy">,
  { budgetTokens, missingTokens }: AllowanceRequest,
): AllowanceWrite | undefined {
  const allowedTokens = Math.max(
    record.allowedTokens,
    computeFirstAllowance(budgetTokens),
  );
  const remainingTokens = budgetTokens - allowedTokens;
  const shareTokens = Math.ceil(remainingTokens * ACQUIRED_SHARE);
  const tokens = Math.min(
    Math.max(shareTokens, missingTokens),
    remainingTokens,
  );
  if (tokens < Math.max(1, missingTokens)) return undefined;
  return {
    tokens,
    value: {
      allowedTokens: allowedTokens + tokens,
      isSpent: false,
      writtenBy: randomUUID(),
    },
  };
}

/**
 * Parses a stored record. A malformed one, which another writer may have left,
 * yields undefined.
 */
export function parseAccountRecord(value: unknown): AccountRecord | undefined {
  const record = (value ?? {}) as Partial<AccountRecord>;
  const { allowedTokens, isSpent, writtenBy } = record;
  if (typeof allowedTokens !== "number") return undefined;
  return {
    allowedTokens,
    isSpent: isSpent === true,
    writtenBy: typeof writtenBy === "string" ? writtenBy : "",
  };
}
