/**
 * Switches the faults of a running platform stand-in.
 */
import { z } from "zod";
import type { PlatformFault } from "./fault_plan.ts";
import type { FaultyStore } from "./faulty_store.ts";
import type { CallCounts } from "./object_store.ts";

const TIMING = {
  durationMs: z.number().positive(),
  prefix: z.string().optional(),
};
const SHARE = z.number().min(0).max(1);

/** A fault that begins now, as a request to the control endpoint. */
export const FAULT_REQUEST = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("outage"), ...TIMING }),
  z.strictObject({ kind: z.literal("silent"), ...TIMING }),
  z.strictObject({ kind: z.literal("lost_answer"), share: SHARE, ...TIMING }),
  z.strictObject({
    kind: z.literal("late_effect"),
    share: SHARE,
    delayMs: z.int().nonnegative(),
    ...TIMING,
  }),
  z.strictObject({
    kind: z.literal("slow"),
    maxDelayMs: z.int().positive(),
    ...TIMING,
  }),
  z.strictObject({ kind: z.literal("throttled"), share: SHARE, ...TIMING }),
]);

/** A fault that begins now. */
export type FaultRequest = z.infer<typeof FAULT_REQUEST>;

/** Switches faults and reads the call counters. */
export class PlatformControl {
  readonly #faulty: FaultyStore;
  readonly #readNow: () => number;

  constructor(faulty: FaultyStore, readNow: () => number) {
    this.#faulty = faulty;
    this.#readNow = readNow;
  }

  /** Begins a fault now. */
  startFault(request: FaultRequest): void {
    const { durationMs, ...fault } = request;
    const fromMs = this.#readNow();
    const untilMs = fromMs + durationMs;
    const planned: PlatformFault = { ...fault, fromMs, untilMs };
    this.#faulty.plan.add(planned);
  }

  /** Ends every fault. */
  removeFaults(): void {
    this.#faulty.plan.removeAll();
  }

  /** Calls since the start. */
  getCounts(): CallCounts {
    return { ...this.#faulty.store.counts };
  }

  /** Watches that wait at present. */
  countWaitingWatches(): number {
    return this.#faulty.store.waitingWatches;
  }
}
