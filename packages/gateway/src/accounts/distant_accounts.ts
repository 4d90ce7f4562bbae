/**
 * Accounts whose programs come in through more than one region.
 *
 * Callers are sent to another region when none of their own gateways takes
 * them. A home that meets a program for the first time therefore asks the homes
 * of the other regions, and from then on each region confirms its turns at the
 * others that know the program.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { TurnRequest } from "../model/token_account.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { PeerMessage } from "../peers/peer_messages.ts";

/** Several times the way between regions. */
const LOOK_UP_MS = 100;

/**
 * What a look-up came to: the program isn't known elsewhere for certain, or a
 * region that may know it can't be asked or may have lost it.
 */
export type LookUp = "certain" | "doubtful";

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
  readonly #lookUps = new Map<string, Promise<LookUp>>();

  constructor(parts: DistantAccountsParts) {
    this.#parts = parts;
  }

  /** Makes sure that what other regions know of a program is known here. */
  load(programId: string): Promise<LookUp> {
    if (this.#parts.accounts.find(programId) !== undefined) {
      return this.#lookUps.get(programId) ?? Promise.resolve("certain");
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
    const { accounts, directory } = this.#parts;
    const known = accounts.find(programId)?.regions ?? [];
    if (known.length === 0) return [];
    return directory.listOtherRegions()
      .filter((region) => known.includes(region))
      .flatMap((region) => directory.chooseDistantHomes(programId, region));
  }

  async #loadDistant(programId: string): Promise<LookUp> {
    const regions = this.#parts.directory.listOtherRegions();
    const found = await Promise.all(
      regions.map((region) => this.#loadFrom(region, programId)),
    );
    if (found.includes("found")) {
      this.#sendAccount(programId);
      return "certain";
    }
    return found.includes("doubtful") ? "doubtful" : "certain";
  }

  /** Asks the homes of one region. */
  async #loadFrom(
    region: string,
    programId: string,
  ): Promise<"found" | LookUp> {
    const { directory, links, accounts } = this.#parts;
    const homes = directory.chooseDistantHomes(programId, region);
    const answers = await Promise.all(
      homes.map((home) =>
        links.call(home, { kind: "find_account", programId }, LOOK_UP_MS)
      ),
    );
    const known = answers.flatMap((answer) => answer?.account ?? []);
    for (const account of known) {
      accounts.merge(account, performance.now());
      accounts.addRegion(programId, region, performance.now());
    }
    if (known.length > 0) return "found";
    const isCertain = answers.some((answer) => answer?.mayHaveLost === false);
    return isCertain ? "certain" : "doubtful";
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
