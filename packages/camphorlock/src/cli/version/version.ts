/**
 * The version of this release.
 */

/** The version, as in the package's description. */
export const VERSION = "0.1.0";
