/**
 * Explanations: the decisions made for a call, a charge or a program, in the
 * order in which they were made.
 */
import { findSplit } from "@camphorlock/scheduler";
import type {
  Charge,
  ConfigurationValue,
  LogFields,
  LogValue,
} from "@camphorlock/types";
import { formatMoney, formatPercent } from "./amounts_text.ts";

/** One decision or event. */
export interface ExplanationLine {
  /** Wall clock, milliseconds since the Unix epoch, where it's known. */
  readonly atMs?: number;
  /** The name of the log event, or of the rule. */
  readonly what: string;
  readonly fields: LogFields;
}

/** What is known of how something came about. */
export interface Explanation {
  readonly subject: string;
  readonly lines: readonly ExplanationLine[];
}

/** Explains who pays which part of a charge, and under which agreement. */
export function buildChargeExplanation(
  charge: Charge,
  value: ConfigurationValue,
): Explanation {
  const { costClass, agreementRevision: revision } = charge;
  const agreement = findSplit(value, { costClass, revision });
  const shares = agreement.shares.map(({ partner, sharePpm }) => {
    return `${partner} ${formatPercent(sharePpm)}`;
  });
  const split = charge.split.map(({ partner, micros }) => {
    return `${partner} ${formatMoney(micros)}`;
  });
  return {
    subject: `charge ${charge.callId}`,
    lines: [
      {
        atMs: charge.endedAtMs,
        what: "charge",
        fields: {
          program: charge.programId,
          partner: charge.partner,
          team: charge.team,
          amount: formatMoney(charge.micros),
        },
      },
      {
        what: "agreement",
        fields: {
          costs: costClass,
          revision,
          shares,
          remainderTo: agreement.remainderTo,
        },
      },
      { what: "split", fields: { payable: split } },
    ],
  };
}

/** Renders an explanation for people. */
export function renderExplanation(explanation: Explanation): string {
  const lines = explanation.lines.map(({ atMs, what, fields }) => {
    const at = atMs === undefined ? "" : `${new Date(atMs).toISOString()} `;
    const texts = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${renderValue(value)}`);
    return `  ${at}${what} ${texts.join(" ")}`.trimEnd();
  });
  return [explanation.subject, ...lines].join("\n");
}

function renderValue(value: LogValue): string {
  return typeof value === "string" ? value : JSON.stringify(value) ?? "";
}
