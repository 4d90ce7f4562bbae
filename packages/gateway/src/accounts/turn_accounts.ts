/**
 * Asks the homes of a program's account before a turn runs, and tells them what
 * it passed on. The first home decides; the second keeps the same account.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { TokenAccounts, TurnRequest } from "../decisions/token_accounts.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { PeerMessage, TurnAnswer } from "../peers/peer_messages.ts";
import type { AccountHome } from "./account_home.ts";

/** What the turns of one gateway work with. */
export interface TurnAccountsParts {
  readonly directory: PeerDirectory;
  readonly links: PeerLinks;
  readonly accounts: TokenAccounts;
  readonly home: AccountHome;
  readonly selfId: string;
}

/** The turns of one gateway. */
export class TurnAccounts {
  readonly #parts: TurnAccountsParts;

  constructor(parts: TurnAccountsParts) {
    this.#parts = parts;
  }

  /** Asks for a turn's tokens. */
  async open(turn: TurnRequest): Promise<TurnAnswer> {
    const tried = new Set<string>();
    for (;;) {
      const homes = this.#parts.directory.chooseHomes(turn.programId);
      const first = homes.find(({ vmId }) => !tried.has(vmId));
      if (first === undefined) return await this.#parts.home.open(turn);
      tried.add(first.vmId);
      const answer = this.#openAt(first, turn);
      for (const other of homes) {
        if (other !== first) this.#send(other, { kind: "add_turn", turn });
      }
      const decided = await answer;
      if (decided === undefined) continue;
      if (decided !== "admitted") this.close(turn, 0);
      return decided;
    }
  }

  /** Tells what a turn passed on. */
  close(turn: TurnRequest, passedTokens: number): void {
    const { programId, turnId } = turn;
    for (const home of this.#parts.directory.chooseHomes(programId)) {
      this.#send(home, { kind: "close_turn", programId, turnId, passedTokens });
    }
  }

  async #openAt(
    home: PeerInfo,
    turn: TurnRequest,
  ): Promise<TurnAnswer | undefined> {
    const { selfId, home: own, links } = this.#parts;
    if (home.vmId === selfId) return await own.open(turn);
    const answer = await links.call(home, { kind: "open_turn", turn });
    return answer?.turn;
  }

  #send(home: PeerInfo, message: PeerMessage): void {
    const { selfId, accounts, links } = this.#parts;
    if (home.vmId !== selfId) {
      // A home that doesn't answer is suspected, and another one takes over
      // with the accounts of the home that's left.
      void links.call(home, message);
      return;
    }
    switch (message.kind) {
      case "add_turn":
        return accounts.add(message.turn, performance.now());
      case "close_turn": {
        const { programId, turnId, passedTokens } = message;
        return accounts.close(programId, turnId, passedTokens);
      }
    }
  }
}
