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
import { AccountHome } from "./account_home.ts";
import { DistantAccounts } from "./distant_accounts.ts";
import { TurnAccounts } from "./turn_accounts.ts";

/** What the parts are built from. */
export interface AccountPartsOptions {
  readonly settings: GatewaySettings;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly getSelf: () => PeerInfo;
  /** What this gateway follows, for others to follow it here. */
  readonly findCache: (kind: ObjectKind) => ObjectCache | undefined;
}

/** The parts. */
export interface AccountParts {
  readonly directory: PeerDirectory;
  readonly group: PeerGroup;
  readonly home: AccountHome;
  readonly links: PeerLinks;
  readonly turns: TurnAccounts;
}

/** Builds the parts. */
export function buildAccountParts(options: AccountPartsOptions): AccountParts {
  const { settings, log, metrics, store, getSelf, findCache } = options;
  const accounts = new TokenAccounts();
  const directory = new PeerDirectory(getSelf());
  const links: PeerLinks = new PeerLinks({
    directory,
    log,
    metrics,
    getSelf,
    handleMessage: (envelope) => group.handleMessage(envelope),
    onChange: (peer, change) => group.handleChange(peer, change),
  });
  const shared = { directory, links, accounts, selfId: settings.vmId };
  const distant = new DistantAccounts(shared);
  const home = new AccountHome({
    accounts,
    distant,
    store,
    log,
    metrics,
  });
  const group = new PeerGroup({
    directory,
    links,
    accounts,
    home,
    distant,
    store,
    log,
    seeds: settings.seeds,
    getSelf,
    findCache,
    isFirstStart: settings.isFirstStart,
  });
  const turns = new TurnAccounts({ ...shared, home, distant });
  return { directory, group, home, links, turns };
}
