/**
 * The targets that requests are sent to, as they register themselves.
 */

/** Whether a target takes new work. */
export type TargetState = "ready" | "draining";

/** One incarnation of a target. */
export interface Target {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: TargetState;
  /** Version of the target's software; undefined when it states none. */
  readonly version: string | undefined;
  /** Number of requests that the target runs concurrently. */
  readonly slots: number;
  /** Start of this incarnation in Unix milliseconds; 0 when not stated. */
  readonly startedAtMs: number;
}
