/**
 * The decisions of the scheduler: deterministic and free of I/O.
 */
export * from "./src/random/mod.ts";
