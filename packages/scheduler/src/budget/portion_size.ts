/**
 * How large a portion of a shared budget is, and what a draw is based on.
 */
import type { Micros, PlatformAnswer, VmId } from "@camphorlock/types";
import {
  type BudgetObject,
  decodeBudget,
  EMPTY_BUDGET,
} from "./budget_object.ts";

/** Times the wanted amount that a first portion has. */
const FIRST_PORTION_TIMES = 32;

/** Times the last portion that the next one has at most. */
const LARGEST_GROWTH = 8;

const SHORTEST_USE_MS = 1_000;

/** What a portion needs to know about the fleet when it draws. */
export interface DrawContext {
  readonly owner: { readonly vmId: VmId; readonly incarnation: number };
  readonly limitMicros: Micros;
  /** How long a portion should last. */
  readonly horizonMs: number;
  /** The VMs that are members at present. */
  readonly present: ReadonlySet<VmId>;
}

/** What the size of a portion follows from. */
export interface PortionDemand {
  readonly wantedMicros: Micros;
  /** What the object has left, at least the wanted amount. */
  readonly leftMicros: Micros;
  /** What was used since the last draw, and in which time. */
  readonly usedMicros: Micros;
  readonly usedMs: number;
  readonly lastPortionMicros: Micros;
  readonly horizonMs: number;
  readonly nodes: number;
}

/**
 * Computes a portion that lasts for the horizon at the present use, smaller
 * where little is left, so that one node doesn't take what others need.
 */
export function computePortion(demand: PortionDemand): Micros {
  const { wantedMicros, leftMicros, lastPortionMicros, nodes } = demand;
  if (wantedMicros === 0) return 0;
  const usedMs = Math.max(SHORTEST_USE_MS, demand.usedMs);
  const rate = Math.max(0, demand.usedMicros) / usedMs;
  const grown = lastPortionMicros * LARGEST_GROWTH;
  const byRate = Math.ceil(Math.min(rate * demand.horizonMs, grown));
  const usual = Math.max(wantedMicros * FIRST_PORTION_TIMES, byRate);
  const fairMicros = Math.floor(leftMicros / (2 * nodes + 1));
  return Math.max(wantedMicros, Math.min(usual, fairMicros));
}

/** A budget as read, with version zero where there is none. */
export interface StoredBudget {
  readonly budget: BudgetObject;
  readonly version: number;
}

/** Reads a budget out of an answer; `undefined` where it holds none. */
export function readStored(answer: PlatformAnswer): StoredBudget | undefined {
  if (answer.kind === "absent") return { budget: EMPTY_BUDGET, version: 0 };
  if (answer.kind !== "found") return undefined;
  const { object } = answer;
  const budget = decodeBudget(object.value);
  if (budget.isErr()) return undefined;
  return { budget: budget.value, version: object.version };
}
