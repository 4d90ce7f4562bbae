/**
 * The failure that fallible functions carry in a `Result`.
 */
import { None, type Option, Some } from "./option.ts";
import {
  RESULT_CODES,
  type ResultCodeData,
  type ResultCodeName,
} from "./result_codes.ts";

/** A catalogued failure with what was wrong and where. */
export interface Failure {
  readonly code: number;
  readonly name: string;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Makes a failure from the catalogue. */
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

/** Finds the catalogue's data of a code. */
export function findResultCode(code: number): Option<ResultCodeData> {
  const data = Object.values(RESULT_CODES).find((each) => each.code === code);
  return data === undefined ? None : Some(data);
}
