/**
 * Takes credits for the requests of this gateway. Requests of one tenant share
 * the calls of its home: one is in flight at a time, and it also requests
 * credits in advance for a tenant with much demand.
 */
import { checkNever } from "@camphorlock/types";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { CreditCall, CreditDecision } from "../peers/peer_messages.ts";
import type { QuotaBounds } from "../ports.ts";
import type { SuspensionClock } from "../store/suspension_clock.ts";
import { CreditAccount, type TakenCredit } from "./credit_account.ts";
import type { CreditRequest, CreditResult } from "./credit_request.ts";
import { computeTerms, type QuotaTerms } from "./quota_terms.ts";

/** A request waits this long for a credit that the home expects to have. */
const MAX_WAIT_MS = 50;
/** After this long a request that waited so before is denied. */
const MAX_TOTAL_WAIT_MS = 150;
/** Longest wait for decisions: two homes that don't respond, and a third. */
const MAX_DECISION_MS = 600;
/** A home that had too few credits isn't asked again sooner. */
const MAX_PAUSE_MS = 250;
/** Retry time while no home decides. */
const NO_DECISION_RETRY_MS = 300;
/** Pause after a call without a decision. */
const NO_DECISION_PAUSE_MS = 100;
const MAX_RETRY_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Tenants without requests for this long are forgotten. */
const UNUSED_MS = 30_000;

/** Dependencies of the client. */
export interface QuotaClientDependencies {
  readonly bounds: QuotaBounds;
  readonly clock: Pick<SuspensionClock, "readMs">;
  readonly metrics: Pick<GatewayMetrics, "add">;
  /** Number of gateways that may admit requests ahead of grants. */
  readonly countGateways: () => number;
  /** Calls the home; undefined if no gateway decides. */
  readonly callHome: (
    call: CreditCall,
    onSend: () => void,
  ) => Promise<CreditDecision | undefined>;
}

interface Waiter {
  readonly resolve: (result: CreditResult) => void;
  readonly sinceMs: number;
}

interface TenantState {
  request: CreditRequest;
  readonly account: CreditAccount;
  waiters: Waiter[];
  isCalling: boolean;
  /** Why requests are refused until `pausedUntilMs`. */
  refusal: "denied" | "undecided";
  pausedUntilMs: number;
  /** When the home expects to have credits. */
  retryAtMs: number;
  /** The retry time of the next request that is refused. */
  nextRetryAtMs: number;
  decidedAtMs: number;
  usedAtMs: number;
}

/** The credits of one gateway. */
export class QuotaClient {
  readonly #dependencies: QuotaClientDependencies;
  readonly #byTenant = new Map<string, TenantState>();
  readonly #startedAtMs: number;

  constructor(dependencies: QuotaClientDependencies) {
    this.#dependencies = dependencies;
    this.#startedAtMs = dependencies.clock.readMs();
  }

  /** Number of tenants that are remembered. */
  get size(): number {
    return this.#byTenant.size;
  }

  /** Takes a credit for one request. Never rejects. */
  take(request: CreditRequest): Promise<CreditResult> {
    const nowMs = this.#dependencies.clock.readMs();
    const state = this.#getState(request, nowMs);
    const credit = state.account.take(nowMs) ?? this.#takeAhead(state, nowMs);
    if (credit !== undefined) {
      this.#dependencies.metrics.add(
        credit.isAhead ? "quota_credits_ahead" : "quota_credits_held",
      );
      if (state.account.needsGrant(nowMs)) this.#startCall(state, nowMs);
      return Promise.resolve({ kind: "admitted", credit });
    }
    const retryMs = state.retryAtMs - nowMs;
    if (nowMs < state.pausedUntilMs && retryMs > MAX_WAIT_MS) {
      return Promise.resolve(this.#refuse(state, nowMs));
    }
    return new Promise((resolve) => {
      state.waiters.push({ resolve, sinceMs: nowMs });
      this.#startCall(state, nowMs);
    });
  }

  /** Gives back the credit of a request that wasn't sent. */
  release(tenant: string, credit: TakenCredit): void {
    const { clock, metrics } = this.#dependencies;
    this.#byTenant.get(tenant)?.account.release(credit, clock.readMs());
    metrics.add("quota_credits_returned");
  }

  /** Whether a credit still covers a request that is sent now. */
  canSend({ sendUntilMs }: TakenCredit): boolean {
    return this.#dependencies.clock.readMs() < sendUntilMs;
  }

  /** Forgets tenants that are without requests. */
  removeUnused(): void {
    const nowMs = this.#dependencies.clock.readMs();
    for (const [tenant, state] of this.#byTenant) {
      const isIdle = state.waiters.length === 0 && !state.isCalling &&
        state.account.debt === 0;
      if (isIdle && nowMs - state.usedAtMs > UNUSED_MS) {
        this.#byTenant.delete(tenant);
      }
    }
  }

  #getState(request: CreditRequest, nowMs: number): TenantState {
    const known = this.#byTenant.get(request.tenant);
    if (known !== undefined) {
      known.request = request;
      known.usedAtMs = nowMs;
      return known;
    }
    const state: TenantState = {
      request,
      account: new CreditAccount(nowMs),
      waiters: [],
      isCalling: false,
      refusal: "undecided",
      pausedUntilMs: 0,
      retryAtMs: 0,
      nextRetryAtMs: 0,
      decidedAtMs: nowMs,
      usedAtMs: nowMs,
    };
    this.#byTenant.set(request.tenant, state);
    return state;
  }

  /**
   * Admits a request ahead of a grant. Not while the home has no credits, and
   * not right after the start: a restart forgets what was admitted ahead, and
   * the gateway doesn't know yet how many there are.
   */
  #takeAhead(state: TenantState, nowMs: number): TakenCredit | undefined {
    const { bounds: { windowMs } } = this.#dependencies;
    if (nowMs < state.pausedUntilMs) return undefined;
    if (nowMs - this.#startedAtMs < windowMs) return undefined;
    return state.account.takeAhead(this.#computeTerms(state), nowMs);
  }

  #computeTerms({ request }: TenantState): QuotaTerms {
    const { bounds, countGateways } = this.#dependencies;
    return computeTerms(request.quota, bounds, { gateways: countGateways() });
  }

  #startCall(state: TenantState, nowMs: number): void {
    if (state.isCalling) return;
    const isPaused = nowMs < state.pausedUntilMs;
    // Credits in advance aren't requested while the home has none.
    if (isPaused && state.waiters.length === 0) return;
    state.isCalling = true;
    if (!isPaused) return void this.#call(state);
    const waitMs = Math.max(1, Math.ceil(state.retryAtMs - nowMs));
    setTimeout(() => void this.#call(state), Math.min(waitMs, MAX_WAIT_MS));
  }

  async #call(state: TenantState): Promise<void> {
    const { callHome, clock, metrics } = this.#dependencies;
    const { account, waiters, request } = state;
    let sentAtMs = clock.readMs();
    const credits = account.computeWanted(waiters.length, sentAtMs);
    metrics.add("quota_calls");
    const decision = await callHome({
      kind: "take_credits",
      ...request,
      credits,
      isForwarded: false,
    }, () => sentAtMs = clock.readMs());
    state.isCalling = false;
    this.#apply(state, decision, sentAtMs);
  }

  #apply(
    state: TenantState,
    decision: CreditDecision | undefined,
    sentAtMs: number,
  ): void {
    const nowMs = this.#dependencies.clock.readMs();
    state.decidedAtMs = nowMs;
    switch (decision?.kind) {
      case undefined:
        this.#pause(state, "undecided", {
          retryMs: NO_DECISION_RETRY_MS,
          pauseMs: NO_DECISION_PAUSE_MS,
        });
        break;
      case "unlimited":
        for (const { resolve } of state.waiters.splice(0)) {
          resolve({ kind: "admitted", credit: undefined });
        }
        return;
      case "unsettled":
        this.#pause(state, "undecided", {
          retryMs: decision.retryMs,
          pauseMs: MAX_PAUSE_MS,
        });
        break;
      case "granted": {
        const { lifeMs } = this.#computeTerms(state);
        state.account.addGrant(decision.credits, { sentAtMs, lifeMs });
        if (decision.retryMs > 0) {
          const { retryMs } = decision;
          this.#pause(state, "denied", { retryMs, pauseMs: MAX_PAUSE_MS });
        }
        break;
      }
      default:
        checkNever(decision);
    }
    this.#settleWaiters(state, nowMs);
  }

  #pause(
    state: TenantState,
    refusal: TenantState["refusal"],
    { retryMs, pauseMs }: {
      readonly retryMs: number;
      readonly pauseMs: number;
    },
  ): void {
    const nowMs = this.#dependencies.clock.readMs();
    state.refusal = refusal;
    state.retryAtMs = nowMs + retryMs;
    state.nextRetryAtMs = Math.max(state.nextRetryAtMs, state.retryAtMs);
    state.pausedUntilMs = nowMs + Math.min(retryMs, pauseMs);
  }

  /** Serves the waiting requests, in order; refuses those beyond the credits. */
  #settleWaiters(state: TenantState, nowMs: number): void {
    const { account } = state;
    while (state.waiters.length > 0) {
      const credit = account.take(nowMs);
      if (credit === undefined) break;
      this.#dependencies.metrics.add("quota_credits_waited");
      state.waiters.shift()?.resolve({ kind: "admitted", credit });
    }
    const retryMs = state.retryAtMs - nowMs;
    const isPaused = nowMs < state.pausedUntilMs;
    for (const waiter of state.waiters.splice(0)) {
      const waitedMs = nowMs - waiter.sinceMs;
      const isRefused = waitedMs > MAX_DECISION_MS || (isPaused &&
        (retryMs > MAX_WAIT_MS || waitedMs > MAX_TOTAL_WAIT_MS));
      if (isRefused) waiter.resolve(this.#refuse(state, nowMs));
      else state.waiters.push(waiter);
    }
    if (state.waiters.length > 0 || account.needsGrant(nowMs)) {
      this.#startCall(state, nowMs);
    }
  }

  /** Refuses a request; callers return one after another as credits come. */
  #refuse(state: TenantState, nowMs: number): CreditResult {
    const { refusal, decidedAtMs, request: { quota } } = state;
    const retryMs = Math.ceil(Math.max(1, state.nextRetryAtMs - nowMs));
    if (refusal === "denied") {
      const nextMs = nowMs + retryMs + MS_PER_SECOND / quota.ratePerS;
      state.nextRetryAtMs = Math.min(nowMs + MAX_RETRY_MS, nextMs);
    }
    this.#dependencies.metrics.add(
      refusal === "denied" ? "quota_denied" : "quota_undecided",
    );
    return { kind: refusal, retryMs, decisionAgeMs: nowMs - decidedAtMs };
  }
}
