/**
 * Statements of what each partner pays. The payments add up to the charges.
 */
import {
  type CostClass,
  type Micros,
  type Partner,
  type PartnerAmount,
  PARTNERS,
  type Revision,
} from "@camphorlock/types";
import {
  type ChargeBatch,
  type ChargeLine,
  mergeLines,
  sumAmounts,
} from "./charge_lines.ts";

/** One row of a partner's statement. */
export interface StatementRow {
  /** The partner whose program ran the calls. */
  readonly ranBy: Partner;
  readonly team: string;
  readonly costClass: CostClass;
  readonly agreementRevision: Revision;
  readonly calls: number;
  /** The cost of the calls for both partners together. */
  readonly chargedMicros: Micros;
  /** The part that the partner of the statement pays. */
  readonly payableMicros: Micros;
}

/** A partner's statement for a range of days. */
export interface Statement {
  readonly partner: Partner;
  /** ISO dates in UTC, both inclusive. */
  readonly from: string;
  readonly to: string;
  readonly rows: readonly StatementRow[];
  readonly chargedMicros: Micros;
  readonly payableMicros: Micros;
  /** The payment of each partner; adds up to `chargedMicros`. */
  readonly split: readonly PartnerAmount[];
}

/** The partner and the days of a statement. */
export interface StatementQuery {
  readonly partner: Partner;
  readonly from: string;
  readonly to: string;
}

/** Builds a statement from the batches of all shards, in any order. */
export function buildStatement(
  batches: readonly ChargeBatch[],
  query: StatementQuery,
): Statement {
  const within = batches.filter(({ day }) => {
    return day >= query.from && day <= query.to;
  });
  const lines = mergeLines(
    chooseLastBatches(within).flatMap((batch) => batch.lines),
  );
  return {
    ...query,
    rows: lines.map((line) => buildRow(line, query.partner)),
    chargedMicros: lines.reduce((sum, line) => sum + line.micros, 0),
    payableMicros: sumPayable(lines, query.partner),
    split: PARTNERS.map((partner) => ({
      partner,
      micros: sumPayable(lines, partner),
    })),
  };
}

/** Chooses each shard's last batch of each day, which includes the others. */
export function chooseLastBatches(
  batches: readonly ChargeBatch[],
): readonly ChargeBatch[] {
  const last = new Map<string, ChargeBatch>();
  for (const batch of batches) {
    const key = `${batch.shard}/${batch.day}`;
    const latest = last.get(key);
    if (latest === undefined || batch.number > latest.number) {
      last.set(key, batch);
    }
  }
  return [...last.values()];
}

function buildRow(line: ChargeLine, partner: Partner): StatementRow {
  return {
    ranBy: line.partner,
    team: line.team ?? "",
    costClass: line.costClass,
    agreementRevision: line.agreementRevision,
    calls: line.calls,
    chargedMicros: line.micros,
    payableMicros: sumPayable([line], partner),
  };
}

function sumPayable(lines: readonly ChargeLine[], partner: Partner): Micros {
  const amounts = sumAmounts(lines.flatMap((line) => line.split));
  return amounts.find((each) => each.partner === partner)?.micros ?? 0;
}
