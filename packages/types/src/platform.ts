/**
 * The platform's object API as used by the decisions: versions, conditional
 * updates, listing and watches. Each request counts against the rate limits.
 */
import type { ShardId } from "./ids.ts";

/** The component that sent a platform request and receives the response. */
export type PlatformRole =
  | "ledger"
  | "recovery"
  | "assignment"
  | "configuration"
  | "budget"
  | "charge";

/** Correlates a response with its request. */
export interface PlatformToken {
  readonly role: PlatformRole;
  /** The shard, for roles that exist once per shard. */
  readonly shard?: ShardId;
  readonly number: number;
}

/** The condition on the stored object under which a write takes effect. */
export type WriteCondition =
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: number }
  | { readonly kind: "any" };

/** One request to the object API. Values are at most 1 MB. */
export type PlatformRequest =
  | { readonly kind: "get"; readonly key: string }
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: Uint8Array;
    readonly condition: WriteCondition;
  }
  | {
    readonly kind: "delete";
    readonly key: string;
    readonly condition: WriteCondition;
  }
  | {
    /** Lists keys in order, without values. */
    readonly kind: "list";
    readonly prefix: string;
    readonly after?: string;
    readonly limit: number;
  }
  | {
    /** Responds once a key with the prefix has changed after a position. */
    readonly kind: "watch";
    readonly prefix: string;
    /** The last response's position; zero requests the current one at once. */
    readonly afterPosition: number;
  };

/** One stored object. */
export interface PlatformObject {
  readonly key: string;
  readonly value: Uint8Array;
  readonly version: number;
}

/** A key and its version, as listed. */
export interface PlatformKey {
  readonly key: string;
  readonly version: number;
}

/** The response to a platform request. */
export type PlatformResponse =
  | { readonly kind: "found"; readonly object: PlatformObject }
  | { readonly kind: "absent"; readonly key: string }
  | {
    readonly kind: "stored";
    readonly key: string;
    readonly version: number;
  }
  | { readonly kind: "deleted"; readonly key: string }
  | {
    /** The condition wasn't met; nothing changed. */
    readonly kind: "conflict";
    readonly key: string;
    /** The stored version; zero if the object is absent. */
    readonly version: number;
  }
  | { readonly kind: "listed"; readonly keys: readonly PlatformKey[] }
  | {
    readonly kind: "changed";
    readonly keys: readonly PlatformKey[];
    readonly position: number;
  }
  | {
    /**
     * `refused` and `rate_limited` requests had no effect. A `lost` write may
     * have taken effect, or may take effect later.
     */
    readonly kind: "failed";
    readonly reason: "refused" | "rate_limited" | "lost";
  };
