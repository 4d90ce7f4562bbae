/**
 * The home of the permits of limited targets: decides for all gateways which of
 * their requests a target gets, from the latest response that any of them saw.
 */
import {
  PermitBucket,
  type PermitDecision,
} from "../decisions/permit_bucket.ts";

/** Targets for which nobody asked for this long are forgotten. */
const UNUSED_MS = 30_000;

/** What a gateway last saw of a target's limit. */
export interface ObservedLimit {
  /** Undefined when the target's response named none. */
  readonly requestsPerSecond: number | undefined;
  /** Time since that response. */
  readonly ageMs: number;
}

interface HomeEntry {
  bucket: PermitBucket | undefined;
  /** When the response was seen that decides. */
  seenAtMs: number;
  usedAtMs: number;
}

/** The permits that this gateway gives out. */
export class PermitHome {
  readonly #byTarget = new Map<string, HomeEntry>();

  /** Decides on one request of a gateway. */
  take(
    { targetId, gatewayId, observed }: {
      readonly targetId: string;
      readonly gatewayId: string;
      readonly observed: ObservedLimit;
    },
    nowMs: number,
  ): PermitDecision {
    const { bucket } = this.#record(targetId, observed, nowMs);
    if (observed.requestsPerSecond === undefined) return { kind: "unlimited" };
    return bucket?.take(gatewayId, nowMs) ?? { kind: "unlimited" };
  }

  /** Records what a gateway saw, unless another one saw something later. */
  #record(
    targetId: string,
    { requestsPerSecond, ageMs }: ObservedLimit,
    nowMs: number,
  ): HomeEntry {
    const seenAtMs = nowMs - ageMs;
    const known = this.#byTarget.get(targetId) ??
      {
        bucket: undefined,
        seenAtMs: Number.NEGATIVE_INFINITY,
        usedAtMs: nowMs,
      };
    this.#byTarget.set(targetId, known);
    known.usedAtMs = nowMs;
    if (seenAtMs < known.seenAtMs) return known;
    known.seenAtMs = seenAtMs;
    if (requestsPerSecond === undefined) known.bucket = undefined;
    else if (known.bucket !== undefined) {
      known.bucket.setRate(requestsPerSecond, nowMs);
    } else known.bucket = new PermitBucket(requestsPerSecond, nowMs);
    return known;
  }

  /** Forgets targets for which nobody has asked for a while. */
  removeUnused(nowMs: number): void {
    for (const [targetId, { usedAtMs }] of this.#byTarget) {
      if (nowMs - usedAtMs > UNUSED_MS) this.#byTarget.delete(targetId);
    }
  }
}
