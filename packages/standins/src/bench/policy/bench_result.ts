/**
 * Typed results of a bench: spreads over seeds, ratios to the baselines of the
 * same run, and checks against performance targets.
 */
import { computeMean } from "./measurements.ts";

/** The value of one measure in one run. */
export interface Observation {
  readonly scenario: string;
  readonly load: number;
  readonly policy: string;
  readonly measure: string;
  readonly unit: "ms" | "ratio" | "share" | "MB" | "count" | "per_second";
  readonly seed: number;
  readonly value: number;
}

/** Mean, minimum and maximum over seeds. */
export interface Spread {
  readonly mean: number;
  readonly low: number;
  readonly high: number;
}

/** One measure of one policy at one load. */
export interface BenchRow {
  readonly scenario: string;
  readonly load: number;
  readonly measure: string;
  readonly unit: Observation["unit"];
  readonly policy: string;
  readonly value: Spread;
  /** The default policy's value divided by this one, per seed. */
  readonly ratio?: Spread;
}

/** A performance target and whether the runs met it. */
export interface TargetCheck {
  readonly target: string;
  readonly scenario: string;
  readonly load: number;
  readonly bound: number;
  readonly isUpperBound: boolean;
  /** Spread over seeds; the mean is compared with the bound. */
  readonly value: Spread;
  readonly met: boolean;
  /** Context for a missed target. */
  readonly note?: string;
}

/** The result of one bench. */
export interface BenchResult {
  readonly name: string;
  readonly seeds: number;
  readonly loads: readonly number[];
  readonly rows: readonly BenchRow[];
  readonly targets: readonly TargetCheck[];
}

/** The policy whose ratio to each other policy is computed. */
export const DEFAULT_POLICY = "camphorlock";

/** Computes mean, minimum and maximum. */
export function computeSpread(values: readonly number[]): Spread {
  return {
    mean: computeMean(values),
    low: Math.min(...values),
    high: Math.max(...values),
  };
}

/** Groups the observations of all runs into rows. */
export function buildRows(observations: readonly Observation[]): BenchRow[] {
  const groups = new Map<string, Observation[]>();
  for (const each of observations) {
    const key = [each.scenario, each.load, each.measure, each.policy].join("|");
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [each]);
    else group.push(each);
  }
  return [...groups.values()].flatMap((group) => buildRow(group, groups));
}

/** Divides values by those of the same seed; skips missing and zero ones. */
export function computeRatios(
  numerator: readonly Observation[],
  denominator: readonly Observation[],
): number[] {
  return numerator.flatMap((each) => {
    const other = denominator.find((one) => one.seed === each.seed);
    if (other === undefined || other.value === 0) return [];
    return [each.value / other.value];
  });
}

/** Compares the mean of the values with the bound. */
export function checkTarget(
  check: Omit<TargetCheck, "value" | "met">,
  values: readonly number[],
): TargetCheck {
  const value = computeSpread(values);
  const met = check.isUpperBound
    ? value.mean <= check.bound
    : value.mean >= check.bound;
  return { ...check, value, met };
}

function buildRow(
  group: readonly Observation[],
  groups: ReadonlyMap<string, Observation[]>,
): BenchRow[] {
  const [first] = group;
  if (first === undefined) return [];
  const { scenario, load, measure, unit, policy } = first;
  const value = computeSpread(group.map((each) => each.value));
  const row = { scenario, load, measure, unit, policy, value };
  const defaultGroup = groups.get(
    [scenario, load, measure, DEFAULT_POLICY].join("|"),
  );
  if (policy === DEFAULT_POLICY || defaultGroup === undefined) return [row];
  const ratios = computeRatios(defaultGroup, group);
  if (ratios.length === 0) return [row];
  return [{ ...row, ratio: computeSpread(ratios) }];
}
