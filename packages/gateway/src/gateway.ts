/**
 * Builds the components of a gateway process and runs it from its start to its
 * graceful shutdown.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as waitFor } from "node:timers/promises";
import { EVENTS } from "@camphorlock/codes/events";
import type { SocketOpener } from "@camphorlock/http/exchange";
import { TimerService } from "@camphorlock/scheduler/timers";
import {
  type AccountComponents,
  buildAccountComponents,
} from "./accounts/account_components.ts";
import { BlockedRequests } from "./decisions/blocked_requests.ts";
import { KeptBlocks } from "./crashes/kept_blocks.ts";
import type { PeerInfo } from "./decisions/peer_directory.ts";
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
import type { GatewayMetrics } from "./gateway_metrics.ts";
import {
  buildPathComponents,
  type PathComponents,
} from "./paths/path_components.ts";
import { subscribeTimers } from "./gateway_timers.ts";
import { TargetPermits } from "./limits/target_permits.ts";
import type { GatewayLog } from "./log.ts";
import type {
  GatewaySettings,
  ObjectStore,
  RequestCodec,
  StoreCodec,
} from "./ports.ts";
import {
  buildObjectSource,
  computeRenewalMs,
} from "./store/build_object_source.ts";
import type { RelayedSource } from "./store/relayed_source.ts";
import {
  buildTurnComponents,
  type TurnComponents,
} from "./turns/turn_components.ts";
import { CountedStore } from "./store/counted_store.ts";
import { StreamVersions } from "./streams/stream_versions.ts";
import { Watchers } from "./store/watchers.ts";
import {
  type ConfigurationInForce,
  WatchedConfiguration,
  WatchedTargets,
} from "./store/watched_state.ts";

/** Interval at which due timers run. */
const TICK_MS = 50;
/** Delay before histograms load; callers of a restarted process come first. */
const LOAD_METRICS_AFTER_MS = 5_000;
/** Reserved at the end of the grace period to send the last responses. */
const GRACE_MARGIN_MS = 400;

/** Settings and dependencies of a gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly store: ObjectStore;
  readonly requestCodec: RequestCodec;
  readonly storeCodec: StoreCodec;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Opens direct connections to targets; tests pass another one. */
  readonly openSocket?: SocketOpener;
}

/** One gateway process. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #store: CountedStore;
  readonly #targets = new TargetTable();
  readonly #ways: PathComponents;
  readonly #limits: ClientLimits;
  readonly #permits: TargetPermits;
  readonly #blocked = new BlockedRequests();
  readonly #ended = new EndedTargets();
  readonly #timers = new TimerService();
  readonly #configuration: WatchedConfiguration;
  readonly #observedTargets: WatchedTargets;
  readonly #watchers: Watchers;
  readonly #objectSource: RelayedSource;
  readonly #accounts: AccountComponents;
  readonly #callers: CallerServer;
  readonly #turns: TurnComponents;
  readonly #statusServers: StatusServers;
  readonly #bootId = randomUUID();
  #tickTimer: NodeJS.Timeout | undefined;
  #metricsTimer: NodeJS.Timeout | undefined;
  readonly #readinessState: ReadinessState;
  #isStopping = false;
  #stopAtMs = Number.POSITIVE_INFINITY;
  #hasJoined = false;

  constructor(given: GatewayOptions) {
    const store = this.#store = new CountedStore(given.store);
    const options = this.#options = { ...given, store };
    const { settings, log, metrics } = options;
    this.#turns = buildTurnComponents(options);
    const getViewAgeMs = () => this.#watchers.computeAgeMs("targets");
    const limits = this.#limits = buildClientLimits(settings, metrics);
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
    const stateDependencies = {
      codec: options.storeCodec,
      log,
      targets: this.#targets,
      onConfiguration: ({ configuration }: ConfigurationInForce) =>
        this.#callers.setLimits(configuration.limits),
      onTargetRemoved: (id: string) => {
        connections.remove(id);
        this.#permits.remove(id);
      },
    };
    this.#configuration = new WatchedConfiguration(stateDependencies);
    this.#observedTargets = new WatchedTargets(stateDependencies);
    this.#watchers = new Watchers({
      log,
      getSource: () => this.#objectSource,
      listeners: {
        configuration: this.#configuration,
        targets: this.#observedTargets,
        turnDisks: this.#turns.disks,
      },
      renewalMs: computeRenewalMs(settings),
    });
    this.#accounts = buildAccountComponents({
      ...options,
      getSelf: () => this.#buildSelf(),
      blocked: this.#blocked,
      keptBlocks: new KeptBlocks(this.#turns.facts),
      ended: this.#ended,
      onBlocked: () => this.#callers.stopBlocked(),
      findCache: (kind) => this.#watchers.findCache(kind),
      answerPermitCall: (call, gatewayId) =>
        this.#permits.answer(call, gatewayId),
      relay: this.#ways.relay,
    });
    this.#permits = new TargetPermits({
      ...this.#accounts,
      log,
      metrics,
      vmId: settings.vmId,
      regions: settings.regions,
    });
    this.#objectSource = buildObjectSource({ ...this.#accounts, ...options });
    this.#readinessState = new ReadinessState({
      log,
      isStopping: () => this.#isStopping,
      hasInitialState: () =>
        this.#hasJoined && Number.isFinite(getViewAgeMs()) &&
        this.#configuration.isKnown && paths.canReachTargets,
      countTargets: () => this.#targets.size,
    });
    this.#callers = new CallerServer({
      ...limits,
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
      placement: {
        vmId: settings.vmId,
        failureDomain: settings.failureDomain,
        regions: settings.regions,
      },
      accounts: this.#accounts.turns,
      history: this.#turns.history,
      getViewAgeMs,
      getConfiguration: () => this.#configuration.inForce,
      getConfigurationAgeMs: () => this.#watchers.computeAgeMs("configuration"),
      waitForConfiguration: (limitMs) =>
        this.#configuration.waitForFirst(limitMs),
      countStopLeftMs: () => this.#stopAtMs - performance.now(),
      isDrainingConnections: () => this.#readinessState.isDrainingConnections,
    });
    this.#statusServers = new StatusServers(options, this.#readinessState);
  }

  /**
   * Starts the process; rejects when an address can't be used, also not after
   * the time that a former process has to end.
   */
  async start(): Promise<void> {
    const { settings, log } = this.#options;
    this.#watchers.start("configuration");
    this.#watchers.start("targets");
    this.#watchers.start("turnDisks");
    subscribeTimers(this.#timers, {
      ...this.#accounts,
      log,
      metrics: this.#options.metrics,
      store: this.#store,
      targets: this.#observedTargets,
      watchers: this.#watchers,
      permits: this.#permits,
      ways: this.#ways,
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
    this.#metricsTimer = setTimeout(
      () => void this.#options.metrics.load(),
      LOAD_METRICS_AFTER_MS,
    );
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
    this.#watchers.stop();
    this.#accounts.group.stop();
    this.#accounts.links.close();
    this.#turns.links.close();
    await this.#ways.connections.close();
    await this.#store.close();
    this.#options.log.flush();
  }

  #buildSelf(): PeerInfo {
    const { settings } = this.#options;
    return {
      vmId: settings.vmId,
      ...settings.peers,
      region: settings.region,
      bootId: this.#bootId,
      isLeaving: this.#isStopping,
    };
  }
}
