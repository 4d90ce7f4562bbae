/**
 * How much of a program's budget a home takes at a time.
 *
 * The load that this answers: programs whose home changes again and again while
 * gateways are lost. What a lost home held is lost to its program, so each take
 * is a part of what is left.
 */
import { randomUUID } from "node:crypto";
import type { AccountRecord } from "../model/token_account.ts";
import { computeFirstAllowance } from "./first_allowances.ts";

/** Part of what is left of a budget that a home takes at a time. */
const TAKEN_SHARE = 0.25;

/** What is asked of a budget. */
export interface Wanted {
  readonly programId: string;
  readonly budgetTokens: number;
  /** Fewer are of no use. */
  readonly missingTokens: number;
}

/** A write whose outcome may not be known. */
export interface Attempt {
  readonly value: AccountRecord;
  readonly tokens: number;
}

/** Builds the write that takes a part; absent when too little is left. */
export function buildTake(
  record: Omit<AccountRecord, "writtenBy">,
  { budgetTokens, missingTokens }: Wanted,
): Attempt | undefined {
  const allowedTokens = Math.max(
    record.allowedTokens,
    computeFirstAllowance(budgetTokens),
  );
  const leftTokens = budgetTokens - allowedTokens;
  const share = Math.ceil(leftTokens * TAKEN_SHARE);
  const tokens = Math.min(Math.max(share, missingTokens), leftTokens);
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

/** Reads a record; one of another writer that can't be read allows nothing. */
export function readRecord(value: unknown): AccountRecord | undefined {
  const record = (value ?? {}) as Partial<AccountRecord>;
  const { allowedTokens, isSpent, writtenBy } = record;
  if (typeof allowedTokens !== "number") return undefined;
  return {
    allowedTokens,
    isSpent: isSpent === true,
    writtenBy: typeof writtenBy === "string" ? writtenBy : "",
  };
}
