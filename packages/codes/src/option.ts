/**
 * Re-exports `Option` of ts-results for ES modules.
 *
 * The package is CommonJS, and Node exposes its members on the default export
 * only. This module provides them as named exports for all packages.
 */
import tsResults from "ts-results";

export const { Some, None } = tsResults;
export type { Option } from "ts-results";
