/**
 * Typed results of a bench: spreads over seeds, ratios to the baselines of the
 * same run, and the targets they are held against.
 */
import { computeMean } from "./measurements.ts";

/** One value that one run gave. */
export interface Observation {
  readonly scenario: string;
  readonly load: number;
  readonly policy: string;
  readonly measure: string;
  readonly unit: "ms" | "ratio" | "share" | "MB" | "count" | "per_second";
  readonly seed: number;
  readonly value: number;
}

/** Mean and extremes over seeds. */
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
  /** The default policy's value over this one, seed by seed. */
  readonly ratio?: Spread;
}

/** A target and whether it was met. */
export interface TargetCheck {
  readonly target: string;
  readonly scenario: string;
  readonly load: number;
  readonly bound: number;
  readonly isUpperBound: boolean;
  /** The mean over seeds, which is what's held against the bound. */
  readonly value: Spread;
  readonly met: boolean;
  /** What explains a miss. */
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

/** The policy whose ratio to the others is taken. */
export const DEFAULT_POLICY = "camphorlock";

/** Computes mean and extremes. */
export function computeSpread(values: readonly number[]): Spread {
  return {
    mean: computeMean(values),
    low: Math.min(...values),
    high: Math.max(...values),
  };
}

/** Builds rows from the observations of every run. */
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

/** Computes the ratios of one policy's values to another's, seed by seed. */
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

/** Checks the mean of values against a bound. */
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
  const own = groups.get([scenario, load, measure, DEFAULT_POLICY].join("|"));
  if (policy === DEFAULT_POLICY || own === undefined) return [row];
  const ratios = computeRatios(own, group);
  if (ratios.length === 0) return [row];
  return [{ ...row, ratio: computeSpread(ratios) }];
}
