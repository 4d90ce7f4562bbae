/**
 * The catalogues of result codes and log events, and the failure type that
 * fallible functions return.
 */
export * from "./src/events.ts";
export * from "./src/failure.ts";
export * from "./src/option.ts";
export * from "./src/result_codes.ts";
