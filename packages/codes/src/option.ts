/**
 * `Option` of ts-results under ES modules.
 *
 * The package is CommonJS, so that Node gives its members on the default
 * export only; this module names them once for the whole project.
 */
import tsResults from "ts-results";

export const { Some, None } = tsResults;
export type { Option } from "ts-results";
