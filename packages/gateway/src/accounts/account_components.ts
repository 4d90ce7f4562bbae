/**
 * Builds the components with which gateways account for tokens together.
 */
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import { PeerGroup, type PeerGroupDependencies } from "../peers/peer_group.ts";
import { PeerLinks } from "../peers/peer_links.ts";
import type { GatewaySettings, ObjectKind, ObjectStore } from "../ports.ts";
import type { ObjectCache } from "../store/object_cache.ts";
import type { EndedTargets } from "../decisions/ended_targets.ts";
import { CrashExchange } from "../crashes/crash_exchange.ts";
import type { KeptBlocks } from "../crashes/kept_blocks.ts";
import type { BlockedRequests } from "../decisions/blocked_requests.ts";
import type { PathRelay } from "../paths/path_relay.ts";
import { AccountHandover } from "./account_handover.ts";
import { AccountHome } from "./account_home.ts";
import { FirstAllowanceClient } from "./first_allowance_client.ts";
import type { GrantRecords } from "./grant_records.ts";
import { ShardTableManager } from "./shard_table_manager.ts";
import { TurnAccounts } from "./turn_accounts.ts";

/** Settings and dependencies of the components. */
export interface AccountComponentsOptions {
  readonly settings: Pick<GatewaySettings, "seeds">;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly getSelf: () => PeerInfo;
  readonly answerPermitCall: PeerGroupDependencies["answerPermitCall"];
  readonly answerCreditCall: PeerGroupDependencies["answerCreditCall"];
  /** Absent where gateways exchange no load. */
  readonly answerLoadReport?: PeerGroupDependencies["answerLoadReport"];
  readonly relay: PathRelay;
  /** Connections that other gateways may open. */
  readonly maxPeerConnections: number;
  readonly blocked: BlockedRequests;
  readonly keptBlocks: KeptBlocks;
  /** Called when a request isn't sent to targets any more. */
  readonly onBlocked: () => void;
  readonly ended: EndedTargets;
  /** Finds the cache of watched objects that this gateway relays to peers. */
  readonly findCache: (kind: ObjectKind) => ObjectCache | undefined;
  /** Where granted parts of first allowances are recorded. */
  readonly grants: GrantRecords;
}

/** The components that account for tokens. */
export interface TokenAccounting {
  readonly group: PeerGroup;
  readonly shards: ShardTableManager;
  readonly turns: TurnAccounts;
  readonly crashes: CrashExchange;
}

/** The components, with the links to the other gateways. */
export interface AccountComponents extends TokenAccounting {
  readonly directory: PeerDirectory;
  readonly links: PeerLinks;
}

/** Builds the components and the links to the other gateways. */
export function buildAccountComponents(
  options: AccountComponentsOptions,
): AccountComponents {
  const { log, metrics, getSelf } = options;
  const directory = new PeerDirectory(getSelf());
  const links: PeerLinks = new PeerLinks({
    directory,
    log,
    metrics,
    getSelf,
    relay: options.relay,
    maxConnections: options.maxPeerConnections,
    handleMessage: (envelope) => accounting.group.handleMessage(envelope),
    onChange: (peer, change) => accounting.group.handleChange(peer, change),
  });
  const accounting = buildTokenAccounting(options, directory, links);
  return { ...accounting, directory, links };
}

/** Builds the components that account for tokens, on the given links. */
export function buildTokenAccounting(
  options: Omit<
    AccountComponentsOptions,
    "relay" | "maxPeerConnections"
  >,
  directory: PeerDirectory,
  links: Pick<PeerLinks, "call" | "callAddress">,
): TokenAccounting {
  const { settings, log, metrics, store, getSelf } = options;
  const { findCache, answerPermitCall, answerCreditCall } = options;
  const { blocked, keptBlocks, onBlocked, ended } = options;
  const accounts = new TokenAccounts();
  const shared = { directory, links, accounts, log, self: getSelf() };
  const handover = new AccountHandover(shared);
  const { grants } = options;
  const shards = new ShardTableManager({ ...shared, store, grants });
  const firstAllowances = new FirstAllowanceClient({ ...shared, shards });
  const home = new AccountHome({
    accounts,
    store,
    log,
    metrics,
    acquireFirstAllowance: (request) => firstAllowances.acquire(request),
  });
  const crashes = new CrashExchange({
    ...shared,
    blocked,
    keptBlocks,
    onBlocked,
    ended,
    metrics,
    vmId: shared.self.vmId,
  });
  const group = new PeerGroup({
    ...shared,
    crashes,
    ended,
    home,
    handover,
    shards,
    store,
    seeds: settings.seeds,
    getSelf,
    findCache,
    answerPermitCall,
    answerCreditCall,
    answerLoadReport: options.answerLoadReport ?? (() => undefined),
  });
  const { joined } = group;
  const turns = new TurnAccounts({ ...shared, home, handover, joined });
  return { group, shards, turns, crashes };
}
