/**
 * Wires the parts of one gateway that count tokens together with the others.
 */
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { TokenAccounts } from "../decisions/token_accounts.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import { PeerGroup } from "../peers/peer_group.ts";
import { PeerLinks } from "../peers/peer_links.ts";
import type { GatewaySettings, ObjectKind, ObjectStore } from "../ports.ts";
import type { ObjectCache } from "../store/object_cache.ts";
import { AccountHandOver } from "./account_hand_over.ts";
import { AccountHome } from "./account_home.ts";
import { ShardKeeper } from "./shard_keeper.ts";
import { TurnAccounts } from "./turn_accounts.ts";

/** What the parts are built from. */
export interface AccountPartsOptions {
  readonly settings: Pick<GatewaySettings, "seeds">;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly getSelf: () => PeerInfo;
  /** What this gateway follows, for others to follow it here. */
  readonly findCache: (kind: ObjectKind) => ObjectCache | undefined;
}

/** The parts that count tokens. */
export interface CountingParts {
  readonly group: PeerGroup;
  readonly shards: ShardKeeper;
  readonly turns: TurnAccounts;
}

/** The parts. */
export interface AccountParts extends CountingParts {
  readonly directory: PeerDirectory;
  readonly links: PeerLinks;
}

/** Builds the parts. */
export function buildAccountParts(options: AccountPartsOptions): AccountParts {
  const { log, metrics, getSelf } = options;
  const directory = new PeerDirectory(getSelf());
  const links: PeerLinks = new PeerLinks({
    directory,
    log,
    metrics,
    getSelf,
    handleMessage: (envelope) => counting.group.handleMessage(envelope),
    onChange: (peer, change) => counting.group.handleChange(peer, change),
  });
  const counting = buildCountingParts(options, directory, links);
  return { ...counting, directory, links };
}

/** Builds the parts that count tokens, on links to the other gateways. */
export function buildCountingParts(
  options: AccountPartsOptions,
  directory: PeerDirectory,
  links: Pick<PeerLinks, "call" | "callAddress">,
): CountingParts {
  const { settings, log, metrics, store, getSelf, findCache } = options;
  const accounts = new TokenAccounts();
  const shared = { directory, links, accounts, log, self: getSelf() };
  const handOver = new AccountHandOver(shared);
  const shards = new ShardKeeper({ ...shared, store });
  const home = new AccountHome({
    accounts,
    store,
    log,
    metrics,
    callHolder: (programId) => shards.callHolder(programId),
  });
  const group = new PeerGroup({
    ...shared,
    home,
    handOver,
    shards,
    store,
    seeds: settings.seeds,
    getSelf,
    findCache,
  });
  const { joined } = group;
  const turns = new TurnAccounts({ ...shared, home, handOver, joined });
  return { group, shards, turns };
}
