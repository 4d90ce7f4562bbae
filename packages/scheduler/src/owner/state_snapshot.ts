/**
 * Encodes the state of a shard as the shortest list of entries that folds to
 * it, in parts that fit a platform object.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { EntryBody, TargetId } from "@camphorlock/types";
import { Packr } from "msgpackr";
import { Result } from "neverthrow";
import type { CallState, ProgramState } from "./program_state.ts";
import { buildStoredCall } from "./shared_messages.ts";
import { ShardState } from "./shard_state.ts";

/** Maximum size of the entries in one part of a snapshot, in bytes. */
const MAX_PART_BYTES = 800_000;

const packr = new Packr({ useRecords: false });

/** Encodes a state in parts that each fit a platform object. */
export function encodeSnapshot(state: ShardState): Uint8Array[] {
  const parts: Uint8Array[] = [];
  let part: Uint8Array[] = [];
  let bytes = 0;
  for (const body of listStateEntries(state)) {
    const encoded = packr.pack(body);
    if (bytes + encoded.length > MAX_PART_BYTES && part.length > 0) {
      parts.push(packr.pack(part));
      part = [];
      bytes = 0;
    }
    part.push(encoded);
    bytes += encoded.length;
  }
  if (part.length > 0) parts.push(packr.pack(part));
  return parts;
}

/** Decodes the parts of a snapshot into the entries that fold to its state. */
export function decodeSnapshot(
  parts: readonly Uint8Array[],
): Result<EntryBody[], Failure> {
  return Result.combine(parts.map((part) => decodePart(part)))
    .map((lists) => lists.flat());
}

const decodePart = Result.fromThrowable(
  (part: Uint8Array): EntryBody[] =>
    (packr.unpack(part) as Uint8Array[]).map((body) => packr.unpack(body)),
  (error) => createFailure("Internal", `unreadable snapshot: ${error}`),
);

/** Lists entries that fold to the state. */
export function listStateEntries(state: ShardState): EntryBody[] {
  const entries: EntryBody[] = [];
  const scratch = new ShardState();
  const add = (body: EntryBody): void => {
    scratch.apply(body);
    entries.push(body);
  };
  for (const program of state.programs.values()) {
    add({ kind: "program_created", spec: program.spec });
    addCalls(program, scratch, add);
    addEnd(program, add);
  }
  return entries;
}

function addCalls(
  program: ProgramState,
  scratch: ShardState,
  add: (body: EntryBody) => void,
): void {
  const { programId } = program.spec;
  for (const call of program.callsById.values()) {
    const copy = scratch.programs.get(programId);
    if (copy === undefined) return;
    const { callId, key, requestDigest, reservedMicros } = call;
    const stored = buildStoredCall(copy, call.call);
    const head = { kind: "call_accepted", programId, callId, key } as const;
    add({ ...head, requestDigest, reservedMicros, ...stored });
    for (const attempt of call.attempts) {
      add({ kind: "attempt_started", programId, callId, ...attempt });
    }
    addCallEnd(program, call, add);
  }
}

function addCallEnd(
  program: ProgramState,
  call: CallState,
  add: (body: EntryBody) => void,
): void {
  const { programId } = program.spec;
  const { callId, outcome, endedAtMs, serviceMs } = call;
  if (call.lostHeldMicros > 0) {
    const attemptId = call.attempts.at(-1)?.attemptId ?? "";
    const lost = {
      kind: "attempt_lost",
      programId,
      callId,
      attemptId,
    } as const;
    const { lostHeldMicros, lostChargedMicros } = call;
    const heldMicros = lostHeldMicros;
    add({ ...lost, heldMicros, chargedMicros: lostChargedMicros });
  }
  if (outcome === undefined) return;
  const end = { kind: "call_ended", programId, callId, outcome } as const;
  add({ ...end, endedAtMs, serviceMs });
}

function addEnd(
  program: ProgramState,
  add: (body: EntryBody) => void,
): void {
  const { programId } = program.spec;
  if (program.endReason !== undefined) {
    add({ kind: "program_ended", programId, reason: program.endReason });
  }
  for (const targetId of listReleased(program)) {
    add({ kind: "memory_released", programId, targetId });
  }
}

/** Lists the targets that were used and have released their memory. */
function listReleased(program: ProgramState): TargetId[] {
  const used = new Set<TargetId>();
  for (const call of program.callsById.values()) {
    for (const attempt of call.attempts) used.add(attempt.targetId);
  }
  return [...used].filter((targetId) => !program.heldBy.has(targetId));
}
