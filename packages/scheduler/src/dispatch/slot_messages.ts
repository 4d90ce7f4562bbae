/**
 * Builds the messages and log lines of a dispatcher about slots.
 */
import { EVENTS } from "@camphorlock/codes";
import type {
  AttemptId,
  DispatchMessage,
  Effect,
  TargetLoad,
  VmId,
} from "@camphorlock/types";

/** Why a slot is refused. */
export type RefusalReason = Extract<
  DispatchMessage,
  { kind: "slot_refused" }
>["reason"];

/** Builds the message that grants a slot. */
export function buildGrant(
  to: VmId,
  attemptId: AttemptId,
  options: { readonly load: TargetLoad; readonly expiresInMs: number },
): Effect {
  const { load, expiresInMs } = options;
  const { targetId } = load;
  return {
    kind: "send_peer",
    to,
    message: { kind: "slot_granted", attemptId, targetId, expiresInMs, load },
  };
}

/** Builds the message that refuses a slot. */
export function buildRefusal(
  to: VmId,
  attemptId: AttemptId,
  options: {
    readonly load: TargetLoad;
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  },
): Effect {
  const { load, reason, retryAfterMs } = options;
  const { targetId } = load;
  return {
    kind: "send_peer",
    to,
    message: {
      kind: "slot_refused",
      attemptId,
      targetId,
      reason,
      retryAfterMs,
      load,
    },
  };
}

/** Builds the log line of a granted slot. */
export function buildGrantLog(
  attemptId: AttemptId,
  load: TargetLoad,
  waitedMs: number,
): Effect {
  const fields = { attemptId, ...getSummary(load), waitedMs };
  return { kind: "log", record: { event: EVENTS.SlotGranted.event, fields } };
}

/** Builds the log line of a refused slot. */
export function buildRefusalLog(
  attemptId: AttemptId,
  load: TargetLoad,
  reason: RefusalReason,
): Effect {
  const fields = { attemptId, ...getSummary(load), reason };
  return { kind: "log", record: { event: EVENTS.SlotRefused.event, fields } };
}

function getSummary(
  load: TargetLoad,
): Pick<TargetLoad, "targetId" | "running" | "limit" | "queued"> {
  const { targetId, running, limit, queued } = load;
  return { targetId, running, limit, queued };
}
