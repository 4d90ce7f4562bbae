/**
 * Calls the gateway that decides for all gateways on one key, its home, and
 * answers such calls.
 *
 * A gateway with another view of the group may ask a gateway that isn't the home
 * in its own view. That one passes the call on, once, and so finds out whether
 * the home still responds.
 */
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { PeerMessage, PeerResponse } from "./peer_messages.ts";

/** A call that is passed on must end before the call that it serves. */
const FORWARD_TIMEOUT_MS = 70;

/** A call that is passed on at most once. */
export type HomeCall = Extract<PeerMessage, { readonly isForwarded: boolean }>;

/** How one kind of call is decided. */
export interface HomeCallsOptions<Call extends HomeCall, Decision> {
  readonly vmId: string;
  readonly links: Pick<PeerLinks, "call">;
  /** Homes that a call goes to, one after another, until one decides. */
  readonly attempts: number;
  /** Chooses the home in this gateway's view. */
  readonly chooseHome: (call: Call) => PeerInfo;
  /**
   * Chooses a gateway that decides in this one's place although this one is the
   * home, for instance because it has just started.
   */
  readonly chooseDeputy?: (call: Call) => PeerInfo | undefined;
  /** Whether a deputy's decision stands, or this gateway decides after all. */
  readonly isFinal?: (decision: Decision) => boolean;
  /** Decides as the home. */
  readonly decide: (call: Call, gatewayId: string) => Decision;
  readonly findDecision: (response: PeerResponse) => Decision | undefined;
}

/** The calls of one kind at one gateway. */
export class HomeCalls<Call extends HomeCall, Decision> {
  readonly #options: HomeCallsOptions<Call, Decision>;

  constructor(options: HomeCallsOptions<Call, Decision>) {
    this.#options = options;
  }

  /**
   * Calls the home; undefined if no gateway decides. Calls `onSend` before each
   * attempt, since a decision is at most as old. Never rejects.
   */
  async call(
    call: Call,
    onSend: () => void = () => {},
  ): Promise<Decision | undefined> {
    const { attempts, vmId, links, chooseHome, findDecision } = this.#options;
    for (let attempt = 1; attempt <= attempts; attempt += 1) {
      onSend();
      const home = chooseHome(call);
      if (home.vmId === vmId) return await this.#settle(call, vmId);
      // A home that doesn't respond is suspected, so that the next is chosen.
      const response = await links.call(home, call);
      const decision = response && findDecision(response);
      if (decision !== undefined) return decision;
    }
    return undefined;
  }

  /** Answers a call of another gateway; undefined if this one may not decide. */
  async answer(call: Call, gatewayId: string): Promise<Decision | undefined> {
    const { vmId, chooseHome, decide } = this.#options;
    const home = chooseHome(call);
    if (home.vmId === vmId) return await this.#settle(call, gatewayId);
    if (!call.isForwarded) return await this.#forward(home, call);
    // The home itself asks this gateway to decide in its place.
    return home.vmId === gatewayId ? decide(call, gatewayId) : undefined;
  }

  async #settle(call: Call, gatewayId: string): Promise<Decision> {
    const { chooseDeputy, decide, isFinal = () => true } = this.#options;
    const deputy = call.isForwarded ? undefined : chooseDeputy?.(call);
    const decision = deputy && await this.#forward(deputy, call);
    return decision !== undefined && isFinal(decision)
      ? decision
      : decide(call, gatewayId);
  }

  async #forward(home: PeerInfo, call: Call): Promise<Decision | undefined> {
    const { links, findDecision } = this.#options;
    const forwarded: HomeCall = { ...call, isForwarded: true };
    const response = await links.call(home, forwarded, FORWARD_TIMEOUT_MS);
    return response && findDecision(response);
  }
}
