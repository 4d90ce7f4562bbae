/**
 * The messages between gateways and disks, and between disks.
 */
import type { FactAnswer, FactMessage } from "@camphorlock/facts";
import { err, ok, type Result } from "neverthrow";
import type { KeptTurn } from "./model/kept_turn.ts";
import { decodeRunner, encodeRunner } from "./model/turn_owner.ts";

const ID_PATTERN = /^[\w.-]{1,128}$/;

/** A turn on the wire. */
export interface EncodedTurn {
  readonly id: string;
  readonly parentId?: string;
  /** Base64. */
  readonly input: string;
  /** Base64. */
  readonly output: string;
  /** Names the turn's tenant, too; see `encodeRunner`. */
  readonly targetId: string;
  readonly retentionMs: number;
  /** Time since the end of the turn. */
  readonly ageMs: number;
}

/** A message to a disk. */
export type DiskMessage =
  /** Checks that the disk's process responds. */
  | { readonly kind: "hello" }
  /** Saves the end of a chain, the oldest turn first. */
  | { readonly kind: "save_turns"; readonly turns: readonly EncodedTurn[] }
  /** Reads a turn with all its ancestors. */
  | { readonly kind: "load_chain"; readonly turnId: string }
  /**
   * Reads turns after a sequence number. The reader has saved all earlier ones
   * on its own disk.
   */
  | {
    readonly kind: "list_turns";
    readonly readerDiskId: string;
    readonly afterSequence: number;
    /** The numbering that the sequence number belongs to. */
    readonly numbering?: string;
  }
  /** Saves or finds what gateways share in memory. */
  | FactMessage;

/** Why a disk doesn't save a turn. */
export type SaveRefusal = "retiring" | "full" | "busy" | "disk_failed";

/** The body of a disk's response. */
export type DiskAnswer =
  | { readonly kind: "present" }
  | { readonly kind: "saved" }
  /** The disk lacks the parent of the first turn. */
  | { readonly kind: "needs_chain" }
  | { readonly kind: "refused"; readonly reason: SaveRefusal }
  | { readonly kind: "found"; readonly turns: readonly EncodedTurn[] }
  | { readonly kind: "absent" }
  | {
    readonly kind: "listed";
    readonly turns: readonly EncodedTurn[];
    readonly lastSequence: number;
    readonly isEnd: boolean;
    /** Changes with each start of the disk's process. */
    readonly numbering: string;
  }
  | FactAnswer
  | { readonly kind: "invalid"; readonly detail: string };

/** A disk's response. */
export interface DiskResponse {
  readonly diskId: string;
  /** Whether the disk still holds everything that it ever acknowledged. */
  readonly isComplete: boolean;
  readonly answer: DiskAnswer;
}

/** Encodes a turn. */
export function encodeTurn(turn: KeptTurn, nowMs: number): EncodedTurn {
  const { id, parentId, retentionMs, endedAtMs } = turn;
  return {
    id,
    ...(parentId === undefined ? {} : { parentId }),
    input: turn.input.toString("base64"),
    output: turn.output.toString("base64"),
    targetId: encodeRunner(turn),
    retentionMs,
    ageMs: Math.max(0, Math.round(nowMs - endedAtMs)),
  };
}

/** Decodes a turn; the error says what is invalid. */
export function decodeTurn(
  value: unknown,
  nowMs: number,
): Result<KeptTurn, string> {
  const turn = value as Partial<EncodedTurn> | null;
  const { id, parentId, input, output, targetId } = turn ?? {};
  if (!isId(id)) return err(`turn id is malformed: ${String(id)}`);
  if (parentId !== undefined && !isId(parentId)) {
    return err(`parent of turn ${id} is malformed: ${String(parentId)}`);
  }
  if (typeof input !== "string" || typeof output !== "string") {
    return err(`turn ${id} has no input or output`);
  }
  if (!isDuration(turn?.retentionMs) || !isDuration(turn.ageMs)) {
    return err(`turn ${id} has no valid retention or age`);
  }
  return ok({
    id,
    parentId,
    input: Buffer.from(input, "base64"),
    output: Buffer.from(output, "base64"),
    ...decodeRunner(typeof targetId === "string" ? targetId : ""),
    retentionMs: turn.retentionMs,
    endedAtMs: nowMs - turn.ageMs,
  });
}

/** Decodes turns; the error is that of the first invalid one. */
export function decodeTurns(
  values: unknown,
  nowMs: number,
): Result<KeptTurn[], string> {
  if (!Array.isArray(values)) return err("the turns aren't a list");
  const turns: KeptTurn[] = [];
  for (const value of values) {
    const turn = decodeTurn(value, nowMs);
    if (turn.isErr()) return err(turn.error);
    turns.push(turn.value);
  }
  return ok(turns);
}

/** Checks a response; undefined if it isn't one. */
export function parseDiskResponse(body: unknown): DiskResponse | undefined {
  const response = body as Partial<DiskResponse> | null | undefined;
  const isValid = typeof response?.diskId === "string" &&
    typeof response.isComplete === "boolean" &&
    typeof response.answer?.kind === "string";
  return isValid ? response as DiskResponse : undefined;
}

/** Whether a value is an id that a turn may have. */
export function isId(value: unknown): value is string {
  return typeof value === "string" && ID_PATTERN.test(value);
}

function isDuration(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
