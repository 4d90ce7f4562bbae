/**
 * Ids of kept turns that no caller may use: records of the gateways themselves
 * are kept under them.
 */

/** How the ids of the gateways' own records begin. */
export const RESERVED_TURN_PREFIX = "camphorlock.grant.";

/** Whether a turn id is reserved for records of the gateways. */
export function isReservedTurn(turnId: string | undefined): boolean {
  return turnId?.startsWith(RESERVED_TURN_PREFIX) === true;
}
