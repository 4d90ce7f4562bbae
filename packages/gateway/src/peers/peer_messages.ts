/**
 * The messages between gateways, and the checks on received ones.
 */
import { isPeerAddress } from "@camphorlock/channel";
import { err, ok, type Result } from "neverthrow";
import type {
  MovedAccount,
  TurnRequest,
  TurnResponse,
} from "../model/token_account.ts";
import type {
  FirstGrant,
  FirstGrantRequest,
} from "../accounts/first_allowance_granter.ts";
import type { EncodedShardTable } from "../decisions/shard_table.ts";
import type { BlockedRequest, CrashReport } from "../model/crash_report.ts";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { Quota } from "../model/tenant.ts";
import type { PermitDecision } from "../decisions/permit_bucket.ts";
import type { PathMessage } from "../paths/path_messages.ts";
import { isKnownKind } from "./protocol_version.ts";
import type { LoadAnswer, LoadReport } from "../load/load_messages.ts";
import type { ObservedLimit } from "../limits/permit_home.ts";
import type { ObjectKind, StoredChanges, StoredList } from "../ports.ts";

/** A message from one gateway to another. */
export type PeerMessage =
  /** Announces the sender; requests peers and shards that it lacks. */
  | {
    readonly kind: "hello";
    /** Number of other gateways in the sender's directory. */
    readonly known: number;
    /** Revision of the sender's shard table; 0 for none. */
    readonly shardsRevision: number;
    /** Number of requests that the sender knows to be blocked. */
    readonly blockedRequests: number;
  }
  /** Requests a turn's tokens from the home gateway of its program. */
  | { readonly kind: "open_turn"; readonly turn: TurnRequest }
  /** Reports the tokens that a turn forwarded to its caller. */
  | {
    readonly kind: "close_turn";
    readonly programId: string;
    readonly turnId: string;
    readonly passedTokens: number;
  }
  /** Transfers accounts to their new home. */
  | {
    readonly kind: "move_accounts";
    readonly accounts: readonly MovedAccount[];
  }
  /** Requests all of a program's first allowance; sent by older builds. */
  | { readonly kind: "grant_first"; readonly programId: string }
  /** Requests a part of a first allowance from the holder of its shard. */
  | { readonly kind: "grant_parts"; readonly request: FirstGrantRequest }
  /** Transfers the sender's shards, with the programs granted so far. */
  | { readonly kind: "take_shards"; readonly given: readonly string[] }
  /** Publishes a newer shard table. */
  | { readonly kind: "share_shards"; readonly shards: ShardTableUpdate }
  /** Requests the peer's cached objects of a kind. */
  | { readonly kind: "list_objects"; readonly objects: ObjectKind }
  /** Requests changes of the peer's cached objects of a kind. */
  | {
    readonly kind: "watch_objects";
    readonly objects: ObjectKind;
    readonly afterRevision: number;
    readonly waitMs: number;
    /** Older state is useless to the sender, so the peer responds at once. */
    readonly maxAgeMs: number;
  }
  /** Reports the end of a target to a home of its service. */
  | { readonly kind: "report_crash"; readonly report: CrashReport }
  /** Tells that an incarnation of a target has ended. */
  | { readonly kind: "share_end"; readonly incarnation: string }
  /** Tells which requests aren't sent to targets. */
  | {
    readonly kind: "share_blocked";
    readonly blocked: readonly BlockedRequest[];
    /** Only asks which of them have completed at the receiver. */
    readonly isProposed: boolean;
  }
  /** Requests a permit for one request to a target that names a limit. */
  | {
    readonly kind: "take_permit";
    readonly targetId: string;
    readonly failureDomain: string;
    /** What the sender last saw; without a limit, no permit is needed. */
    readonly observed: ObservedLimit;
    /** Whether the sender passes on another gateway's call. */
    readonly isForwarded: boolean;
  }
  /** Requests credits of a tenant's quota from the gateway that decides. */
  | {
    readonly kind: "take_credits";
    readonly tenant: string;
    /** The quota in the sender's configuration, and that one's version. */
    readonly quota: Quota;
    readonly configurationVersion: number;
    readonly credits: number;
    /** Whether the sender passes on another gateway's call. */
    readonly isForwarded: boolean;
  }
  /** Reports the load of targets to a collector. */
  | LoadReport;

/** A request for credits. */
export type CreditCall = Extract<
  PeerMessage,
  { readonly kind: "take_credits" }
>;

/** The decision on a request for credits. */
export type CreditDecision =
  /** Fewer credits than requested: the rest may be requested in `retryMs`. */
  | {
    readonly kind: "granted";
    readonly credits: number;
    readonly retryMs: number;
  }
  /** The home has just taken over and may not decide for `retryMs`. */
  | { readonly kind: "unsettled"; readonly retryMs: number }
  /** The tenant has no quota any more. */
  | { readonly kind: "unlimited" };

/** A request for a permit. */
export type PermitCall = Extract<
  PeerMessage,
  { readonly kind: "take_permit" }
>;

/** A call for another gateway's copy of the objects of one kind. */
export type ObjectCall = Extract<
  PeerMessage,
  { readonly kind: "list_objects" | "watch_objects" }
>;

/** Whether a message calls for objects. */
export function isObjectCall(message: PeerMessage): message is ObjectCall {
  return message.kind === "list_objects" || message.kind === "watch_objects";
}

/** A gateway's cached shard table. */
export interface ShardTableUpdate {
  readonly revision: number;
  /** Time since the table was last confirmed as the store's. */
  readonly ageMs: number;
  /** Absent when the receiver already has this revision. */
  readonly table?: EncodedShardTable;
}

/** The response to a message. */
export interface PeerResponse {
  /** The responding gateway. */
  readonly from: PeerInfo;
  /** Why the message wasn't handled; the other fields are absent then. */
  readonly error?: string;
  readonly peers?: readonly PeerInfo[];
  readonly turn?: TurnResponse;
  readonly shards?: ShardTableUpdate;
  /** Whether all of the first allowance was granted. */
  readonly isGiven?: boolean;
  /** The decision on a part of a first allowance. */
  readonly firstGrant?: FirstGrant;
  /** Whether the shards were transferred. */
  readonly isTaken?: boolean;
  readonly listed?: StoredList;
  readonly changes?: StoredChanges;
  /** Whether the requested changes are no longer retained. */
  readonly isHistoryGone?: boolean;
  readonly permit?: PermitDecision;
  readonly credits?: CreditDecision;
  /** The others' load, in answer to a report. */
  readonly load?: LoadAnswer;
  readonly blocked?: readonly BlockedRequest[];
  /** Blocked requests that have completed at the responding gateway. */
  readonly completed?: readonly string[];
  /** Age of the responding gateway's cached objects. */
  readonly ageMs?: number;
  /**
   * Whether the age is an upper bound. Older builds leave it out: they count a
   * watch without changes as age 0, however long its response took.
   */
  readonly isAgeBound?: boolean;
  /**
   * How long the responding gateway waited for a change, by its steady clock.
   * The rest of the call's time was spent on the way, or suspended.
   */
  readonly heldMs?: number;
}

/** A message with its sender. */
export interface PeerEnvelope<Message = PeerMessage> {
  readonly from: PeerInfo;
  readonly message: Message;
}

/** What arrives from other gateways. */
export type ReceivedEnvelope = PeerEnvelope<PeerMessage | PathMessage>;

/** A received message: one to handle, or of a kind that this build lacks. */
export type ParsedEnvelope =
  | { readonly kind: "known"; readonly envelope: ReceivedEnvelope }
  | {
    readonly kind: "unknown";
    readonly from: PeerInfo;
    readonly detail: string;
  };

/** Checks a message, whose sender may run another version. */
export function parseEnvelope(body: unknown): Result<ParsedEnvelope, string> {
  const envelope = body as Partial<ReceivedEnvelope> | null | undefined;
  const kind = envelope?.message?.kind;
  const from = envelope?.from;
  if (!isPeerInfo(from)) return err("invalid message sender");
  if (isKnownKind(kind)) {
    return ok({ kind: "known", envelope: envelope as ReceivedEnvelope });
  }
  const detail = `unknown message kind: ${String(kind)}`;
  return ok({ kind: "unknown", from, detail });
}

/** Checks a response. */
export function parseResponse(body: unknown): Result<PeerResponse, string> {
  return isPeerInfo((body as Partial<PeerResponse> | null)?.from)
    ? ok(body as PeerResponse)
    : err("invalid response sender");
}

/** Whether a received or stored value is a gateway's entry. */
export function isPeerInfo(value: unknown): value is PeerInfo {
  const info = value as Partial<PeerInfo> | null | undefined;
  return typeof info?.vmId === "string" && isPeerAddress(info) &&
    typeof info.bootId === "string" &&
    typeof info.region === "string" &&
    (info.protocol === undefined || Number.isInteger(info.protocol));
}
