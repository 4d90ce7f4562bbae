/**
 * The policy settings that operators may set, with their allowed values.
 *
 * Each policy is a string union, so that an operator can pick a baseline.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { PolicySetting } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { findNearestName, formatUnknown } from "./nearest_name.ts";

/** What a policy setting accepts. */
export type PolicyValues =
  | { readonly kind: "words"; readonly words: readonly string[] }
  | { readonly kind: "number"; readonly least: number; readonly most: number };

/** A policy setting's name and what it accepts. */
export interface PolicyDefinition {
  readonly name: string;
  readonly values: PolicyValues;
}

/** Every policy setting. */
export const POLICY_DEFINITIONS: readonly PolicyDefinition[] = [
  defineWords("placement", [
    "estimated_finish",
    "random",
    "round_robin",
    "least_loaded",
    "cache_affinity",
  ]),
  defineWords("ordering", ["attained_service", "first_come"]),
  defineWords("fair_share", ["weighted", "none"]),
  defineWords("slow_targets", ["shift", "ignore"]),
  defineWords("hedging", ["short_idempotent", "none"]),
  defineWords("crest", ["refuse_early", "queue"]),
  defineNumber("short_room_percent", { least: 0, most: 90 }),
  defineNumber("retry_budget_percent", { least: 0, most: 100 }),
  defineNumber("turn_limit", { least: 1, most: 100_000 }),
];

/** Checks a policy setting. Fails with `ChangeInvalid`. */
export function checkPolicy(
  name: string,
  value: string,
): Result<PolicySetting, Failure> {
  const definition = POLICY_DEFINITIONS.find((each) => each.name === name);
  if (definition === undefined) {
    const known = POLICY_DEFINITIONS.map((each) => each.name);
    return refuse(formatUnknown("policy", { name, known }));
  }
  const wrong = checkValue(definition.values, value);
  return wrong === undefined ? ok({ name, value }) : refuse(`${name} ${wrong}`);
}

function checkValue(values: PolicyValues, value: string): string | undefined {
  if (values.kind === "words") return checkWord(values.words, value);
  const number = Number(value);
  const { least, most } = values;
  const inside = Number.isInteger(number) && number >= least && number <= most;
  return inside
    ? undefined
    : `takes a whole number from ${least} to ${most}, not ${value}`;
}

function checkWord(
  words: readonly string[],
  value: string,
): string | undefined {
  if (words.includes(value)) return undefined;
  const nearest = findNearestName(value, words);
  const hint = nearest === undefined ? "" : `; did you mean ${nearest}?`;
  return `takes one of ${words.join(", ")}, not ${value}${hint}`;
}

function defineWords(
  name: string,
  words: readonly string[],
): PolicyDefinition {
  return { name, values: { kind: "words", words } };
}

function defineNumber(
  name: string,
  bounds: { readonly least: number; readonly most: number },
): PolicyDefinition {
  return { name, values: { kind: "number", ...bounds } };
}

function refuse<T>(detail: string): Result<T, Failure> {
  return err(createFailure("ChangeInvalid", detail));
}
