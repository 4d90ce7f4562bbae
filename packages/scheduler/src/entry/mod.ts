/**
 * The entry role, which forwards callers' requests to the owners of programs.
 */
export * from "./entry.ts";
