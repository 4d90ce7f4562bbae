/**
 * The messages between gateways, and the check of what arrives.
 */
import { err, ok, type Result } from "neverthrow";
import type {
  MovedAccount,
  TurnAnswer,
  TurnRequest,
} from "../model/token_account.ts";
import type { EncodedShardTable } from "../decisions/shard_table.ts";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { ObjectKind, StoredChanges, StoredList } from "../ports.ts";

/** A message from one gateway to another. */
export type PeerMessage =
  /** Tells of itself, and asks for what the peer knows beyond the sender. */
  | {
    readonly kind: "hello";
    /** Number of gateways that the sender knows. */
    readonly known: number;
    /** Revision of the shard table that the sender knows; 0 for none. */
    readonly shardsRevision: number;
  }
  /** Asks a home for tokens of a turn. */
  | { readonly kind: "open_turn"; readonly turn: TurnRequest }
  | {
    readonly kind: "close_turn";
    readonly programId: string;
    readonly turnId: string;
    readonly passedTokens: number;
  }
  /** Gives accounts to their new home. */
  | {
    readonly kind: "move_accounts";
    readonly accounts: readonly MovedAccount[];
  }
  /** Asks the holder of a program's shard for its first allowance. */
  | { readonly kind: "grant_first"; readonly programId: string }
  /** Gives the sender's shards away, with the programs that were served. */
  | { readonly kind: "take_shards"; readonly given: readonly string[] }
  /** Tells of a newer shard table. */
  | { readonly kind: "share_shards"; readonly shards: ShardNews }
  /** Asks for the objects of a kind as the peer knows them. */
  | { readonly kind: "list_objects"; readonly objects: ObjectKind }
  /** Asks for changes of the objects of a kind. */
  | {
    readonly kind: "watch_objects";
    readonly objects: ObjectKind;
    readonly afterRevision: number;
    readonly waitMs: number;
    /** Older news is of no use and told at once. */
    readonly maxAgeMs: number;
  };

/** The shard table as one gateway knows it. */
export interface ShardNews {
  readonly revision: number;
  /** Time since the store last had it. */
  readonly ageMs: number;
  /** Absent where the receiver knows this revision. */
  readonly table?: EncodedShardTable;
}

/** The answer to a message. */
export interface PeerAnswer {
  /** The answering gateway. */
  readonly from: PeerInfo;
  readonly peers?: readonly PeerInfo[];
  readonly turn?: TurnAnswer;
  readonly shards?: ShardNews;
  readonly isGiven?: boolean;
  /** Whether the shards were taken over. */
  readonly isTaken?: boolean;
  readonly listed?: StoredList;
  readonly changes?: StoredChanges;
  /** Whether the changes that were asked for are no longer kept. */
  readonly isHistoryGone?: boolean;
  /** Age of what the answering gateway knows. */
  readonly ageMs?: number;
}

/** A message with its sender. */
export interface PeerEnvelope {
  readonly from: PeerInfo;
  readonly message: PeerMessage;
}

const KINDS: readonly PeerMessage["kind"][] = [
  "hello",
  "open_turn",
  "close_turn",
  "move_accounts",
  "grant_first",
  "take_shards",
  "share_shards",
  "list_objects",
  "watch_objects",
];

/** Checks a message. All gateways of an installation run one version. */
export function parseEnvelope(body: unknown): Result<PeerEnvelope, string> {
  const envelope = body as Partial<PeerEnvelope> | null | undefined;
  const kind = envelope?.message?.kind;
  if (!isPeerInfo(envelope?.from)) return err("the sender is missing");
  if (kind === undefined || !KINDS.includes(kind)) {
    return err(`unknown kind of message: ${String(kind)}`);
  }
  return ok(envelope as PeerEnvelope);
}

/** Checks an answer. */
export function parseAnswer(body: unknown): Result<PeerAnswer, string> {
  return isPeerInfo((body as Partial<PeerAnswer> | null)?.from)
    ? ok(body as PeerAnswer)
    : err("the sender is missing");
}

function isPeerInfo(value: unknown): value is PeerInfo {
  const info = value as Partial<PeerInfo> | null | undefined;
  return typeof info?.vmId === "string" && typeof info.host === "string" &&
    typeof info.port === "number" && typeof info.bootId === "string" &&
    typeof info.region === "string";
}
