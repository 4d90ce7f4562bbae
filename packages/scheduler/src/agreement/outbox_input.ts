/**
 * What the outbox of charges is told, and what it asks for.
 */
import type {
  Charge,
  Effect,
  PlatformAnswer,
  PlatformToken,
  ShardId,
} from "@camphorlock/types";

/** What the outbox is told. */
export type OutboxInput =
  | {
    /** A durable end of a call, in the order of the ledger. */
    readonly kind: "call_ended";
    readonly sequence: number;
    readonly charge: Charge;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformAnswer;
  }
  | { readonly kind: "tick" };

/** What the outbox asks for. */
export interface OutboxStep {
  readonly effects: readonly Effect[];
}

/** The shard and the rate of its outbox. */
export interface OutboxOptions {
  readonly shard: ShardId;
  readonly publishEveryMs?: number;
  /** A batch known to exist, for instance from a snapshot of the ledger. */
  readonly knownNumber?: number;
}

/** A charge and the ledger entry that it comes from. */
export interface PendingCharge {
  readonly sequence: number;
  readonly charge: Charge;
}
