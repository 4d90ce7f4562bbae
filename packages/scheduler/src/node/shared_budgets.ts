/**
 * The budgets of teams and partners that the calls of a node's shards share.
 *
 * A call reserves its maximum cost from its team's and its partner's budget,
 * and settles both when it ends.
 */
import {
  checkNever,
  type ConfigurationValue,
  type Effect,
  type MembershipView,
  type Micros,
  type PlatformResponse,
  type PlatformToken,
  type ProgramSpec,
  type VmId,
} from "@camphorlock/types";
import { BudgetPortions, type BudgetStep } from "../budget/mod.ts";
import type { CallBudgets, SharedReservation } from "../owner/mod.ts";

/** The shared budgets of one node. */
export class SharedBudgets implements CallBudgets {
  readonly #portions: BudgetPortions;

  constructor(
    owner: { readonly vmId: VmId; readonly incarnation: number },
  ) {
    this.#portions = new BudgetPortions(owner);
  }

  /** Reserves the maximum cost of a call from every budget that covers it. */
  reserve(
    spec: ProgramSpec,
    micros: Micros,
    nowMs: number,
  ): SharedReservation {
    const held: ReservedPortion[] = [];
    for (const key of listKeys(spec)) {
      const result = this.#portions.reserve(key, { micros, nowMs });
      switch (result.kind) {
        case "reserved":
          held.push({ key, reservedMicros: result.reservedMicros });
          break;
        case "waiting":
          this.#cancel(held);
          return { kind: "waiting" };
        case "refused":
          this.#cancel(held);
          return { kind: "refused", failure: result.failure };
        default:
          return checkNever(result);
      }
    }
    return { kind: "reserved", parts: held };
  }

  /** Settles a reservation at the amount that the call was charged. */
  settle(
    reservation: Extract<SharedReservation, { kind: "reserved" }>,
    chargeMicros: Micros,
  ): void {
    for (const { key, reservedMicros } of reservation.parts) {
      this.#portions.settle(key, { reservedMicros, chargeMicros });
    }
  }

  /** Applies the limits of the configuration. */
  applyConfiguration(value: ConfigurationValue, nowMs: number): Effect[] {
    const limits = new Map(
      value.budgets.filter((budget) => budget.kind !== "program")
        .map((budget) => [`${budget.kind}/${budget.name}`, budget.limitMicros]),
    );
    return this.#apply(
      this.#portions.handle({ kind: "limits", limits }, nowMs),
    );
  }

  /** Applies the membership; portions of removed VMs count as spent. */
  applyView(view: MembershipView, nowMs: number): Effect[] {
    const present = new Set(view.nodes.map((node) => node.spec.vmId));
    const members = { kind: "members", present } as const;
    return this.#apply(this.#portions.handle(members, nowMs));
  }

  /** Handles the platform's response to a draw. */
  handleResponse(
    token: PlatformToken,
    response: PlatformResponse,
    nowMs: number,
  ): Effect[] {
    const input = { kind: "platform", token, answer: response } as const;
    return this.#apply(this.#portions.handle(input, nowMs));
  }

  /** Draws the amounts needed, and returns idle amounts. */
  handleTick(nowMs: number): Effect[] {
    return this.#apply(this.#portions.handle({ kind: "tick" }, nowMs));
  }

  /** Returns every portion. */
  stop(nowMs: number): Effect[] {
    return this.#apply(this.#portions.handle({ kind: "stop" }, nowMs));
  }

  #apply(step: BudgetStep): Effect[] {
    return [...step.effects];
  }

  #cancel(held: readonly ReservedPortion[]): void {
    for (const { key, reservedMicros } of held) {
      this.#portions.settle(key, { reservedMicros, chargeMicros: 0 });
    }
  }
}

interface ReservedPortion {
  readonly key: string;
  readonly reservedMicros: Micros;
}

/** Lists the keys of the budgets that cover a program's calls. */
function listKeys(spec: ProgramSpec): string[] {
  const partner = `partner/${spec.partner}`;
  return spec.team === undefined ? [partner] : [`team/${spec.team}`, partner];
}
