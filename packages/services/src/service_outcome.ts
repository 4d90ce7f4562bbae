/**
 * What a service tells about the outcome of an attempt.
 */
import { checkNever } from "@camphorlock/types";
import { parseJson, type WholeAnswer } from "@camphorlock/http";
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

/** The outcome of an attempt as its service tells it. */
export type ServiceOutcome =
  | { readonly kind: "completed"; readonly text: string }
  | {
    readonly kind: "rejected";
    readonly status: number;
    readonly detail: string;
  }
  | { readonly kind: "running" }
  /** It didn't run and the service won't run it any more. */
  | { readonly kind: "not_run" }
  /** The service can't tell, or didn't answer. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Decodes the service's answer. */
export function decodeOutcome(answer: WholeAnswer): ServiceOutcome {
  if (answer.kind !== "answered") {
    return { kind: "unknown", detail: answer.detail };
  }
  if (answer.status !== 200) {
    return { kind: "unknown", detail: `status ${answer.status}` };
  }
  const outcome = OUTCOME.safeParse(parseJson(answer.body));
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
