/**
 * The inputs, results and options of the outbox of charges.
 */
import type {
  Charge,
  Effect,
  PlatformResponse,
  PlatformToken,
  ShardId,
} from "@camphorlock/types";

/** An input of the outbox. */
export type OutboxInput =
  | {
    /** The durable end of a call, in the order of the ledger. */
    readonly kind: "call_ended";
    readonly sequence: number;
    readonly charge: Charge;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformResponse;
  }
  | { readonly kind: "tick" };

/** The result of an input. */
export interface OutboxStep {
  readonly effects: readonly Effect[];
}

/** The options of an outbox. */
export interface OutboxOptions {
  readonly shard: ShardId;
  readonly publishEveryMs?: number;
  /** Number of a batch that exists, for instance from a ledger snapshot. */
  readonly storedNumber?: number;
}

/** A charge, with the sequence of its ledger entry. */
export interface PendingCharge {
  readonly sequence: number;
  readonly charge: Charge;
}
