/**
 * Headers that the published forms of engines and services share.
 */

/** Names the attempt in a request to an engine and again in the answer. */
export const ATTEMPT_HEADER = "camphorlock-attempt";

/** Names the attempt in a request to a service and again in the answer. */
export const KEY_HEADER = "idempotency-key";

/** Names the program that a request belongs to. */
export const PROGRAM_HEADER = "camphorlock-program";

/** `true` in an error answer when the target states that nothing was run. */
export const NOT_RUN_HEADER = "camphorlock-not-run";

/** The fencing number of an order. */
export const FENCE_HEADER = "camphorlock-fence";
