/**
 * Asks the home of a program's account before a turn runs and while it needs
 * more tokens, and tells it what the turn passed on.
 *
 * Any home may grant tokens, since each has its own allowances. The first one
 * by rank is asked first, so that few homes need any; the others follow where
 * it doesn't answer or can't reach the store.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import { TokenMeter } from "../decisions/token_meter.ts";
import type { TurnAnswer, TurnRequest } from "../model/token_account.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { AccountHandOver } from "./account_hand_over.ts";
import type { AccountHome } from "./account_home.ts";

/** Longest that a turn waits for its first tokens; less than callers wait. */
const OPEN_LIMIT_MS = 1_000;
/** How long turns wait until a gateway that just started knows the homes. */
const JOIN_LIMIT_MS = 250;
/** Pause before homes are asked again for more of a running turn. */
const RETRY_PAUSE_MS = 100;
/** Messages that tell a home of an ended turn, if the first isn't answered. */
const CLOSE_TRIES = 3;
const CLOSE_PAUSE_MS = 200;

/** What the turns of one gateway work with. */
export interface TurnAccountsParts {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly home: AccountHome;
  readonly handOver: Pick<AccountHandOver, "handleClosed">;
  readonly self: PeerInfo;
  /** Ends when the other gateways are known. */
  readonly joined: Promise<void>;
}

/** A turn as its caller asks for it. */
export type NewTurn = Pick<
  TurnRequest,
  "programId" | "turnId" | "budgetTokens" | "turnTokens" | "eventTokens"
>;

/** How a question for a turn's tokens ended. */
export type TurnOpening =
  | { readonly kind: "admitted"; readonly grant: TurnGrant }
  | { readonly kind: "over_budget" }
  | { readonly kind: "unavailable" };

interface HomeGrant {
  readonly home: PeerInfo;
  grantedTokens: number;
}

/** The turns of one gateway. */
export class TurnAccounts {
  readonly #parts: TurnAccountsParts;

  constructor(parts: TurnAccountsParts) {
    this.#parts = parts;
  }

  /** Asks for a turn's first tokens. */
  async open(turn: NewTurn): Promise<TurnOpening> {
    await Promise.race([this.#parts.joined, waitFor(JOIN_LIMIT_MS)]);
    const grant = new TurnGrant(this.#parts, turn);
    const kind = await grant.callHomes(performance.now() + OPEN_LIMIT_MS);
    if (kind === "admitted") return { kind, grant };
    grant.close();
    return { kind };
  }
}

/** The tokens that homes have granted to one turn. */
export class TurnGrant {
  readonly #parts: TurnAccountsParts;
  readonly #turn: NewTurn;
  readonly #meter: TokenMeter;
  /** In the order in which they're used up. */
  readonly #homes: HomeGrant[] = [];
  #asking: Promise<unknown> | undefined;
  #isClosed = false;

  constructor(parts: TurnAccountsParts, turn: NewTurn) {
    this.#parts = parts;
    this.#turn = turn;
    this.#meter = new TokenMeter(turn);
  }

  /** Tokens passed on. */
  get passedTokens(): number {
    return this.#meter.passedTokens;
  }

  /** Whether the turn has generated all that it declares. */
  get isFull(): boolean {
    return this.#meter.isFull;
  }

  /** Counts the next event; false when it has to wait for `waitForMore`. */
  addEvent(): boolean {
    const isGranted = this.#meter.addEvent();
    if (this.#meter.needsMore) this.#startAsking();
    return isGranted;
  }

  /** Waits until more tokens were granted, or the turn is over. */
  async waitForMore(): Promise<void> {
    while (!this.#isClosed && !this.isFull && !this.#meter.canAddEvent) {
      await this.#startAsking();
    }
  }

  /** Asks homes until one grants tokens or decides against it. */
  async callHomes(untilMs: number): Promise<TurnOpening["kind"]> {
    const asked = new Set<string>();
    let answer: TurnAnswer = { kind: "unavailable" };
    while (performance.now() < untilMs) {
      const home = this.#chooseHome(asked);
      if (home === undefined) break;
      asked.add(home.vmId);
      answer = await this.#callHome(home, untilMs);
      if (answer.kind === "admitted" || answer.kind === "over_budget") break;
    }
    return answer.kind === "pending" ? "unavailable" : answer.kind;
  }

  /** Tells every home that was asked what the turn passed on. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    let leftTokens = this.#meter.passedTokens;
    for (const { home, grantedTokens } of this.#homes) {
      const passedTokens = Math.min(grantedTokens, leftTokens);
      leftTokens -= passedTokens;
      void this.#closeAt(home, passedTokens);
    }
  }

  #startAsking(): Promise<unknown> {
    return this.#asking ??= this.#callForMore()
      .finally(() => this.#asking = undefined);
  }

  async #callForMore(): Promise<void> {
    const kind = await this.callHomes(performance.now() + OPEN_LIMIT_MS);
    if (kind === "admitted" || this.#isClosed) return;
    await waitFor(RETRY_PAUSE_MS);
  }

  #chooseHome(asked: ReadonlySet<string>): PeerInfo | undefined {
    const { directory, self } = this.#parts;
    const homes = directory.chooseHomes(this.#turn.programId);
    return [...homes, self].find(({ vmId }) => !asked.has(vmId));
  }

  async #callHome(home: PeerInfo, untilMs: number): Promise<TurnAnswer> {
    const known = this.#homes.find((each) => each.home.vmId === home.vmId);
    const granted = known ?? { home, grantedTokens: 0 };
    if (known === undefined) this.#homes.push(granted);
    const turn: TurnRequest = {
      ...this.#turn,
      turnTokens: this.#meter.missingTokens,
      eventTokens: this.#meter.eventTokens,
      heldTokens: granted.grantedTokens,
      isRunning: this.#homes.some(({ grantedTokens }) => grantedTokens > 0),
    };
    if (turn.turnTokens === 0) return { kind: "admitted", grantedTokens: 0 };
    for (;;) {
      const answer = await this.#callOnce(home, turn);
      if (answer.kind !== "pending" || performance.now() >= untilMs) {
        this.#addGrant(granted, answer);
        return answer;
      }
    }
  }

  async #callOnce(home: PeerInfo, turn: TurnRequest): Promise<TurnAnswer> {
    const { self, home: own, links } = this.#parts;
    if (home.vmId === self.vmId) return await own.open(turn);
    const answer = await links.call(home, { kind: "open_turn", turn });
    return answer?.turn ?? { kind: "unavailable" };
  }

  #addGrant(granted: HomeGrant, answer: TurnAnswer): void {
    if (answer.kind !== "admitted" || this.#isClosed) return;
    const tokens = answer.grantedTokens - granted.grantedTokens;
    if (tokens <= 0) return;
    granted.grantedTokens += tokens;
    this.#meter.add(tokens);
  }

  async #closeAt(home: PeerInfo, passedTokens: number): Promise<void> {
    const { self, home: own, links, handOver } = this.#parts;
    const { programId, turnId } = this.#turn;
    if (home.vmId === self.vmId) {
      own.close(programId, turnId, passedTokens);
      handOver.handleClosed(programId);
      return;
    }
    const message = {
      kind: "close_turn",
      programId,
      turnId,
      passedTokens,
    } as const;
    // A home that is never told counts what it granted.
    for (let tries = 0; tries < CLOSE_TRIES; tries += 1) {
      if (await links.call(home, message) !== undefined) return;
      await waitFor(CLOSE_PAUSE_MS);
    }
  }
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
