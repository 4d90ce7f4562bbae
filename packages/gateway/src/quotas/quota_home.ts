/**
 * The quotas that this gateway decides on for all gateways. Holds one bucket for
 * each tenant that asked lately; a tenant whose bucket is full is forgotten,
 * because a new bucket is full as well. Made for 10,000 tenants.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import type { Quota } from "../model/tenant.ts";
import type { CreditCall, CreditDecision } from "../peers/peer_messages.ts";
import type { QuotaBounds } from "../ports.ts";
import { type HomeStanding, QuotaBucket } from "./quota_bucket.ts";
import { computeTerms } from "./quota_terms.ts";

/** Twice the tenants of the largest installation. */
const MAX_TENANTS = 20_000;
/** Tenants that didn't ask for this long are forgotten when full. */
const UNUSED_MS = 30_000;

/** A tenant's quota in one version of the configuration. */
export interface VersionedQuota {
  /** Undefined when the tenant has no limit. */
  readonly quota: Quota | undefined;
  readonly configurationVersion: number;
}

/** What this gateway knows when it decides. */
export interface DecisionInputs {
  readonly nowMs: number;
  /** Number of gateways of the group. */
  readonly gateways: number;
  readonly standing: HomeStanding;
  /** The tenant in this gateway's own configuration, if it's listed there. */
  readonly own: VersionedQuota | undefined;
}

interface HomeEntry extends VersionedQuota {
  readonly quota: Quota;
  readonly gateways: number;
  readonly bucket: QuotaBucket;
  readonly sinceMs: number;
  usedAtMs: number;
}

/** Settings and listener of the home. */
export interface QuotaHomeOptions {
  readonly bounds: QuotaBounds;
  /** Called when the home first decides in the place of another gateway. */
  readonly onTakeover: (tenant: string, standing: HomeStanding) => void;
}

/** The buckets of one gateway. */
export class QuotaHome {
  readonly #options: QuotaHomeOptions;
  readonly #entries = new BoundedMap<string, HomeEntry>(MAX_TENANTS);

  constructor(options: QuotaHomeOptions) {
    this.#options = options;
  }

  /** Number of tenants with a bucket. */
  get size(): number {
    return this.#entries.size;
  }

  /** Decides on a call by the newest configuration that it or the home has. */
  take(
    call: Pick<
      CreditCall,
      "tenant" | "quota" | "configurationVersion" | "credits"
    >,
    inputs: DecisionInputs,
  ): CreditDecision {
    const known = this.#entries.get(call.tenant);
    const newest = [known, inputs.own].reduce<VersionedQuota>(
      (best, each) =>
        each !== undefined &&
          each.configurationVersion > best.configurationVersion
          ? each
          : best,
      call,
    );
    const { quota } = newest;
    if (quota === undefined) {
      this.#entries.remove(call.tenant);
      return { kind: "unlimited" };
    }
    const entry = this.#update(call.tenant, { ...newest, quota }, inputs);
    entry.usedAtMs = inputs.nowMs;
    const wanted = Math.max(0, Math.floor(call.credits));
    return entry.bucket.take(wanted, inputs.standing, inputs.nowMs);
  }

  /** Forgets tenants whose bucket has been full for a while. */
  removeUnused(nowMs: number): void {
    for (const [tenant, { usedAtMs, bucket }] of this.#entries.list()) {
      if (nowMs - usedAtMs > UNUSED_MS && bucket.isFull(nowMs)) {
        this.#entries.remove(tenant);
      }
    }
  }

  #update(
    tenant: string,
    { quota, configurationVersion }: VersionedQuota & { readonly quota: Quota },
    { nowMs, gateways, standing }: DecisionInputs,
  ): HomeEntry {
    const known = this.#entries.get(tenant);
    const { sinceMs } = standing;
    const isSame = known !== undefined && known.gateways === gateways &&
      known.quota.ratePerS === quota.ratePerS &&
      known.quota.burst === quota.burst && known.sinceMs === sinceMs &&
      known.configurationVersion === configurationVersion;
    if (isSame) return known;
    const { bounds, onTakeover } = this.#options;
    const terms = computeTerms(quota, bounds, { gateways });
    const bucket = known?.bucket ?? new QuotaBucket(terms, nowMs);
    bucket.setTerms(terms, nowMs, standing.share);
    const isTakeover = known === undefined
      ? nowMs - sinceMs < bounds.windowMs
      : known.sinceMs !== sinceMs;
    if (isTakeover) {
      bucket.reset(standing, nowMs);
      onTakeover(tenant, standing);
    }
    const entry: HomeEntry = {
      quota,
      configurationVersion,
      gateways,
      bucket,
      sinceMs,
      usedAtMs: nowMs,
    };
    this.#entries.set(tenant, entry);
    return entry;
  }
}
