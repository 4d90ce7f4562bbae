/**
 * Whether a target has capacity for a call: free slots, the slots reserved for
 * short calls, and the bound on prompt computation.
 */
import { type RunningSlots, SMALL_PROMPT_TOKENS } from "./running_slots.ts";
import type { PrefillPolicy, ShortRoomPolicy } from "./settings.ts";
import { countUncachedTokens, type WaitingCall } from "./waiting_call.ts";

/** Whether a slot is free for the call. */
export function hasFreeSlot(
  call: WaitingCall,
  running: RunningSlots,
  options: { readonly slots: number; readonly shortRoom: ShortRoomPolicy },
): boolean {
  const { slots, shortRoom } = options;
  if (running.size >= slots) return false;
  if (call.request.programClass === "short") return true;
  return running.longCount < countLongSlots(slots, shortRoom);
}

/**
 * Whether a call's prompt may be computed beside those in progress. Small
 * prompts have a bound of their own, and those of short calls always fit.
 */
export function hasPrefillRoom(
  call: WaitingCall,
  running: RunningSlots,
  prefill: PrefillPolicy,
): boolean {
  if (prefill.kind === "none") return true;
  const { largePrefillTokens, prefillTokens } = running;
  if (!isSmallPrompt(call)) {
    const sum = largePrefillTokens + countUncachedTokens(call.request);
    return largePrefillTokens === 0 || sum <= prefill.mostTokens;
  }
  if (call.request.programClass === "short") return true;
  const smallTokens = prefillTokens - largePrefillTokens;
  const sum = smallTokens + countUncachedTokens(call.request);
  return sum <= prefill.smallTokens;
}

/** Whether the call's prompt is small, so that it may overtake long ones. */
export function isSmallPrompt(call: WaitingCall): boolean {
  return countUncachedTokens(call.request) <= SMALL_PROMPT_TOKENS;
}

function countLongSlots(slots: number, shortRoom: ShortRoomPolicy): number {
  if (shortRoom.kind === "none") return slots;
  return Math.max(1, slots - Math.ceil(slots * shortRoom.slotShare));
}
