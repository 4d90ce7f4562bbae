/**
 * The messages between gateways, and the check of what arrives.
 */
import { err, ok, type Result } from "neverthrow";
import type { AccountState, TurnRequest } from "../model/token_account.ts";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { ObjectKind, StoredChanges, StoredList } from "../ports.ts";

/** A message from one gateway to another. */
export type PeerMessage =
  /** Tells of itself, and asks for the others if the peer knows another number. */
  | { readonly kind: "hello"; readonly known: number }
  /** Asks a home to admit a turn. */
  | { readonly kind: "open_turn"; readonly turn: TurnRequest }
  /** Asks the second home to confirm a turn that the first one admitted. */
  | { readonly kind: "confirm_turn"; readonly turn: TurnRequest }
  | {
    readonly kind: "close_turn";
    readonly programId: string;
    readonly turnId: string;
    readonly passedTokens: number;
    /** Sent by a home of another region, which isn't told in return. */
    readonly isDistant?: boolean;
  }
  /** Hands accounts to a home. */
  | { readonly kind: "merge_accounts"; readonly accounts: AccountState[] }
  /** Asks a home of another region what it knows. */
  | { readonly kind: "find_account"; readonly programId: string }
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

/** What a home answers to `open_turn`. */
export type TurnAnswer = "admitted" | "over_budget" | "unavailable";

/** The answer to a message. */
export interface PeerAnswer {
  /** The answering gateway. */
  readonly from: PeerInfo;
  readonly peers?: readonly PeerInfo[];
  readonly turn?: TurnAnswer;
  readonly isConfirmed?: boolean;
  readonly account?: AccountState;
  /** Whether the answering gateway may have lost accounts. */
  readonly mayHaveLost?: boolean;
  /** Gateways of its region that ended lately without a planned stop. */
  readonly lost?: readonly string[];
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
  "confirm_turn",
  "close_turn",
  "merge_accounts",
  "find_account",
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
