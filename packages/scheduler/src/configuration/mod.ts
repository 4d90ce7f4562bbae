/**
 * The configuration role, and the checks of configuration values.
 */
export * from "./amounts.ts";
export * from "./apply_change.ts";
export type { ChangeResult } from "./change_result.ts";
export * from "./check_configuration.ts";
export * from "./configuration.ts";
export * from "./inputs.ts";
export * from "./nearest_name.ts";
export * from "./policy_settings.ts";
export * from "./record.ts";
export * from "./value.ts";
