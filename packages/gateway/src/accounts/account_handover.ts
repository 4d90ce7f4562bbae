/**
 * Moves accounts to their new homes when gateways join or leave the group.
 *
 * The sender deducts a moving allowance from its account before it sends the
 * message. If the message is lost, the allowance is lost with it, so no two
 * gateways ever hold the same allowance.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { MovedAccount } from "../model/token_account.ts";
import type { PeerLinks } from "../peers/peer_links.ts";

/** Delay before accounts are moved, so that one move covers several changes. */
const MOVE_DELAY_MS = 30;
/** Maximum number of accounts in one message. */
const ACCOUNTS_PER_MESSAGE = 200;

/** Dependencies of the handover. */
export interface AccountHandoverDependencies {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly accounts: TokenAccounts;
  readonly self: PeerInfo;
}

/** Hands the accounts of one gateway over to their homes. */
export class AccountHandover {
  readonly #dependencies: AccountHandoverDependencies;
  #timer: NodeJS.Timeout | undefined;

  constructor(dependencies: AccountHandoverDependencies) {
    this.#dependencies = dependencies;
  }

  /** Schedules a move of accounts after a change in the group of gateways. */
  scheduleMove(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      void this.sendAll();
    }, MOVE_DELAY_MS);
  }

  /** Moves what a closed turn left behind of an account that has moved. */
  handleClosed(programId: string): void {
    if (this.#dependencies.accounts.hasMoved(programId)) {
      void this.#sendAccounts([programId]);
    }
  }

  /** Moves every account whose home is another gateway. */
  async sendAll(): Promise<void> {
    await this.#sendAccounts(this.#dependencies.accounts.listPrograms());
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  async #sendAccounts(programIds: readonly string[]): Promise<void> {
    const { accounts, directory, self } = this.#dependencies;
    const byHome = new Map<string, { home: PeerInfo; moved: MovedAccount[] }>();
    for (const programId of programIds) {
      const [home] = directory.chooseHomes(programId);
      if (home === undefined || home.vmId === self.vmId) continue;
      const moved = accounts.removeMovable(programId);
      if (moved === undefined || isEmpty(moved)) continue;
      const group = byHome.get(home.vmId) ?? { home, moved: [] };
      group.moved.push(moved);
      byHome.set(home.vmId, group);
    }
    await Promise.all(
      [...byHome.values()].map(({ home, moved }) => this.#sendTo(home, moved)),
    );
  }

  async #sendTo(home: PeerInfo, moved: MovedAccount[]): Promise<void> {
    const { links } = this.#dependencies;
    for (let at = 0; at < moved.length; at += ACCOUNTS_PER_MESSAGE) {
      const accounts = moved.slice(at, at + ACCOUNTS_PER_MESSAGE);
      await links.call(home, { kind: "move_accounts", accounts });
    }
  }
}

function isEmpty({ allowedTokens, passedTokens }: MovedAccount): boolean {
  return allowedTokens === 0 && passedTokens === 0;
}
