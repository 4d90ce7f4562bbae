/**
 * Hands accounts to the gateways that became their homes when others came or
 * went.
 */
import {
  type GroupChange,
  listReceivers,
} from "../decisions/list_receivers.ts";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { PeerLinks } from "../peers/peer_links.ts";

/** Gathers changes that come together before accounts are handed over. */
const HAND_OVER_DELAY_MS = 30;
/** Accounts in one message. */
const ACCOUNTS_PER_MESSAGE = 200;

/** What the hand-over works with. */
export interface AccountHandOverParts {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly accounts: TokenAccounts;
  readonly getSelf: () => PeerInfo;
}

interface Receiver {
  readonly home: PeerInfo;
  readonly programs: Set<string>;
}

/** The hand-over of one gateway's accounts. */
export class AccountHandOver {
  readonly #parts: AccountHandOverParts;
  /** Changes of the view that accounts weren't handed over for yet. */
  readonly #changes = new Map<string, GroupChange>();
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: AccountHandOverParts) {
    this.#parts = parts;
  }

  /** Adds a change of the view. */
  add(change: GroupChange): void {
    this.#changes.set(change.peer.vmId, change);
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#sendAccounts();
    }, HAND_OVER_DELAY_MS);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #sendAccounts(): void {
    const { accounts, directory, getSelf } = this.#parts;
    const selfId = getSelf().vmId;
    const receivers = new Map<string, Receiver>();
    for (const change of this.#changes.values()) {
      for (const programId of accounts.listPrograms()) {
        const homes = listReceivers(directory, programId, { selfId, change });
        for (const home of homes) {
          const receiver = receivers.get(home.vmId) ??
            { home, programs: new Set<string>() };
          receiver.programs.add(programId);
          receivers.set(home.vmId, receiver);
        }
      }
    }
    this.#changes.clear();
    for (const receiver of receivers.values()) this.#sendTo(receiver);
  }

  #sendTo({ home, programs }: Receiver): void {
    const { accounts, links } = this.#parts;
    const states = [...programs]
      .flatMap((programId) => accounts.find(programId) ?? []);
    for (let at = 0; at < states.length; at += ACCOUNTS_PER_MESSAGE) {
      const batch = states.slice(at, at + ACCOUNTS_PER_MESSAGE);
      // A home that doesn't answer changes the view and starts this anew.
      void links.call(home, { kind: "merge_accounts", accounts: batch });
    }
  }
}
