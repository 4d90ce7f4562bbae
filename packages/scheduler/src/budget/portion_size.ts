/**
 * The size of a node's portion of a shared budget, and the inputs of a draw.
 */
import type { Micros, PlatformResponse, VmId } from "@camphorlock/types";
import {
  type BudgetObject,
  decodeBudget,
  EMPTY_BUDGET,
} from "./budget_object.ts";

/** Ratio of a first portion to the wanted amount. */
const FIRST_PORTION_FACTOR = 32;

/** Largest ratio of a portion to the one before. */
const MAX_GROWTH = 8;

const MIN_USE_MS = 1_000;

/** The owner, limit and fleet that a draw depends on. */
export interface DrawContext {
  readonly owner: { readonly vmId: VmId; readonly incarnation: number };
  readonly limitMicros: Micros;
  /** The time that a portion should last. */
  readonly horizonMs: number;
  /** The VMs that are currently members. */
  readonly present: ReadonlySet<VmId>;
}

/** The demand that determines the size of a portion. */
export interface PortionDemand {
  readonly wantedMicros: Micros;
  /** The amount left in the object, at least the wanted amount. */
  readonly leftMicros: Micros;
  /** The amount used since the last draw, and the time since then. */
  readonly usedMicros: Micros;
  readonly usedMs: number;
  readonly lastPortionMicros: Micros;
  readonly horizonMs: number;
  readonly nodes: number;
}

/**
 * Computes a portion that lasts for the horizon at the current rate of use. The
 * portion is smaller when little is left, so that other nodes can draw too.
 */
export function computePortion(demand: PortionDemand): Micros {
  const { wantedMicros, leftMicros, lastPortionMicros, nodes } = demand;
  if (wantedMicros === 0) return 0;
  const usedMs = Math.max(MIN_USE_MS, demand.usedMs);
  const rate = Math.max(0, demand.usedMicros) / usedMs;
  const largest = lastPortionMicros * MAX_GROWTH;
  const byRate = Math.ceil(Math.min(rate * demand.horizonMs, largest));
  const usual = Math.max(wantedMicros * FIRST_PORTION_FACTOR, byRate);
  const fairMicros = Math.floor(leftMicros / (2 * nodes + 1));
  return Math.max(wantedMicros, Math.min(usual, fairMicros));
}

/** A budget as read, with version zero when it's absent. */
export interface StoredBudget {
  readonly budget: BudgetObject;
  readonly version: number;
}

/** Decodes the budget in a response; `undefined` when it contains none. */
export function decodeStored(
  response: PlatformResponse,
): StoredBudget | undefined {
  if (response.kind === "absent") return { budget: EMPTY_BUDGET, version: 0 };
  if (response.kind !== "found") return undefined;
  const { object } = response;
  const budget = decodeBudget(object.value);
  if (budget.isErr()) return undefined;
  return { budget: budget.value, version: object.version };
}
