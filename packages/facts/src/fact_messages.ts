/**
 * The messages with which facts are saved and found, and the checks on them.
 */
import { err, ok, type Result } from "neverthrow";
import type { KeeperPlace } from "./keeper_ranking.ts";

/** Longest key, id or value. */
const MAX_TEXT_LENGTH = 512;
const MAX_LIFETIME_MS = 3_600_000;
/** Keepers that a message may name; an installation has far fewer. */
const MAX_MEMBERS = 1_000;

/** Something that a gateway knows and others may ask for. */
export interface Fact {
  /** What the fact is about; facts are found by it. */
  readonly key: string;
  /** Tells facts of one key apart; a later one replaces an earlier one. */
  readonly id: string;
  readonly value: string;
  /** Time until the fact is forgotten. */
  readonly lifetimeMs: number;
}

/** A fact that was found. */
export interface FoundFact extends Pick<Fact, "id" | "value"> {
  /** Time since it was saved. */
  readonly ageMs: number;
}

/** A fact that one keeper copies from another. */
export interface CopiedFact extends Fact {
  /** Time since it was saved; `lifetimeMs` is what is left. */
  readonly ageMs: number;
}

/** A message about facts. */
export type FactMessage =
  | { readonly kind: "save_fact"; readonly fact: Fact }
  | { readonly kind: "find_facts"; readonly key: string }
  /** Reads a page of what the reader should hold among these members. */
  | {
    readonly kind: "list_facts";
    /** From 0; the pages are read in order. */
    readonly page: number;
    readonly members: readonly KeeperPlace[];
    readonly reader: string;
  };

/** The response to a message about facts. */
export type FactAnswer =
  | { readonly kind: "fact_saved" }
  | { readonly kind: "facts_found"; readonly facts: readonly FoundFact[] }
  | {
    readonly kind: "facts_listed";
    readonly facts: readonly CopiedFact[];
    readonly isEnd: boolean;
  };

/** Checks a received fact; the error says what is invalid. */
export function parseFact(value: unknown): Result<Fact, string> {
  const fact = value as Partial<Fact> | null | undefined;
  for (const name of ["key", "id", "value"] as const) {
    const text = fact?.[name];
    if (typeof text !== "string" || text.length > MAX_TEXT_LENGTH) {
      return err(`a fact's ${name} isn't a text of ${MAX_TEXT_LENGTH} at most`);
    }
  }
  const { lifetimeMs = 0 } = fact ?? {};
  if (!(lifetimeMs > 0 && lifetimeMs <= MAX_LIFETIME_MS)) {
    return err(`a fact's lifetime isn't 1 to ${MAX_LIFETIME_MS} ms`);
  }
  return ok(fact as Fact);
}

/** Checks the members of a reader's message. */
export function parseMembers(value: unknown): readonly KeeperPlace[] {
  if (!Array.isArray(value)) return [];
  return value.slice(0, MAX_MEMBERS).filter((each) =>
    typeof each?.vmId === "string" && typeof each.failureDomain === "string"
  );
}
