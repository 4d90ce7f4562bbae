/**
 * Admission of new programs and limits of those under way.
 */
export * from "./admission.ts";
export * from "./program_limits.ts";
export * from "./settings.ts";
