/**
 * Header names of the published APIs of engines and services.
 */

/** Attempt id, in a request to an engine and in its response. */
export const ATTEMPT_HEADER = "camphorlock-attempt";

/** Attempt id, in a request to a service and in its response. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Id of the program that a request belongs to. */
export const PROGRAM_HEADER = "camphorlock-program";

/** `true` in an error response when the target states that nothing was run. */
export const NOT_RUN_HEADER = "camphorlock-not-run";

/** The fencing number of an order. */
export const FENCE_HEADER = "camphorlock-fence";
