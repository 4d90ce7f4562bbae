/**
 * The platform's object API as the decisions see it: versions, conditional
 * updates, listing and watches. Each request counts against the rate limits.
 */
import type { ShardId } from "./ids.ts";

/** The role that made a platform request and receives its answer. */
export type PlatformRole =
  | "ledger"
  | "recovery"
  | "assignment"
  | "configuration"
  | "budget"
  | "charge";

/** Names a request, so that its answer finds the way back. */
export interface PlatformToken {
  readonly role: PlatformRole;
  /** The shard, for roles that exist once a shard. */
  readonly shard?: ShardId;
  readonly number: number;
}

/** What must hold of the stored object for a write to take effect. */
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
    /** Answers as soon as a key below the prefix changed after a position. */
    readonly kind: "watch";
    readonly prefix: string;
    /** The position of the last answer; zero gives the present one at once. */
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

/** The answer to a platform request. */
export type PlatformAnswer =
  | { readonly kind: "found"; readonly object: PlatformObject }
  | { readonly kind: "absent"; readonly key: string }
  | {
    readonly kind: "stored";
    readonly key: string;
    readonly version: number;
  }
  | { readonly kind: "deleted"; readonly key: string }
  | {
    /** The condition didn't hold; nothing changed. */
    readonly kind: "conflict";
    readonly key: string;
    /** The stored version, zero when the object is absent. */
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
     * `refused` and `rate_limited` had no effect. After `lost` a write may
     * have taken effect, or may yet.
     */
    readonly kind: "failed";
    readonly reason: "refused" | "rate_limited" | "lost";
  };
