/**
 * Moves accounts to the gateways that became their homes when others came or
 * went.
 *
 * An allowance that moves leaves the sender before the message is sent. A
 * message that is lost takes the allowance with it, so none is ever held twice.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { MovedAccount } from "../model/token_account.ts";
import type { PeerLinks } from "../peers/peer_links.ts";

/** Gathers changes that come together before accounts are moved. */
const MOVE_DELAY_MS = 30;
/** Accounts in one message. */
const ACCOUNTS_PER_MESSAGE = 200;

/** What the hand-over works with. */
export interface AccountHandOverParts {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly accounts: TokenAccounts;
  readonly self: PeerInfo;
}

/** The hand-over of one gateway's accounts. */
export class AccountHandOver {
  readonly #parts: AccountHandOverParts;
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: AccountHandOverParts) {
    this.#parts = parts;
  }

  /** Moves accounts soon, since the view of the group has changed. */
  startMoving(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      void this.sendAll();
    }, MOVE_DELAY_MS);
  }

  /** Moves what an ended turn left of an account that has moved. */
  handleClosed(programId: string): void {
    if (this.#parts.accounts.hasMoved(programId)) {
      void this.#sendAccounts([programId]);
    }
  }

  /** Moves every account whose home is another gateway. */
  async sendAll(): Promise<void> {
    await this.#sendAccounts(this.#parts.accounts.listPrograms());
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  async #sendAccounts(programIds: readonly string[]): Promise<void> {
    const { accounts, directory, self } = this.#parts;
    const byHome = new Map<string, { home: PeerInfo; moved: MovedAccount[] }>();
    for (const programId of programIds) {
      const [home] = directory.chooseHomes(programId);
      if (home === undefined || home.vmId === self.vmId) continue;
      const moved = accounts.takeMovable(programId);
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
    const { links } = this.#parts;
    for (let at = 0; at < moved.length; at += ACCOUNTS_PER_MESSAGE) {
      const accounts = moved.slice(at, at + ACCOUNTS_PER_MESSAGE);
      await links.call(home, { kind: "move_accounts", accounts });
    }
  }
}

function isEmpty({ allowedTokens, passedTokens }: MovedAccount): boolean {
  return allowedTokens === 0 && passedTokens === 0;
}
