/**
 * Seeded generation of random values.
 */
export * from "./random_source.ts";
