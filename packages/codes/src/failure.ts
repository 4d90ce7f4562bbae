/**
 * The failure that fallible functions return in a `Result`.
 */
import { None, type Option, Some } from "./option.ts";
import {
  RESULT_CODES,
  type ResultCodeDefinition,
  type ResultCodeName,
} from "./result_codes.ts";

/** A failure from the catalogue, with the details of its cause. */
export interface Failure {
  readonly code: number;
  readonly name: string;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Creates a failure from the catalogue. */
export function createFailure(
  name: ResultCodeName,
  detail: string,
  retryAfterMs?: number,
): Failure {
  const { code } = RESULT_CODES[name];
  return retryAfterMs === undefined
    ? { code, name, detail }
    : { code, name, detail, retryAfterMs };
}

/** Finds the catalogue's entry for a code. */
export function findResultCode(code: number): Option<ResultCodeDefinition> {
  const definition = Object.values(RESULT_CODES).find((each) =>
    each.code === code
  );
  return definition === undefined ? None : Some(definition);
}
