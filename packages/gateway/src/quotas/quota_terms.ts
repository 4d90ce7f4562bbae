/**
 * Works out how far each part may go with a tenant's quota, so that all of them
 * together keep the bound on each window.
 *
 * Within a window W the bound leaves an excess E = overrun x (rate x W + burst)
 * + slack beyond rate x W + burst. Half of it goes to requests that gateways
 * admit ahead of their grants. The rest covers credits that are used later than
 * they were granted (rate x life), and twice what a home grants before it knows
 * that no other gateway grants for the tenant. docs/design/quotas.md has the
 * proof.
 */
import type { Quota } from "../model/tenant.ts";
import type { QuotaBounds } from "../ports.ts";

/** Credits that a gateway holds in advance expire after this long. */
export const BATCH_LIFE_MS = 200;
/** A shorter life would end credits on their way between regions. */
const MIN_LIFE_MS = 50;
/** A request that waited longer for its target takes a credit anew. */
const MAX_LIFE_MS = 2_000;
/** Variation of the time that requests take on their way to the home. */
const JITTER_MS = 100;
/** Rate granted beyond the quota, in place of credits that expire unused. */
const EXPIRY_ALLOWANCE = 0.01;
/** Neither of these two takes more than this part of what is left. */
const MAX_ALLOWANCE_PART = 1 / 8;
/** Changes of the home that one window may contain at full strength. */
const CHANGES_PER_WINDOW = 2;
const MS_PER_SECOND = 1_000;

/** What a quota permits each part to do. */
export interface QuotaTerms {
  /** Rate at which the home grants credits. */
  readonly ratePerS: number;
  /** Credits that the home may hold. */
  readonly burst: number;
  /** Time from a grant until the request must have been sent. */
  readonly lifeMs: number;
  /** Requests that each gateway may admit ahead of its grants. */
  readonly runAhead: number;
  /** Credits that a home may hold, or grant, right after it took over. */
  readonly startCredits: number;
  /** Time after which a gateway may grant its starting credits again. */
  readonly windowMs: number;
}

/** Computes the terms of a quota among `gateways` gateways. */
export function computeTerms(
  quota: Quota,
  { windowMs, overrun, slack }: QuotaBounds,
  { gateways }: { readonly gateways: number },
): QuotaTerms {
  const { ratePerS } = quota;
  const windowS = windowMs / MS_PER_SECOND;
  const burst = Math.max(1, quota.burst);
  const excess = overrun * (ratePerS * windowS + quota.burst) + slack;
  const runAhead = Math.floor(excess / 2 / Math.max(1, gateways));
  const rest = excess - runAhead * gateways - (burst - quota.burst);
  const most = Math.max(0, rest) * MAX_ALLOWANCE_PART;
  const jitter = Math.min(ratePerS * JITTER_MS / MS_PER_SECOND, most);
  const expiry = Math.min(ratePerS * windowS * EXPIRY_ALLOWANCE, most);
  const left = rest - jitter - expiry;
  const lifeMs = computeLifeMs(left / ratePerS * MS_PER_SECOND);
  const lifeS = lifeMs / MS_PER_SECOND;
  const startCredits = Math.max(0, left - ratePerS * lifeS) /
    CHANGES_PER_WINDOW;
  const spare = rest - jitter - CHANGES_PER_WINDOW * startCredits;
  return {
    // Without enough excess, the home grants less, not the life's share more.
    ratePerS: Math.min(
      ratePerS + expiry / windowS,
      Math.max(0, ratePerS * windowS + spare) / (windowS + lifeS),
    ),
    burst: burst + jitter,
    lifeMs,
    runAhead,
    startCredits,
    windowMs,
  };
}

/** A third of what is allowed, but a batch's life if all of it allows that. */
function computeLifeMs(allowedMs: number): number {
  const lifeMs = Math.max(allowedMs / 3, Math.min(BATCH_LIFE_MS, allowedMs));
  return Math.min(MAX_LIFE_MS, Math.max(MIN_LIFE_MS, lifeMs));
}
