/**
 * Explanations of calls, charges and programs: the decisions made for them, in
 * the order in which they were made.
 */
import { findSplit } from "@camphorlock/scheduler";
import type {
  Charge,
  ConfigurationValue,
  LogFields,
  LogValue,
} from "@camphorlock/types";
import { formatMoney, formatPercent } from "./amount_format.ts";

/** One decision or event. */
export interface ExplanationLine {
  /** Wall clock, in milliseconds since the Unix epoch, if it's recorded. */
  readonly atMs?: number;
  /** The name of the log event, or of the rule. */
  readonly what: string;
  readonly fields: LogFields;
}

/** The recorded decisions and events that led to a result. */
export interface Explanation {
  readonly subject: string;
  readonly lines: readonly ExplanationLine[];
}

/** Explains the part of a charge that each partner pays, and the agreement. */
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

/** Renders an explanation as text. */
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
