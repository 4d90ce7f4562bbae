/**
 * Decides whether a request's key is accepted. Designed for 20,000 requests/s
 * over all gateways: one lookup and a few comparisons a request.
 *
 * A gateway may be cut off from the store while a key is removed. Its authority
 * to accept keys therefore ends with its knowledge of the configuration: the
 * check comes after the client has sent the request, so that a copy which was
 * confirmed less than `revocationMs` before the check includes every removal
 * that was acknowledged `revocationMs` or more before the request was sent.
 */
import type { Tenant } from "../model/tenant.ts";
import type { TenantDirectory } from "./tenant_directory.ts";

/**
 * Taken off the time in which a removed key may be accepted. Covers what the
 * age of a copy doesn't include: differences in the rates of the VMs' clocks
 * (below 1 ms in 5 s), early timers of the store, and the time between the
 * reading of an age and the start of the stopwatch that continues it.
 */
export const REVOCATION_MARGIN_MS = 250;

/** Time limits that the decision depends on. */
export interface KeyBounds {
  /** Undefined where keys are accepted whatever the age of the copy. */
  readonly revocationMs: number | undefined;
  /** Age from which a copy may lack a key that has to be known. */
  readonly renewalMs: number;
}

/** The inputs of a decision. */
export interface KeyQuestion {
  /** Undefined where callers need no keys. */
  readonly directory: TenantDirectory | undefined;
  readonly key: string | undefined;
  /** Whether the route needs no key. */
  readonly isPublic: boolean;
  /** Upper bound on the time since the directory was current. */
  readonly ageMs: number;
}

/** The decision on a request's key. */
export type KeyDecision =
  /** Without a tenant where no key is needed and none of a tenant was sent. */
  | { readonly kind: "admitted"; readonly tenant: Tenant | undefined }
  | { readonly kind: "unknown_key" }
  /** The gateway doesn't know which keys are in force. */
  | {
    readonly kind: "unconfirmed";
    readonly reason: "authority_lapsed" | "copy_too_old";
  };

/** Decides on keys. */
export class KeyAuthority {
  readonly #lapseMs: number;
  readonly #renewalMs: number;

  constructor({ revocationMs, renewalMs }: KeyBounds) {
    this.#lapseMs = revocationMs === undefined
      ? Number.POSITIVE_INFINITY
      : Math.max(0, revocationMs - REVOCATION_MARGIN_MS);
    this.#renewalMs = renewalMs;
  }

  /** Whether a copy of this age is too old to accept any key. */
  hasLapsed(ageMs: number): boolean {
    return ageMs >= this.#lapseMs && this.#lapseMs !== Number.POSITIVE_INFINITY;
  }

  /** Decides on a request. */
  check({ directory, key, isPublic, ageMs }: KeyQuestion): KeyDecision {
    if (directory === undefined) return { kind: "admitted", tenant: undefined };
    const hasLapsed = this.hasLapsed(ageMs);
    const tenant = key === undefined ? undefined : directory.find(key);
    // The tenant of a key that may have been removed isn't stated to a target.
    if (isPublic) {
      return { kind: "admitted", tenant: hasLapsed ? undefined : tenant };
    }
    if (hasLapsed) return { kind: "unconfirmed", reason: "authority_lapsed" };
    if (tenant !== undefined) return { kind: "admitted", tenant };
    // A configuration that this copy lacks may list the key.
    return ageMs >= this.#renewalMs
      ? { kind: "unconfirmed", reason: "copy_too_old" }
      : { kind: "unknown_key" };
  }
}
