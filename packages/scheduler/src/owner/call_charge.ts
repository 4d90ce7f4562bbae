/**
 * The charge for the usage of an attempt, at the prices in force.
 */
import type {
  Call,
  ConfigurationValue,
  Micros,
  Usage,
} from "@camphorlock/types";
import { computeCharge } from "../agreement/mod.ts";

/** Computes the charge of one attempt, in micros. */
export function computeCallCharge(
  value: ConfigurationValue,
  call: Call,
  usage: Usage,
): Micros {
  if (call.kind === "service") {
    return computeCharge(value, { kind: "service", service: call.service });
  }
  return computeCharge(value, { kind: "model", model: call.model, usage });
}
