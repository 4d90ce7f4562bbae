/**
 * Checks the keys of callers' requests against the configuration in force, and
 * follows whether this gateway may accept keys at all.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { checkNever } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { Tenant } from "../model/tenant.ts";
import {
  KeyAuthority,
  type KeyBounds,
  type KeyDecision,
  type KeyQuestion,
} from "./key_authority.ts";
import type { TenantDirectory } from "./tenant_directory.ts";

/**
 * When callers may return after a 503. Another gateway may know the keys at
 * once; if the store is away, none does for as long as that lasts.
 */
const RETRY_AFTER_MS = 100;

/** Why a request isn't accepted. No target has run it, and none will. */
export interface KeyRefusal {
  readonly code: "KeyUnknown" | "KeysUnconfirmed";
  readonly detail: string;
  /** Undefined where a retry gives the same answer. */
  readonly retryAfterMs: number | undefined;
  /** Age of the copy of the configuration that the decision is based on. */
  readonly configurationAgeMs: number;
}

/** A request whose key was accepted, or that needs none. */
export interface KeyAdmission {
  readonly tenant: Tenant | undefined;
  /** Whether the configuration has tenants, so that keys stay here. */
  readonly hasTenants: boolean;
  /**
   * Checks the key again, before the request is sent for the first time. The
   * check at the arrival of the head is enough for a request that was complete
   * by then: what counts is when the client sent it. But a client may send the
   * end of its body much later, and a request may wait for a target; none of
   * them has run yet, so that a refusal is still true and costs one lookup.
   */
  confirm(): KeyRefusal | undefined;
}

/** The part of a request that the check depends on. */
export interface KeyedRequest {
  readonly key: string | undefined;
  readonly isPublic: boolean;
}

/** Dependencies of the checks. */
export interface TenantKeysDependencies {
  readonly bounds: KeyBounds;
  readonly log: Pick<GatewayLog, "write">;
  readonly metrics: Pick<GatewayMetrics, "add">;
  /** The keys in force; undefined where callers need none. */
  getDirectory(): TenantDirectory | undefined;
  /** Upper bound on the time since these keys were current. */
  getAgeMs(): number;
}

/** The checks of one gateway. */
export class TenantKeys {
  readonly #dependencies: TenantKeysDependencies;
  readonly #authority: KeyAuthority;
  #hadLapsed = false;

  constructor(dependencies: TenantKeysDependencies) {
    this.#dependencies = dependencies;
    this.#authority = new KeyAuthority(dependencies.bounds);
  }

  /** Whether the gateway needs to know the keys, and no longer does. */
  get hasLapsed(): boolean {
    const { getDirectory, getAgeMs } = this.#dependencies;
    return getDirectory() !== undefined &&
      this.#authority.hasLapsed(getAgeMs());
  }

  /** Checks a request when its head has arrived. */
  check(request: KeyedRequest): Result<KeyAdmission, KeyRefusal> {
    const question = this.#buildQuestion(request);
    const decision = this.#authority.check(question);
    if (decision.kind !== "admitted") {
      return err(this.#refuse(decision, question.ageMs));
    }
    const { tenant } = decision;
    if (tenant !== undefined) this.#dependencies.metrics.add("keys_accepted");
    const hasTenants = question.directory !== undefined;
    return ok({
      tenant,
      hasTenants,
      // A request from before the first key was configured needs none.
      confirm: () => hasTenants ? this.#confirm(request) : undefined,
    });
  }

  /** Logs when the authority to accept keys lapses, and when it's back. */
  reportChange(): void {
    const { hasLapsed } = this;
    if (hasLapsed === this.#hadLapsed) return;
    this.#hadLapsed = hasLapsed;
    this.#dependencies.log.write(EVENTS.KeyAuthorityChanged, {
      has_lapsed: hasLapsed,
      configuration_age_ms: Math.round(this.#dependencies.getAgeMs()),
    });
  }

  #confirm(request: KeyedRequest): KeyRefusal | undefined {
    const question = this.#buildQuestion(request);
    const decision = this.#authority.check(question);
    return decision.kind === "admitted"
      ? undefined
      : this.#refuse(decision, question.ageMs);
  }

  #buildQuestion({ key, isPublic }: KeyedRequest): KeyQuestion {
    const { getDirectory, getAgeMs } = this.#dependencies;
    return { directory: getDirectory(), key, isPublic, ageMs: getAgeMs() };
  }

  #refuse(
    decision: Exclude<KeyDecision, { kind: "admitted" }>,
    ageMs: number,
  ): KeyRefusal {
    const { metrics } = this.#dependencies;
    switch (decision.kind) {
      case "unknown_key":
        metrics.add("keys_unknown");
        return {
          code: "KeyUnknown",
          detail: "the request carries no key of a tenant",
          retryAfterMs: undefined,
          configurationAgeMs: ageMs,
        };
      case "unconfirmed":
        metrics.add("keys_unconfirmed");
        return {
          code: "KeysUnconfirmed",
          detail: decision.reason === "authority_lapsed"
            ? "the keys in force haven't been confirmed in time"
            : "the key isn't known, and the copy of the keys may be outdated",
          retryAfterMs: RETRY_AFTER_MS,
          configurationAgeMs: ageMs,
        };
      default:
        return checkNever(decision);
    }
  }
}
