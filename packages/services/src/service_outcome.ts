/**
 * Decodes the response of a service about the outcome of an attempt.
 */
import { checkNever } from "@camphorlock/types";
import { type BufferedResponse, parseJson } from "@camphorlock/http";
import { z } from "zod";

const OUTCOME = z.discriminatedUnion("state", [
  z.object({ state: z.literal("completed"), text: z.string() }),
  z.object({
    state: z.literal("rejected"),
    status: z.int(),
    detail: z.string(),
  }),
  z.object({ state: z.literal("running") }),
  z.object({ state: z.literal("not_run") }),
]);

/** The outcome of an attempt as its service reports it. */
export type ServiceOutcome =
  | { readonly kind: "completed"; readonly text: string }
  | {
    readonly kind: "rejected";
    readonly status: number;
    readonly detail: string;
  }
  | { readonly kind: "running" }
  /** The attempt didn't run, and the service will refuse it from now on. */
  | { readonly kind: "not_run" }
  /** The service can't report the outcome, or it didn't respond. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Decodes the service's response. */
export function decodeServiceOutcome(
  response: BufferedResponse,
): ServiceOutcome {
  if (response.kind !== "answered") {
    return { kind: "unknown", detail: response.detail };
  }
  if (response.status !== 200) {
    return { kind: "unknown", detail: `status ${response.status}` };
  }
  const outcome = OUTCOME.safeParse(parseJson(response.body));
  if (!outcome.success) {
    return { kind: "unknown", detail: "the outcome is malformed" };
  }
  return mapOutcome(outcome.data);
}

function mapOutcome(outcome: z.infer<typeof OUTCOME>): ServiceOutcome {
  switch (outcome.state) {
    case "completed":
      return { kind: "completed", text: outcome.text };
    case "rejected":
      return {
        kind: "rejected",
        status: outcome.status,
        detail: outcome.detail,
      };
    case "running":
    case "not_run":
      return { kind: outcome.state };
    default:
      return checkNever(outcome);
  }
}
