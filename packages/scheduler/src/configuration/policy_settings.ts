/**
 * The policy settings that operators may set, with their allowed values.
 *
 * The alternatives of a policy have names, so that an operator can select a
 * baseline.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { PolicySetting } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { findNearestName, formatUnknownName } from "./nearest_name.ts";

/** The values that a policy setting accepts. */
export type PolicyValues =
  | { readonly kind: "words"; readonly words: readonly string[] }
  | { readonly kind: "number"; readonly min: number; readonly max: number };

/** A policy setting's name and its allowed values. */
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
  defineNumber("short_room_percent", { min: 0, max: 90 }),
  defineNumber("retry_budget_percent", { min: 0, max: 100 }),
  defineNumber("turn_limit", { min: 1, max: 100_000 }),
];

/** Checks a policy setting. Fails with `ChangeInvalid` and the reason. */
export function checkPolicy(
  name: string,
  value: string,
): Result<PolicySetting, Failure> {
  const definition = POLICY_DEFINITIONS.find((each) => each.name === name);
  if (definition === undefined) {
    const known = POLICY_DEFINITIONS.map((each) => each.name);
    return refuse(formatUnknownName("policy", { name, known }));
  }
  const violation = checkValue(definition.values, value);
  return violation === undefined
    ? ok({ name, value })
    : refuse(`${name} ${violation}`);
}

function checkValue(values: PolicyValues, value: string): string | undefined {
  if (values.kind === "words") return checkWord(values.words, value);
  const number = Number(value);
  const { min, max } = values;
  const isAllowed = Number.isInteger(number) && number >= min && number <= max;
  return isAllowed
    ? undefined
    : `takes a whole number from ${min} to ${max}, not ${value}`;
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
  bounds: { readonly min: number; readonly max: number },
): PolicyDefinition {
  return { name, values: { kind: "number", ...bounds } };
}

function refuse<T>(detail: string): Result<T, Failure> {
  return err(createFailure("ChangeInvalid", detail));
}
