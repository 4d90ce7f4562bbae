/**
 * The gateways as a group: finds the others through the store and the seeds,
 * answers their messages, and notes who comes and goes.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { AccountHandOver } from "../accounts/account_hand_over.ts";
import type { AccountHome } from "../accounts/account_home.ts";
import type { ShardKeeper } from "../accounts/shard_keeper.ts";
import type {
  PeerChange,
  PeerDirectory,
  PeerInfo,
} from "../decisions/peer_directory.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayLog } from "../log.ts";
import type { Address, ObjectKind, ObjectStore } from "../ports.ts";
import type { ObjectCache } from "../store/object_cache.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { MovedAccount } from "../model/token_account.ts";
import type { PeerAnswer, PeerEnvelope, PeerMessage } from "./peer_messages.ts";

/** Pause before an entry that the store didn't take is written again. */
const REGISTER_RETRY_MS = 400;
/** Programs that one log line names. */
const MAX_LOGGED_PROGRAMS = 20;

/** What the group works with. */
export interface PeerGroupParts {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call" | "callAddress">;
  readonly accounts: TokenAccounts;
  readonly home: AccountHome;
  readonly handOver: AccountHandOver;
  readonly shards: ShardKeeper;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly seeds: readonly Address[];
  readonly getSelf: () => PeerInfo;
  /** What this gateway follows, for others to follow it here. */
  readonly findCache: (kind: ObjectKind) => ObjectCache | undefined;
}

/** One gateway's part in the group. */
export class PeerGroup {
  /** Ends when the peers that answer are known. */
  readonly joined: Promise<void>;
  readonly #parts: PeerGroupParts;
  #handleJoined: () => void = () => {};
  #isStopped = false;
  #nextPeer = 0;
  #nextSuspected = 0;

  constructor(parts: PeerGroupParts) {
    this.#parts = parts;
    this.joined = new Promise((resolve) => {
      this.#handleJoined = resolve;
    });
  }

  /** Joins the group. Returns when the peers that answer are known. */
  async open(): Promise<void> {
    await Promise.all([this.#callSeeds(), this.#saveEntry()]);
    this.#parts.shards.start();
    this.#handleJoined();
  }

  /** Tells the others that this gateway leaves, and gives them what it has. */
  async sendLeaving(): Promise<void> {
    const { directory, handOver, shards } = this.#parts;
    directory.setLeaving();
    await this.#callAll(directory.list());
    await Promise.all([shards.release(), handOver.sendAll()]);
  }

  stop(): void {
    this.#isStopped = true;
    this.#parts.handOver.stop();
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
    this.#parts.home.removeUnused(nowMs);
    this.#parts.shards.removeOld(nowMs);
  }

  /** Reacts to a change of the view. */
  handleChange(peer: PeerInfo, change: PeerChange | "lost"): void {
    if (peer.region !== this.#parts.getSelf().region) return;
    if (change !== "none") this.#parts.handOver.startMoving();
  }

  /** Answers a message of another gateway. */
  async handleMessage(
    { from: sender, message }: PeerEnvelope,
  ): Promise<PeerAnswer> {
    const { accounts, home, handOver, directory, shards } = this.#parts;
    const from = this.#parts.getSelf();
    const nowMs = performance.now();
    switch (message.kind) {
      case "hello": {
        const news = shards.buildNews(message.shardsRevision);
        return {
          from,
          ...(message.known === directory.size
            ? {}
            : { peers: directory.list() }),
          ...(news === undefined ? {} : { shards: news }),
        };
      }
      case "open_turn":
        return { from, turn: await home.open(message.turn) };
      case "close_turn": {
        const { programId, turnId, passedTokens } = message;
        home.close(programId, turnId, passedTokens);
        handOver.handleClosed(programId);
        return { from };
      }
      case "move_accounts":
        for (const moved of message.accounts) accounts.addMoved(moved, nowMs);
        this.#logReceived(sender, message.accounts);
        return { from };
      case "grant_first": {
        const isGiven = shards.grantFirst(message.programId) === undefined;
        return { from, isGiven };
      }
      case "take_shards":
        return { from, isTaken: await shards.take(sender, message.given) };
      case "share_shards":
        shards.applyNews(message.shards);
        return { from };
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
    const { seeds, links, getSelf } = this.#parts;
    const self = getSelf();
    const others = seeds.filter(({ host, port }) =>
      host !== self.host || port !== self.port
    );
    await Promise.all(others.map(async (seed) => {
      const answer = await links.callAddress(seed, this.#buildHello());
      await this.#applyAnswer(answer);
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
    const { links } = this.#parts;
    await Promise.all(peers.map(async (peer) => {
      await this.#applyAnswer(await links.call(peer, this.#buildHello()));
    }));
  }

  #buildHello(): PeerMessage {
    const { directory, shards } = this.#parts;
    return {
      kind: "hello",
      known: directory.size,
      shardsRevision: shards.revision,
    };
  }

  async #applyAnswer(answer: PeerAnswer | undefined): Promise<void> {
    if (answer?.shards !== undefined) {
      this.#parts.shards.applyNews(answer.shards);
    }
    await this.#addAll(answer?.peers ?? []);
  }

  #logReceived(sender: PeerInfo, moved: readonly MovedAccount[]): void {
    this.#parts.log.write(EVENTS.AccountsReceived, {
      peer: sender.vmId,
      accounts: moved.length,
      allowed_tokens: moved.reduce((sum, each) => sum + each.allowedTokens, 0),
      programs: moved.slice(0, MAX_LOGGED_PROGRAMS)
        .map(({ programId }) => programId),
    });
  }
}
