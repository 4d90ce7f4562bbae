/**
 * Asks the homes of a program's account before a turn runs, and tells them what
 * it passed on.
 *
 * The first home decides and the second confirms, so that two gateways which
 * take different homes for lost still meet at one that knows of both.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { TurnRequest } from "../model/token_account.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { TurnAnswer } from "../peers/peer_messages.ts";
import type { AccountHome } from "./account_home.ts";
import type { DistantAccounts } from "./distant_accounts.ts";

/**
 * Longest wait for a home's decision: it may look the account up in other
 * regions, then wait for a record, then for those regions to confirm.
 */
const OPEN_MS = 350;

/** What the turns of one gateway work with. */
export interface TurnAccountsParts {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly accounts: TokenAccounts;
  readonly home: AccountHome;
  readonly distant: DistantAccounts;
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
    const asked = new Set<string>();
    let decided: TurnAnswer | undefined;
    for (;;) {
      const home = this.#parts.directory.chooseHomes(turn.programId)
        .find(({ vmId }) => !asked.has(vmId));
      if (home === undefined) break;
      asked.add(home.vmId);
      if (decided === undefined) {
        decided = await this.#openAt(home, turn);
        if (decided !== undefined && decided !== "admitted") break;
      } else if (await this.#confirmAt(home, turn) === false) {
        decided = "over_budget";
        break;
      }
    }
    decided ??= await this.#parts.home.open(turn);
    if (decided !== "admitted") this.close(turn, 0);
    return decided;
  }

  /** Tells what a turn passed on. */
  close(turn: TurnRequest, passedTokens: number): void {
    const { selfId, accounts, distant, links } = this.#parts;
    const { programId, turnId } = turn;
    const message = {
      kind: "close_turn",
      programId,
      turnId,
      passedTokens,
    } as const;
    for (const home of this.#parts.directory.chooseHomes(programId)) {
      if (home.vmId === selfId) {
        accounts.close(programId, turnId, passedTokens);
        distant.close(message);
        continue;
      }
      // A home that doesn't answer is suspected, and another one takes over
      // with the accounts of the home that's left.
      void links.call(home, message);
    }
  }

  async #openAt(
    home: PeerInfo,
    turn: TurnRequest,
  ): Promise<TurnAnswer | undefined> {
    const { selfId, home: own, links } = this.#parts;
    if (home.vmId === selfId) return await own.open(turn);
    const message = { kind: "open_turn", turn } as const;
    const answer = await links.call(home, message, OPEN_MS);
    return answer?.turn;
  }

  /** Asks a second home; absent when it doesn't answer. */
  async #confirmAt(
    home: PeerInfo,
    turn: TurnRequest,
  ): Promise<boolean | undefined> {
    const { selfId, accounts, links } = this.#parts;
    if (home.vmId === selfId) return accounts.confirm(turn, performance.now());
    const answer = await links.call(home, { kind: "confirm_turn", turn });
    return answer?.isConfirmed;
  }
}
