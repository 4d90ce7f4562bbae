/**
 * Injects faults into a running platform stand-in.
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

/** The schema of a request to the control endpoint that starts a fault. */
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

/** A fault to start immediately. */
export type FaultRequest = z.infer<typeof FAULT_REQUEST>;

/** Starts and removes faults, and reads the call counts. */
export class PlatformControl {
  readonly #faulty: FaultyStore;
  readonly #readNow: () => number;

  constructor(faulty: FaultyStore, readNow: () => number) {
    this.#faulty = faulty;
    this.#readNow = readNow;
  }

  /** Starts a fault immediately. */
  startFault(request: FaultRequest): void {
    const { durationMs, ...fault } = request;
    const fromMs = this.#readNow();
    const untilMs = fromMs + durationMs;
    const planned: PlatformFault = { ...fault, fromMs, untilMs };
    this.#faulty.plan.add(planned);
  }

  /** Removes every fault. */
  removeFaults(): void {
    this.#faulty.plan.removeAll();
  }

  /** Gets the numbers of calls since the start. */
  getCounts(): CallCounts {
    return { ...this.#faulty.store.counts };
  }

  /** Counts the watches that wait for a change. */
  countWaitingWatches(): number {
    return this.#faulty.store.waitingWatches;
  }
}
