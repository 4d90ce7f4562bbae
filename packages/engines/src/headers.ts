/**
 * Headers that the engines' published form adds to chat completions.
 */

/** Names the attempt in the request and again in the answer. */
export const ATTEMPT_HEADER = "camphorlock-attempt";

/** Names the program, whose prompt prefix the engine keeps cached. */
export const PROGRAM_HEADER = "camphorlock-program";

/** `true` in an error answer when the engine states that nothing was run. */
export const NOT_RUN_HEADER = "camphorlock-not-run";

/** The fencing number of an order. */
export const FENCE_HEADER = "camphorlock-fence";
