/**
 * The group of gateways: discovers the others through the store and the seeds,
 * handles their messages, and reacts when one joins, fails or leaves.
 */
import type { EndedTargets } from "../decisions/ended_targets.ts";
import { EVENTS } from "@camphorlock/codes/events";
import type { AccountHandover } from "../accounts/account_handover.ts";
import type { AccountHome } from "../accounts/account_home.ts";
import type { ShardTableManager } from "../accounts/shard_table_manager.ts";
import type {
  PeerChange,
  PeerDirectory,
  PeerInfo,
} from "../decisions/peer_directory.ts";
import type { LoadExchange } from "../load/load_exchange.ts";
import type { PermitDecision } from "../decisions/permit_bucket.ts";
import type { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayLog } from "../log.ts";
import type { Address, ObjectKind, ObjectStore } from "../ports.ts";
import type { CrashExchange } from "../crashes/crash_exchange.ts";
import type { ObjectCache } from "../store/object_cache.ts";
import { answerObjectCall } from "../store/object_relay.ts";
import { decodeEntries, writeEntry } from "./gateway_entry.ts";
import { logReceived } from "./log_received.ts";
import type { PeerLinks } from "./peer_links.ts";
import {
  type CreditCall,
  type CreditDecision,
  isPeerInfo,
  type PeerEnvelope,
  type PeerMessage,
  type PeerResponse,
  type PermitCall,
} from "./peer_messages.ts";

/** Pause before this gateway's entry is written again after a failure. */
const REGISTER_RETRY_MS = 400;

/** Dependencies of the group. */
export interface PeerGroupDependencies {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call" | "callAddress">;
  readonly accounts: TokenAccounts;
  readonly home: AccountHome;
  readonly handover: AccountHandover;
  readonly shards: ShardTableManager;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly seeds: readonly Address[];
  readonly getSelf: () => PeerInfo;
  /** Decides on another gateway's request for a permit. */
  readonly answerPermitCall: (
    call: PermitCall,
    gatewayId: string,
  ) => Promise<PermitDecision>;
  /** Decides on another gateway's request for credits, if it may. */
  readonly answerCreditCall: (
    call: CreditCall,
    gatewayId: string,
  ) => Promise<CreditDecision | undefined>;
  /** Records a report of load; answers with the others' load. */
  readonly answerLoadReport: LoadExchange["answer"];
  /** The requests that crash targets, as the gateways find them. */
  readonly crashes: CrashExchange;
  readonly ended: EndedTargets;
  /** Finds the cache of a watched kind, which other gateways watch here. */
  readonly findCache: (kind: ObjectKind) => ObjectCache | undefined;
}

/** One gateway's membership in the group. */
export class PeerGroup {
  /** Resolves when the peers that respond are in the directory. */
  readonly joined: Promise<void>;
  readonly #dependencies: PeerGroupDependencies;
  #resolveJoined: () => void = () => {};
  #isStopped = false;
  #peerRotation = 0;
  #suspectedRotation = 0;

  constructor(dependencies: PeerGroupDependencies) {
    this.#dependencies = dependencies;
    this.joined = new Promise((resolve) => {
      this.#resolveJoined = resolve;
    });
  }

  /** Joins the group; resolves when the responding peers are discovered. */
  async open(): Promise<void> {
    await Promise.all([this.#callSeeds(), this.#registerSelf()]);
    this.#dependencies.shards.start();
    this.#resolveJoined();
  }

  /** Notifies the peers that this gateway leaves; transfers what it holds. */
  async sendLeaving(): Promise<void> {
    const { directory, handover, shards } = this.#dependencies;
    directory.setLeaving();
    await this.#sendHello(directory.list());
    await Promise.all([shards.release(), handover.sendAll()]);
  }

  stop(): void {
    this.#isStopped = true;
    this.#dependencies.handover.stop();
  }

  /** Requests the list of peers from the next gateway, in rotation. */
  async callNextPeer(): Promise<void> {
    const peers = this.#dependencies.directory.list();
    this.#peerRotation += 1;
    const peer = peers[this.#peerRotation % Math.max(1, peers.length)];
    if (peer !== undefined) await this.#sendHello([peer]);
  }

  /** Says hello to gateways; records whether they respond. */
  async probe(peers: readonly PeerInfo[]): Promise<void> {
    await this.#sendHello(peers);
  }

  /**
   * Probes suspected gateways: all of this region and one of the others, in
   * rotation.
   */
  async probeSuspected(): Promise<void> {
    const { directory, getSelf } = this.#dependencies;
    const { region } = getSelf();
    const suspected = directory.listSuspected();
    const distant = suspected.filter((peer) => peer.region !== region);
    this.#suspectedRotation += 1;
    const next = distant[this.#suspectedRotation % Math.max(1, distant.length)];
    await this.#sendHello([
      ...suspected.filter((peer) => peer.region === region),
      ...next === undefined ? [] : [next],
    ]);
  }

  removeUnused(nowMs: number): void {
    this.#dependencies.home.removeUnused(nowMs);
    this.#dependencies.shards.removeExpired(nowMs);
  }

  /** Schedules a move of accounts after a change in this region. */
  handleChange(peer: PeerInfo, change: PeerChange | "lost"): void {
    if (peer.region !== this.#dependencies.getSelf().region) return;
    if (change !== "none") this.#dependencies.handover.scheduleMove();
  }

  /** Handles a message of another gateway. */
  async handleMessage(
    { from: sender, message }: PeerEnvelope,
  ): Promise<PeerResponse> {
    const { accounts, home, handover, directory, shards } = this.#dependencies;
    const { answerPermitCall, answerCreditCall, crashes, ended } =
      this.#dependencies;
    const from = this.#dependencies.getSelf();
    const nowMs = performance.now();
    switch (message.kind) {
      case "hello": {
        const shardUpdate = shards.buildUpdate(message.shardsRevision);
        return {
          from,
          ...(message.known === directory.size
            ? {}
            : { peers: directory.list() }),
          ...(shardUpdate === undefined ? {} : { shards: shardUpdate }),
          ...crashes.buildUpdate(message.blockedRequests),
        };
      }
      case "open_turn":
        return { from, turn: await home.open(message.turn) };
      case "close_turn": {
        const { programId, turnId, passedTokens } = message;
        home.close(programId, turnId, passedTokens);
        handover.handleClosed(programId);
        return { from };
      }
      case "move_accounts":
        for (const moved of message.accounts) accounts.addMoved(moved, nowMs);
        logReceived(this.#dependencies.log, sender, message.accounts);
        return { from };
      case "grant_first": {
        const isGiven = await shards.granter.grantWhole(message.programId);
        return { from, isGiven };
      }
      case "grant_parts": {
        const firstGrant = await shards.granter.grant(message.request);
        return { from, firstGrant };
      }
      case "take_shards":
        return { from, isTaken: await shards.acquire(sender, message.given) };
      case "share_shards":
        shards.applyUpdate(message.shards);
        return { from };
      case "report_crash":
        crashes.recordReport(message.report);
        return { from };
      case "share_end":
        ended.record(String(message.incarnation));
        return { from };
      case "share_blocked":
        return {
          from,
          completed: crashes.applyBlocked(message.blocked, message.isProposed),
        };
      case "take_permit": {
        const permit = await answerPermitCall(message, sender.vmId);
        return { from, permit };
      }
      case "take_credits": {
        const credits = await answerCreditCall(message, sender.vmId);
        return {
          from,
          ...(credits === undefined ? { error: "no decision" } : { credits }),
        };
      }
      case "report_load": {
        const load = this.#dependencies.answerLoadReport(message, sender);
        return load === undefined ? { from } : { from, load };
      }
      case "list_objects":
      case "watch_objects": {
        const cache = this.#dependencies.findCache(message.objects);
        return { from, ...await answerObjectCall(cache, message) };
      }
    }
  }

  async #callSeeds(): Promise<void> {
    const { seeds, links, getSelf } = this.#dependencies;
    const self = getSelf();
    const others = seeds.filter(({ host, port }) =>
      host !== self.host || port !== self.port
    );
    await Promise.all(others.map(async (seed) => {
      const response = await links.callAddress(seed, this.#buildHello());
      await this.#applyResponse(response);
    }));
  }

  /**
   * Registers this gateway in the store and discovers the others there. It
   * writes its entry before it reads the list, so that of two gateways that
   * start together at least one finds the other.
   */
  async #registerSelf(): Promise<void> {
    const { store, log, getSelf } = this.#dependencies;
    const isRegistered = await writeEntry(store, getSelf());
    const listed = isRegistered ? await store.list("gateways") : undefined;
    if (listed?.isOk()) {
      await this.#addPeers(decodeEntries(listed.value.objects, log));
      return;
    }
    setTimeout(() => {
      if (!this.#isStopped) void this.#registerSelf();
    }, REGISTER_RETRY_MS);
  }

  /**
   * Adds newly discovered gateways and says hello to those of this region.
   * Gateways of other regions are called when needed, and in rotation.
   */
  async #addPeers(infos: readonly PeerInfo[]): Promise<void> {
    const { directory, log, getSelf } = this.#dependencies;
    const { region } = getSelf();
    const added = infos.filter((info) => directory.add(info));
    for (const { vmId } of added) {
      log.write(EVENTS.PeerChanged, { peer: vmId, change: "added" });
    }
    await this.#sendHello(added.filter((peer) => peer.region === region));
  }

  async #sendHello(peers: readonly PeerInfo[]): Promise<void> {
    const { links } = this.#dependencies;
    await Promise.all(peers.map(async (peer) => {
      await this.#applyResponse(await links.call(peer, this.#buildHello()));
    }));
  }

  #buildHello(): PeerMessage {
    const { directory, shards, crashes } = this.#dependencies;
    return {
      kind: "hello",
      known: directory.size,
      shardsRevision: shards.revision,
      blockedRequests: crashes.blockedCount,
    };
  }

  async #applyResponse(response: PeerResponse | undefined): Promise<void> {
    if (response?.shards !== undefined) {
      this.#dependencies.shards.applyUpdate(response.shards);
    }
    this.#dependencies.crashes.applyBlocked(response?.blocked ?? []);
    await this.#addPeers(response?.peers?.filter(isPeerInfo) ?? []);
  }
}
