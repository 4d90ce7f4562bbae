/**
 * Parses and formats the money, percentages and dates of the operator language.
 */
import { type Micros, WHOLE_PPM } from "@camphorlock/types";

const MICRO_DIGITS = 6;
const PPM_PERCENT_DIGITS = 4;
const MS_PER_DAY = 86_400_000;

/** Parses money; `undefined` with more than six decimals or beyond 2^53. */
export function parseMoney(text: string): Micros | undefined {
  return parseDecimal(text, MICRO_DIGITS);
}

/** Formats an amount of money with at least two decimals. */
export function formatMoney(micros: Micros): string {
  const sign = micros < 0 ? "-" : "";
  const digits = String(Math.abs(micros)).padStart(MICRO_DIGITS + 1, "0");
  const whole = digits.slice(0, -MICRO_DIGITS);
  const decimals = digits.slice(-MICRO_DIGITS).replace(/0{1,4}$/, "");
  return `${sign}${whole}.${decimals}`;
}

/** Parses a percentage into parts per million. */
export function parsePercent(text: string): number | undefined {
  return parseDecimal(text.replace(/%$/, ""), PPM_PERCENT_DIGITS);
}

/** Formats parts per million as a percentage. */
export function formatPercent(ppm: number): string {
  return `${ppm * 100 / WHOLE_PPM}%`;
}

/** Whether a text is a valid calendar date. */
export function isDate(text: string): boolean {
  const atMs = Date.parse(`${text}T00:00:00Z`);
  if (Number.isNaN(atMs)) return false;
  return new Date(atMs).toISOString().startsWith(text);
}

/** Counts the days from one date to another, both included. */
export function countDays(from: string, to: string): number {
  const lengthMs = Date.parse(to) - Date.parse(from);
  return Math.round(lengthMs / MS_PER_DAY) + 1;
}

function parseDecimal(text: string, decimals: number): number | undefined {
  const match = /^(-?)(\d+)(?:\.(\d+))?$/.exec(text);
  if (match === null) return undefined;
  const [, sign = "", whole = "", fraction = ""] = match;
  if (fraction.length > decimals) return undefined;
  const value = Number(`${sign}${whole}${fraction.padEnd(decimals, "0")}`);
  if (!Number.isSafeInteger(value)) return undefined;
  return value === 0 ? 0 : value;
}
