/**
 * The result of applying a change, and the failure of an invalid change.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { ChangeCommand, ConfigurationValue } from "@camphorlock/types";
import { err, type Result } from "neverthrow";

/** The next configuration, or the rule that the change breaks. */
export type ChangeResult = Result<ConfigurationValue, Failure>;

/** The change command of one kind. */
export type Change<Kind extends ChangeCommand["kind"]> = Extract<
  ChangeCommand,
  { readonly kind: Kind }
>;

/** Refuses a change with `ChangeInvalid` and the rule that it breaks. */
export function refuseInvalidChange<T>(detail: string): Result<T, Failure> {
  return err(createFailure("ChangeInvalid", detail));
}
