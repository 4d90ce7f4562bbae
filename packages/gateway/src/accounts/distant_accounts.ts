/**
 * Accounts whose programs come in through more than one region.
 *
 * Callers are sent to another region when none of their own gateways takes
 * them. A home that meets a program for the first time therefore asks the homes
 * of the other regions, and from then on each region confirms its turns at the
 * others that know the program.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type {
  TokenAccounts,
  TurnRequest,
} from "../decisions/token_accounts.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { PeerMessage } from "../peers/peer_messages.ts";

/** Several times the way between regions. */
const LOOK_UP_MS = 100;

/** What the exchange with other regions works with. */
export interface DistantAccountsParts {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly accounts: TokenAccounts;
  readonly selfId: string;
}

/** The homes of other regions. */
export class DistantAccounts {
  readonly #parts: DistantAccountsParts;
  readonly #lookUps = new Map<string, Promise<void>>();

  constructor(parts: DistantAccountsParts) {
    this.#parts = parts;
  }

  /** Makes sure that what other regions know of a program is known here. */
  load(programId: string): Promise<void> {
    if (this.#parts.accounts.find(programId) !== undefined) {
      return this.#lookUps.get(programId) ?? Promise.resolve();
    }
    const running = this.#lookUps.get(programId);
    if (running !== undefined) return running;
    const lookUp = this.#loadDistant(programId)
      .finally(() => this.#lookUps.delete(programId));
    this.#lookUps.set(programId, lookUp);
    return lookUp;
  }

  /** Confirms a turn at the other regions; false when one refuses it. */
  async confirm(turn: TurnRequest): Promise<boolean> {
    const homes = this.#listHomes(turn.programId);
    if (homes.length === 0) return true;
    const answers = await Promise.all(
      homes.map((home) =>
        this.#parts.links.call(home, { kind: "confirm_turn", turn })
      ),
    );
    return answers.every((answer) => answer?.isConfirmed !== false);
  }

  /** Tells the other regions what a turn passed on. */
  close(message: Extract<PeerMessage, { kind: "close_turn" }>): void {
    for (const home of this.#listHomes(message.programId)) {
      // A region that isn't told counts the turn at its most.
      void this.#parts.links.call(home, { ...message, isDistant: true });
    }
  }

  /** Records that a region asked for a program, and tells the other home. */
  addRegion(programId: string, region: string): void {
    const { accounts } = this.#parts;
    if (!accounts.addRegion(programId, region, performance.now())) return;
    this.#sendAccount(programId);
  }

  #listHomes(programId: string): PeerInfo[] {
    const regions = this.#parts.accounts.find(programId)?.regions ?? [];
    if (regions.length === 0) return [];
    return this.#parts.directory.chooseDistantHomes(programId)
      .filter(({ region }) => regions.includes(region));
  }

  async #loadDistant(programId: string): Promise<void> {
    const { directory, links, accounts } = this.#parts;
    const homes = directory.chooseDistantHomes(programId);
    let isFound = false;
    await Promise.all(homes.map(async (home) => {
      const answer = await links
        .call(home, { kind: "find_account", programId }, LOOK_UP_MS);
      if (answer?.account === undefined) return;
      accounts.merge(answer.account, performance.now());
      accounts.addRegion(programId, home.region, performance.now());
      isFound = true;
    }));
    if (isFound) this.#sendAccount(programId);
  }

  #sendAccount(programId: string): void {
    const { directory, links, accounts, selfId } = this.#parts;
    const state = accounts.find(programId);
    if (state === undefined) return;
    for (const home of directory.chooseHomes(programId)) {
      if (home.vmId === selfId) continue;
      // A home that doesn't answer is passed over from then on.
      void links.call(home, { kind: "merge_accounts", accounts: [state] });
    }
  }
}
