/**
 * Builds the components of a gateway process and runs it from its start to its
 * graceful shutdown.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as waitFor } from "node:timers/promises";
import { EVENTS } from "@camphorlock/codes/events";
import { TimerService } from "@camphorlock/scheduler/timers";
import {
  type AccountComponents,
  buildAccountComponents,
} from "./accounts/account_components.ts";
import { BlockedRequests } from "./decisions/blocked_requests.ts";
import type { PeerInfo } from "./decisions/peer_directory.ts";
import { buildEntry } from "./peers/gateway_entry.ts";
import { EndedTargets } from "./decisions/ended_targets.ts";
import { TargetTable } from "./decisions/target_table.ts";
import { AddressWaiter } from "./front/address_waiter.ts";
import { CallerServer } from "./front/caller_server.ts";
import { buildClientLimits, type ClientLimits } from "./front/client_limits.ts";
import {
  BALANCER_REMOVAL_MS,
  ReadinessState,
} from "./front/readiness_state.ts";
import { StatusServers } from "./front/status_servers.ts";
import {
  buildPathComponents,
  type PathComponents,
} from "./paths/path_components.ts";
import type { GatewayOptions } from "./gateway_options.ts";
import { subscribeTimers } from "./gateway_timers.ts";
import { TargetPermits } from "./limits/target_permits.ts";
import {
  buildLoadComponents,
  type LoadComponents,
} from "./load/load_components.ts";
import {
  buildQuotaComponents,
  type QuotaComponents,
} from "./quotas/quota_components.ts";
import { buildObjectSource } from "./store/build_object_source.ts";
import type { RelayedSource } from "./store/relayed_source.ts";
import {
  buildTurnComponents,
  type TurnComponents,
} from "./turns/turn_components.ts";
import {
  buildGatewayStores,
  type GatewayStores,
} from "./store/guarded_store.ts";
import { WorkQueue } from "./queue/work_queue.ts";
import { StreamVersions } from "./streams/stream_versions.ts";
import {
  buildWatchComponents,
  type WatchComponents,
} from "./store/watch_components.ts";
import { buildTenantKeys } from "./tenants/build_tenant_keys.ts";
import type { TenantKeys } from "./tenants/tenant_keys.ts";

/** Interval at which due timers run. */
const TICK_MS = 50;
/** Delay before histograms load; callers of a restarted process come first. */
const LOAD_METRICS_AFTER_MS = 5_000;
/** Reserved at the end of the grace period to send the last responses. */
const GRACE_MARGIN_MS = 400;

/** One gateway process. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #stores: GatewayStores;
  readonly #targets = new TargetTable();
  readonly #ways: PathComponents;
  readonly #limits: ClientLimits;
  readonly #permits: TargetPermits;
  readonly #quotas: QuotaComponents;
  readonly #blocked = new BlockedRequests();
  readonly #ended = new EndedTargets();
  readonly #timers = new TimerService();
  readonly #watched: WatchComponents;
  readonly #keys: TenantKeys;
  readonly #objectSource: RelayedSource;
  readonly #accounts: AccountComponents;
  readonly #callers: CallerServer;
  readonly #turns: TurnComponents;
  readonly #load: LoadComponents;
  readonly #statusServers: StatusServers;
  readonly #bootId = randomUUID();
  #tickTimer: NodeJS.Timeout | undefined;
  #metricsTimer: NodeJS.Timeout | undefined;
  readonly #readinessState: ReadinessState;
  #isStopping = false;
  #stopAtMs = Number.POSITIVE_INFINITY;
  #hasJoined = false;

  constructor(given: GatewayOptions) {
    this.#stores = buildGatewayStores(
      given.store,
      () => this.#accounts.directory.findRelayRank(),
    );
    const { guarded: store } = this.#stores;
    const options = this.#options = { ...given, store };
    const { settings, log, metrics } = options;
    this.#turns = buildTurnComponents(options);
    const getViewAgeMs = () => this.#watched.watchers.computeAgeMs("targets");
    const limits = this.#limits = buildClientLimits(options);
    this.#ways = buildPathComponents({
      ...options,
      ...limits,
      targets: this.#targets,
      getPeers: () => this.#accounts,
      getSelf: () => this.#buildSelf(),
      isStopping: () => this.#isStopping,
      isReady: () => this.#readinessState.isReady,
      ended: this.#ended,
      getViewAgeMs,
      onCutOff: () => this.#callers.resumeElsewhere(),
      onEnd: (end) => void this.#accounts.crashes.report(end),
    });
    const { paths, connections, verifier, observer } = this.#ways;
    this.#watched = buildWatchComponents({
      ...options,
      targets: this.#targets,
      disks: this.#turns.disks,
      getSource: () => this.#objectSource,
      onConfiguration: ({ configuration }) =>
        this.#callers.setLimits(configuration.limits),
      onTargetRemoved: (id) => {
        connections.remove(id);
        this.#permits.remove(id);
        this.#load.placement.model.removeTarget(id);
      },
    });
    this.#keys = buildTenantKeys(options, this.#watched.configuration);
    this.#accounts = buildAccountComponents({
      ...options,
      ...limits,
      getSelf: () => this.#buildSelf(),
      ...this.#turns.records,
      blocked: this.#blocked,
      ended: this.#ended,
      onBlocked: () => this.#callers.stopBlocked(),
      findCache: (kind) => this.#watched.watchers.findCache(kind),
      answerPermitCall: (call, gatewayId) =>
        this.#permits.answer(call, gatewayId),
      answerCreditCall: (call, gatewayId) =>
        this.#quotas.answer(call, gatewayId),
      answerLoadReport: (report, from) =>
        this.#load.exchange.answer(report, from),
      relay: this.#ways.relay,
    });
    this.#permits = new TargetPermits({
      ...this.#accounts,
      log,
      metrics,
      vmId: settings.vmId,
      regions: settings.regions,
    });
    this.#quotas = buildQuotaComponents({
      ...options,
      ...this.#accounts,
      probe: (peers) => this.#accounts.group.probe(peers),
      getConfiguration: () =>
        this.#watched.configuration.inForce?.configuration,
    });
    this.#objectSource = buildObjectSource({ ...this.#accounts, ...options });
    this.#readinessState = new ReadinessState({
      log,
      isStopping: () => this.#isStopping,
      hasInitialState: () =>
        this.#hasJoined && Number.isFinite(getViewAgeMs()) &&
        this.#watched.configuration.isKnown && paths.canReachTargets,
      hasLostKeys: () => this.#keys.hasLapsed,
      countTargets: () => this.#targets.size,
    });
    const queue = new WorkQueue({
      vmId: settings.vmId,
      metrics,
      findConfiguration: () =>
        this.#watched.configuration.inForce?.configuration,
    });
    this.#load = buildLoadComponents({
      ...options,
      ...this.#accounts,
      targets: this.#targets,
      findService: (name) => this.#watched.configuration.findService(name),
    });
    this.#callers = new CallerServer({
      ...this.#watched.access,
      ...limits,
      queue,
      ways: this.#ways,
      targets: this.#targets,
      connections,
      permits: this.#permits,
      crashes: observer,
      blocked: this.#blocked,
      versions: new StreamVersions(this.#turns.facts),
      verifier,
      codec: options.requestCodec,
      log,
      metrics,
      placement: this.#load.placement,
      accounts: this.#accounts.turns,
      history: this.#turns.history,
      quotas: this.#quotas.requests,
      keys: this.#keys,
      getViewAgeMs,
      countStopLeftMs: () => this.#stopAtMs - performance.now(),
      isDrainingConnections: () => this.#readinessState.isDrainingConnections,
    });
    this.#statusServers = new StatusServers(
      { ...options, ...limits },
      this.#readinessState,
    );
  }

  /**
   * Starts the process; rejects when an address can't be used, also not after
   * the time that a former process has to end.
   */
  async start(): Promise<void> {
    const { settings, log } = this.#options;
    this.#watched.watchers.startAll();
    subscribeTimers(this.#timers, {
      ...this.#accounts,
      log,
      metrics: this.#options.metrics,
      store: this.#stores.counted,
      ...this.#watched,
      permits: this.#permits,
      quotas: this.#quotas,
      keys: this.#keys,
      ways: this.#ways,
      load: this.#load.exchange,
      bytes: this.#limits.bytes,
    });
    this.#tickTimer = setInterval(() => {
      this.#readinessState.recordTick(TICK_MS);
      this.#timers.runDue(performance.now());
    }, TICK_MS);
    const addresses = new AddressWaiter(settings, log);
    await addresses.serve(() => this.#accounts.links.serve(settings.peers));
    void this.#accounts.group.open().then(() => this.#hasJoined = true);
    await addresses.serve(() => this.#callers.serve(settings.callers));
    await this.#statusServers.serve(settings, addresses);
    const loadMetrics = () => void this.#options.metrics.load();
    this.#metricsTimer = setTimeout(loadMetrics, LOAD_METRICS_AFTER_MS);
    log.write(EVENTS.GatewayStarted, {
      address: `${settings.callers.host}:${settings.callers.port}`,
      failure_domain: settings.failureDomain,
      process_ms: Math.round(performance.now()),
    });
  }

  /** Shuts down gracefully: accepts no callers, lets open requests finish. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { log, settings } = this.#options;
    this.#stopAtMs = performance.now() + settings.bounds.graceMs -
      GRACE_MARGIN_MS;
    log.write(EVENTS.GatewayStopping, { open: this.#callers.openRequests });
    void this.#accounts.group.sendLeaving();
    await waitFor(BALANCER_REMOVAL_MS);
    this.#callers.stopListening();
    while (
      this.#callers.openRequests + this.#ways.relay.openConnections > 0 &&
      performance.now() < this.#stopAtMs
    ) {
      await waitFor(TICK_MS);
    }
    this.#callers.endRequests();
    await waitFor(TICK_MS);
    log.write(EVENTS.GatewayStopped, { cut_off: this.#callers.openRequests });
    await this.close();
  }

  /** Closes at once; open requests are cut off. */
  async close(): Promise<void> {
    clearInterval(this.#tickTimer);
    clearTimeout(this.#metricsTimer);
    this.#callers.close();
    this.#statusServers.close();
    this.#watched.watchers.stop();
    this.#accounts.group.stop();
    this.#accounts.links.close();
    this.#turns.links.close();
    await this.#ways.connections.close();
    await this.#stores.guarded.close();
    this.#options.log.flush();
  }

  #buildSelf(): PeerInfo {
    return buildEntry(this.#options.settings, {
      bootId: this.#bootId,
      isLeaving: this.#isStopping,
    });
  }
}
