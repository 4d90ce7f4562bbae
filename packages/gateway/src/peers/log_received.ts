/**
 * Logs the accounts that another gateway handed over.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { GatewayLog } from "../log.ts";
import type { MovedAccount } from "../model/token_account.ts";

/** Maximum number of programs that one log line names. */
const MAX_LOGGED_PROGRAMS = 20;

/** Logs moved accounts with the programs of the first ones. */
export function logReceived(
  log: GatewayLog,
  sender: PeerInfo,
  moved: readonly MovedAccount[],
): void {
  log.write(EVENTS.AccountsReceived, {
    peer: sender.vmId,
    accounts: moved.length,
    allowed_tokens: moved.reduce((sum, each) => sum + each.allowedTokens, 0),
    programs: moved.slice(0, MAX_LOGGED_PROGRAMS)
      .map(({ programId }) => programId),
  });
}
