/**
 * The gateways as a group: finds the others through the store and the seeds,
 * answers their messages, and notes who comes and goes.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { AccountHandOver } from "../accounts/account_hand_over.ts";
import type { AccountHome } from "../accounts/account_home.ts";
import type { DistantAccounts } from "../accounts/distant_accounts.ts";
import {
  HOME_COUNT,
  type PeerChange,
  type PeerDirectory,
  type PeerInfo,
} from "../decisions/peer_directory.ts";
import { LOSS_WINDOW_MS, RecentLosses } from "../decisions/recent_losses.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayLog } from "../log.ts";
import type { Address, ObjectKind, ObjectStore } from "../ports.ts";
import type { ObjectCache } from "../store/object_cache.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { PeerAnswer, PeerEnvelope } from "./peer_messages.ts";

/** How long accounts of programs without turns are kept. */
const KEEP_ACCOUNTS_MS = 90_000;
/** How long programs may come back that were known before a loss. */
const LOSS_MS = 75_000;
/** Time within which peers hand over accounts to a gateway that restarted. */
const INFORMED_MS = 500;
/** Pause before an entry that the store didn't take is written again. */
const REGISTER_RETRY_MS = 400;
/** Programs that one log line names. */
const MAX_LOGGED_PROGRAMS = 20;

/** What the group works with. */
export interface PeerGroupParts {
  readonly directory: PeerDirectory;
  readonly links: PeerLinks;
  readonly accounts: TokenAccounts;
  readonly home: AccountHome;
  readonly distant: DistantAccounts;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly seeds: readonly Address[];
  readonly getSelf: () => PeerInfo;
  /** What this gateway follows, for others to follow it here. */
  readonly findCache: (kind: ObjectKind) => ObjectCache | undefined;
  /** Whether the whole installation starts for the first time. */
  readonly isFirstStart: boolean;
}

/** One gateway's part in the group. */
export class PeerGroup {
  readonly #parts: PeerGroupParts;
  readonly #handOver: AccountHandOver;
  #isStopped = false;
  #nextPeer = 0;
  #nextSuspected = 0;
  readonly #losses = new RecentLosses();
  /** Whether peers that answered can hand over what this one held before. */
  readonly #informants = new Map<string, boolean>();

  constructor(parts: PeerGroupParts) {
    this.#parts = parts;
    this.#handOver = new AccountHandOver(parts);
  }

  /** Joins the group. Returns when the peers that answer are known. */
  async open(): Promise<void> {
    const { accounts, home, isFirstStart } = this.#parts;
    const met = Promise.all([this.#callSeeds(), this.#saveEntry()]);
    if (isFirstStart) {
      home.start();
      await met;
      return;
    }
    accounts.setLoss(performance.now() + LOSS_MS);
    await met;
    const answers = [...this.#informants.values()];
    if (answers.length > 0 && !answers.includes(false)) {
      // The peers hand over what they keep once they've heard of this start.
      accounts.setLoss(performance.now() + INFORMED_MS);
    } else {
      this.#logDoubt();
    }
    home.start();
  }

  /** Tells the others that this gateway leaves; they hand its accounts on. */
  async sendLeaving(): Promise<void> {
    await this.#callAll(this.#parts.directory.list());
  }

  stop(): void {
    this.#isStopped = true;
    this.#handOver.stop();
  }

  /** Asks one gateway, in turn, for those that it knows. */
  async callNext(): Promise<void> {
    const peers = this.#parts.directory.list();
    this.#nextPeer += 1;
    const peer = peers[this.#nextPeer % Math.max(1, peers.length)];
    if (peer !== undefined) await this.#callAll([peer]);
  }

  /**
   * Asks gateways that didn't answer whether they're back: those of the region
   * and one of the others, in turn.
   */
  async callSuspected(): Promise<void> {
    const { directory, getSelf } = this.#parts;
    const { region } = getSelf();
    const suspected = directory.listSuspected();
    const distant = suspected.filter((peer) => peer.region !== region);
    this.#nextSuspected += 1;
    const next = distant[this.#nextSuspected % Math.max(1, distant.length)];
    await this.#callAll([
      ...suspected.filter((peer) => peer.region === region),
      ...next === undefined ? [] : [next],
    ]);
  }

  removeUnused(nowMs: number): void {
    this.#parts.accounts.removeUnused(nowMs - KEEP_ACCOUNTS_MS);
  }

  /** Reacts to a change of the view. */
  handleChange(peer: PeerInfo, change: PeerChange | "lost"): void {
    if (peer.region !== this.#parts.getSelf().region) return;
    if (change === "none") return;
    this.#recordLoss(peer, change);
    const isHere = change !== "lost" && change !== "leaving";
    this.#handOver.add({ peer, isHere });
  }

  /** Notes a gateway that ended; two at about the same time may be both homes. */
  #recordLoss(peer: PeerInfo, change: PeerChange | "lost"): void {
    const nowMs = performance.now();
    this.#losses.add(peer, change, nowMs);
    const lost = this.#losses.list(nowMs);
    if (lost.length < HOME_COUNT) return;
    const { accounts } = this.#parts;
    if (!accounts.isLossPossible(nowMs)) this.#logDoubt();
    accounts.setLoss(nowMs + LOSS_MS, nowMs - LOSS_WINDOW_MS);
  }

  #logDoubt(): void {
    this.#parts.log.write(EVENTS.AccountsDoubtful, {
      for_ms: LOSS_MS,
      lost: this.#losses.list(performance.now()),
    });
  }

  /** Answers a message of another gateway. */
  async handleMessage(
    { from: sender, message }: PeerEnvelope,
  ): Promise<PeerAnswer> {
    const { accounts, home, distant, directory, getSelf } = this.#parts;
    const from = getSelf();
    const nowMs = performance.now();
    switch (message.kind) {
      case "hello":
        return {
          from,
          ...(message.known === directory.size
            ? {}
            : { peers: directory.list() }),
          mayHaveLost: accounts.isLossPossible(nowMs),
          lost: this.#losses.list(nowMs),
        };
      case "open_turn":
        return { from, turn: await home.open(message.turn) };
      case "confirm_turn":
        return { from, isConfirmed: accounts.confirm(message.turn, nowMs) };
      case "close_turn": {
        const { programId, turnId, passedTokens } = message;
        accounts.close(programId, turnId, passedTokens);
        if (message.isDistant !== true) distant.close(message);
        return { from };
      }
      case "merge_accounts":
        for (const state of message.accounts) accounts.merge(state, nowMs);
        this.#parts.log.write(EVENTS.AccountsReceived, {
          peer: sender.vmId,
          accounts: message.accounts.length,
          programs: message.accounts.slice(0, MAX_LOGGED_PROGRAMS)
            .map(({ programId }) => programId),
        });
        return { from };
      case "find_account": {
        distant.addRegion(message.programId, sender.region);
        const account = accounts.find(message.programId);
        const mayHaveLost = accounts.isLossPossible(nowMs);
        return {
          from,
          mayHaveLost,
          ...(account === undefined ? {} : { account }),
        };
      }
      case "list_objects": {
        const cache = this.#parts.findCache(message.objects);
        const listed = cache?.list();
        if (cache === undefined || listed === undefined) return { from };
        return { from, listed, ageMs: cache.countAgeMs(nowMs) };
      }
      case "watch_objects": {
        const { objects, afterRevision, maxAgeMs } = message;
        const cache = this.#parts.findCache(objects);
        const isRecent = cache !== undefined &&
          cache.countAgeMs(nowMs) <= maxAgeMs;
        const waitMs = isRecent ? message.waitMs : 0;
        const changes = await cache?.waitForChanges(afterRevision, waitMs);
        if (cache === undefined || changes === undefined) {
          return { from, isHistoryGone: true };
        }
        return { from, changes, ageMs: cache.countAgeMs(performance.now()) };
      }
    }
  }

  async #callSeeds(): Promise<void> {
    const { seeds, links, directory, getSelf } = this.#parts;
    const self = getSelf();
    const others = seeds.filter(({ host, port }) =>
      host !== self.host || port !== self.port
    );
    await Promise.all(others.map(async (seed) => {
      const hello = { kind: "hello", known: directory.size } as const;
      const answer = await links.callAddress(seed, hello);
      await this.#addAll(answer?.peers ?? []);
      this.#recordInformed(answer);
    }));
  }

  /**
   * Enters this gateway in the store and meets those that are entered. The
   * entry comes first, so that of two gateways that start together one finds
   * the other.
   */
  async #saveEntry(): Promise<void> {
    const { store } = this.#parts;
    const isWritten = await this.#writeEntry();
    const listed = isWritten ? await store.list("gateways") : undefined;
    if (listed?.isOk()) {
      await this.#addAll(
        listed.value.objects.map(({ value }) => value as PeerInfo),
      );
      return;
    }
    setTimeout(() => {
      if (!this.#isStopped) void this.#saveEntry();
    }, REGISTER_RETRY_MS);
  }

  async #writeEntry(): Promise<boolean> {
    const { store, getSelf } = this.#parts;
    const self = getSelf();
    const write = { name: self.vmId, value: self };
    const created = await store.create("gateways", write);
    if (created.isOk()) return true;
    if (created.error.kind !== "conflict") return false;
    return (await store.update("gateways", write)).isOk();
  }

  /**
   * Greets gateways of the region that weren't known. Those of other regions
   * are met when they're needed, and in turn.
   */
  async #addAll(infos: readonly PeerInfo[]): Promise<void> {
    const { directory, log, getSelf } = this.#parts;
    const { region } = getSelf();
    const added = infos.filter((info) => directory.add(info));
    for (const { vmId } of added) {
      log.write(EVENTS.PeerChanged, { peer: vmId, change: "added" });
    }
    await this.#callAll(added.filter((peer) => peer.region === region));
  }

  async #callAll(peers: readonly PeerInfo[]): Promise<void> {
    const { links, directory } = this.#parts;
    await Promise.all(peers.map(async (peer) => {
      const hello = { kind: "hello", known: directory.size } as const;
      const answer = await links.call(peer, hello);
      this.#recordInformed(answer);
      await this.#addAll(answer?.peers ?? []);
    }));
  }

  #recordInformed(answer: PeerAnswer | undefined): void {
    const { region, vmId } = this.#parts.getSelf();
    if (answer === undefined || answer.from.region !== region) return;
    const others = (answer.lost ?? []).filter((lost) => lost !== vmId);
    const isInformed = answer.mayHaveLost === false && others.length === 0;
    this.#informants.set(answer.from.vmId, isInformed);
  }
}
