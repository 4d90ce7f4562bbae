/**
 * Admission of new programs and limits of running ones.
 */
export * from "./admission.ts";
export * from "./program_limits.ts";
export * from "./settings.ts";
