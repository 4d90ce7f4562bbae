/**
 * The credits of one tenant at one gateway: those that the home granted, and
 * those that the gateway has used ahead of its grants. Times come from a clock
 * that doesn't stand still while the VM is suspended.
 */
import { DemandEstimate } from "./demand_estimate.ts";
import { BATCH_LIFE_MS, type QuotaTerms } from "./quota_terms.ts";

/** One credit that a request has taken. */
export interface TakenCredit {
  /** The request has to be sent before. */
  readonly sendUntilMs: number;
  /** The credit may be used for another request until then. */
  readonly returnUntilMs: number;
  readonly isAhead: boolean;
}

interface Batch extends Pick<TakenCredit, "sendUntilMs" | "returnUntilMs"> {
  credits: number;
}

/** The credits of one tenant. */
export class CreditAccount {
  /** Granted credits, the oldest first. */
  #batches: Batch[] = [];
  /** Requests that were admitted ahead of grants. */
  #debt = 0;
  readonly #demand: DemandEstimate;

  constructor(nowMs: number) {
    this.#demand = new DemandEstimate(nowMs);
  }

  /** Requests that were admitted ahead and that no grant has covered. */
  get debt(): number {
    return this.#debt;
  }

  /** Credits that may be used now. */
  countCredits(nowMs: number): number {
    this.#removeExpired(nowMs);
    return this.#batches.reduce((sum, { credits }) => sum + credits, 0);
  }

  /** Takes a granted credit, if there is one. */
  take(nowMs: number): TakenCredit | undefined {
    this.#removeExpired(nowMs);
    const [batch] = this.#batches;
    if (batch === undefined) return undefined;
    batch.credits -= 1;
    this.#demand.record(nowMs);
    const { sendUntilMs, returnUntilMs } = batch;
    return { sendUntilMs, returnUntilMs, isAhead: false };
  }

  /** Takes a credit ahead of a grant, if the terms permit one more. */
  takeAhead(
    { runAhead, lifeMs }: Pick<QuotaTerms, "runAhead" | "lifeMs">,
    nowMs: number,
  ): TakenCredit | undefined {
    if (this.#debt >= runAhead) return undefined;
    this.#debt += 1;
    this.#demand.record(nowMs);
    return { ...buildLife(nowMs, lifeMs), isAhead: true };
  }

  /** Gives back a credit of a request that was not sent. */
  release({ sendUntilMs, returnUntilMs }: TakenCredit, nowMs: number): void {
    if (nowMs >= returnUntilMs) return;
    if (this.#debt > 0) this.#debt -= 1;
    else this.#batches.push({ credits: 1, sendUntilMs, returnUntilMs });
  }

  /**
   * Adds what the home granted to a call sent at `sentAtMs`: it covers requests
   * that were admitted ahead first. The life begins when the call was sent,
   * since the home can't have granted anything before.
   */
  addGrant(
    credits: number,
    { sentAtMs, lifeMs }: {
      readonly sentAtMs: number;
      readonly lifeMs: number;
    },
  ): void {
    const covered = Math.min(this.#debt, credits);
    this.#debt -= covered;
    if (credits === covered) return;
    this.#batches.push({
      ...buildLife(sentAtMs, lifeMs),
      credits: credits - covered,
    });
  }

  /** Computes how many credits to request while `waiting` requests wait. */
  computeWanted(waiting: number, nowMs: number): number {
    const batch = this.#demand.computeBatch(nowMs);
    const held = this.countCredits(nowMs);
    return Math.max(0, this.#debt + waiting + batch - held);
  }

  /** Whether credits should be requested before a request has to wait. */
  needsGrant(nowMs: number): boolean {
    const batch = this.#demand.computeBatch(nowMs);
    return this.#debt > 0 ||
      (batch > 0 && this.countCredits(nowMs) <= batch / 2);
  }

  #removeExpired(nowMs: number): void {
    this.#batches = this.#batches.filter(({ credits, returnUntilMs }) =>
      credits > 0 && returnUntilMs > nowMs
    );
  }
}

function buildLife(
  fromMs: number,
  lifeMs: number,
): Pick<TakenCredit, "sendUntilMs" | "returnUntilMs"> {
  return {
    sendUntilMs: fromMs + lifeMs,
    returnUntilMs: fromMs + Math.min(BATCH_LIFE_MS, lifeMs),
  };
}
