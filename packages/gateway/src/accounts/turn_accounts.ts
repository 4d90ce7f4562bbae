/**
 * Requests tokens for a turn from the home of its program's account, before the
 * turn runs and while it needs more, and reports to the home how many tokens
 * the turn forwarded.
 *
 * Any home may grant tokens, since each has its own allowances. The first home
 * by rank is called first, so that few homes need allowances. The others are
 * called if the first one doesn't respond or can't reach the store.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import { TokenMeter } from "../decisions/token_meter.ts";
import type { TurnRequest, TurnResponse } from "../model/token_account.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { AccountHandover } from "./account_handover.ts";
import type { AccountHome } from "./account_home.ts";

/** Longest wait for a turn's first tokens; shorter than callers' timeouts. */
const OPEN_TIMEOUT_MS = 1_000;
/** Longest wait of turns until a starting gateway has discovered the homes. */
const JOIN_TIMEOUT_MS = 250;
/** Delay before homes are called again for more tokens of a running turn. */
const RETRY_DELAY_MS = 100;
/** Maximum messages that report a closed turn, until the home responds. */
const MAX_CLOSE_ATTEMPTS = 3;
const CLOSE_RETRY_DELAY_MS = 200;

/** Dependencies of the turns of one gateway. */
export interface TurnAccountsDependencies {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly home: AccountHome;
  readonly handover: Pick<AccountHandover, "handleClosed">;
  readonly self: PeerInfo;
  /** Resolves when the other gateways have been discovered. */
  readonly joined: Promise<void>;
}

/** A turn as its caller requests it. */
export type NewTurn = Pick<
  TurnRequest,
  "programId" | "turnId" | "budgetTokens" | "turnTokens" | "eventTokens"
>;

/** Result of a request for a turn's tokens. */
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
  readonly #dependencies: TurnAccountsDependencies;

  constructor(dependencies: TurnAccountsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Requests a turn's first tokens. */
  async open(turn: NewTurn): Promise<TurnOpening> {
    await Promise.race([this.#dependencies.joined, waitFor(JOIN_TIMEOUT_MS)]);
    const grant = new TurnGrant(this.#dependencies, turn);
    const kind = await grant.callHomes(performance.now() + OPEN_TIMEOUT_MS);
    if (kind === "admitted") return { kind, grant };
    grant.close();
    return { kind };
  }
}

/** The tokens that homes have granted to one turn. */
export class TurnGrant {
  readonly #dependencies: TurnAccountsDependencies;
  readonly #turn: NewTurn;
  readonly #meter: TokenMeter;
  /** In the order in which they're used up. */
  readonly #homes: HomeGrant[] = [];
  #pendingCall: Promise<unknown> | undefined;
  #isClosed = false;
  #hasBegun = false;

  constructor(dependencies: TurnAccountsDependencies, turn: NewTurn) {
    this.#dependencies = dependencies;
    this.#turn = turn;
    this.#meter = new TokenMeter(turn);
  }

  /** Whether a home has seen an earlier turn of the program. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** Tokens forwarded to the caller. */
  get passedTokens(): number {
    return this.#meter.passedTokens;
  }

  /** Whether the turn has generated all tokens that it declares. */
  get isFull(): boolean {
    return this.#meter.isFull;
  }

  /** Counts the next event; false if it has to wait for `waitForMore`. */
  addEvent(): boolean {
    const isGranted = this.#meter.addEvent();
    if (this.#meter.needsMore) this.#startCall();
    return isGranted;
  }

  /**
   * Waits until the next event is granted or the turn is full; false when the
   * turn was closed before.
   */
  async waitForMore(): Promise<boolean> {
    while (!this.#isClosed && !this.isFull && !this.#meter.canAddEvent) {
      await this.#startCall();
    }
    return !this.#isClosed;
  }

  /** Calls homes until one grants tokens or refuses the turn as over budget. */
  async callHomes(deadlineMs: number): Promise<TurnOpening["kind"]> {
    const calledVms = new Set<string>();
    let response: TurnResponse = { kind: "unavailable" };
    while (performance.now() < deadlineMs) {
      const home = this.#chooseHome(calledVms);
      if (home === undefined) break;
      calledVms.add(home.vmId);
      response = await this.#callHome(home, deadlineMs);
      if (response.kind === "admitted" || response.kind === "over_budget") {
        break;
      }
    }
    return response.kind === "pending" ? "unavailable" : response.kind;
  }

  /** Reports the forwarded tokens to every home that was called. */
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

  #startCall(): Promise<unknown> {
    return this.#pendingCall ??= this.#callForMore()
      .finally(() => this.#pendingCall = undefined);
  }

  async #callForMore(): Promise<void> {
    const kind = await this.callHomes(performance.now() + OPEN_TIMEOUT_MS);
    const isServed = kind === "admitted" && this.#meter.canAddEvent;
    if (isServed || this.#isClosed) return;
    await waitFor(RETRY_DELAY_MS);
  }

  #chooseHome(calledVms: ReadonlySet<string>): PeerInfo | undefined {
    const { directory, self } = this.#dependencies;
    const homes = directory.chooseHomes(this.#turn.programId);
    return [...homes, self].find(({ vmId }) => !calledVms.has(vmId));
  }

  async #callHome(home: PeerInfo, deadlineMs: number): Promise<TurnResponse> {
    const existing = this.#homes.find((each) => each.home.vmId === home.vmId);
    const homeGrant = existing ?? { home, grantedTokens: 0 };
    if (existing === undefined) this.#homes.push(homeGrant);
    const turn: TurnRequest = {
      ...this.#turn,
      turnTokens: this.#meter.missingTokens,
      eventTokens: this.#meter.eventTokens,
      heldTokens: homeGrant.grantedTokens,
      isRunning: this.#homes.some(({ grantedTokens }) => grantedTokens > 0),
    };
    if (turn.turnTokens === 0) return { kind: "admitted", grantedTokens: 0 };
    for (;;) {
      const response = await this.#callOnce(home, turn);
      if (response.kind !== "pending" || performance.now() >= deadlineMs) {
        this.#addGrant(homeGrant, response);
        return response;
      }
    }
  }

  async #callOnce(home: PeerInfo, turn: TurnRequest): Promise<TurnResponse> {
    const { self, home: localHome, links } = this.#dependencies;
    if (home.vmId === self.vmId) return await localHome.open(turn);
    const response = await links.call(home, { kind: "open_turn", turn });
    return response?.turn ?? { kind: "unavailable" };
  }

  #addGrant(homeGrant: HomeGrant, response: TurnResponse): void {
    if (response.kind !== "admitted" || this.#isClosed) return;
    if (response.hasEarlierTurns === true) this.#hasBegun = true;
    const tokens = response.grantedTokens - homeGrant.grantedTokens;
    if (tokens <= 0) return;
    homeGrant.grantedTokens += tokens;
    this.#meter.add(tokens);
  }

  async #closeAt(home: PeerInfo, passedTokens: number): Promise<void> {
    const { self, home: localHome, links, handover } = this.#dependencies;
    const { programId, turnId } = this.#turn;
    if (home.vmId === self.vmId) {
      localHome.close(programId, turnId, passedTokens);
      handover.handleClosed(programId);
      return;
    }
    const message = {
      kind: "close_turn",
      programId,
      turnId,
      passedTokens,
    } as const;
    // Without this report, the home counts all granted tokens as forwarded.
    for (let attempts = 0; attempts < MAX_CLOSE_ATTEMPTS; attempts += 1) {
      if (await links.call(home, message) !== undefined) return;
      await waitFor(CLOSE_RETRY_DELAY_MS);
    }
  }
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
