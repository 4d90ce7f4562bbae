/**
 * The version of this release.
 */

/** The same version as in package.json. */
export const VERSION = "0.1.0";
