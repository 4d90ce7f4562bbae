/**
 * Seeded random values.
 */
export * from "./random_source.ts";
