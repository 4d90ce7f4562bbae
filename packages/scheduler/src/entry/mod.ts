/**
 * The entry role: between callers and the owners of programs.
 */
export * from "./entry.ts";
