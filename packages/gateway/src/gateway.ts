/**
 * Wires the parts of a gateway process and runs it from its start to its
 * planned stop.
 */
import { randomUUID } from "node:crypto";
import { EVENTS } from "@camphorlock/codes/events";
import { TimerService } from "@camphorlock/scheduler/timers";
import {
  type AccountParts,
  buildAccountParts,
} from "./accounts/account_parts.ts";
import { SHARD_CHECK_MS } from "./accounts/shard_keeper.ts";
import type { PeerInfo } from "./decisions/peer_directory.ts";
import { TargetTable } from "./decisions/target_table.ts";
import { TargetConnections } from "./exchange/target_connections.ts";
import { CallerServer } from "./front/caller_server.ts";
import { PlainServer } from "./front/plain_server.ts";
import { LEAVE_BALANCER_MS, ReadinessState } from "./front/readiness_state.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayLog } from "./log.ts";
import type {
  GatewaySettings,
  ObjectKind,
  ObjectStore,
  RequestCodec,
  StoreCodec,
} from "./ports.ts";
import { Follower } from "./store/follower.ts";
import {
  NewsSource,
  type ObjectSource,
  StoreSource,
} from "./store/news_source.ts";
import { KnownConfiguration, KnownTargets } from "./store/known_state.ts";

/** How often due work is looked for. */
const TICK_MS = 50;
const LOG_FLUSH_MS = 100;
const LAPSE_CHECK_MS = 100;
/** How often gateways that didn't answer are asked again. */
const PROBE_PEERS_MS = 500;
/** Time beyond a watch's wait within which another gateway's news is used. */
const NEWS_MARGIN_MS = 300;
/** How often another gateway is asked for those that it knows. */
const EXCHANGE_PEERS_MS = 2_000;
const ACCOUNT_CLEANUP_MS = 10_000;
/** Callers that wait for a restarted process come before its histograms. */
const LOAD_METRICS_AFTER_MS = 5_000;
/**
 * Part of the shorter bound for changes that a watch waits at the store. A
 * silent connection costs it whole, and the way on to other gateways as much.
 */
const WATCH_SHARE = 0.25;
/** Time kept before the end of the grace for the last answers to be sent. */
const GRACE_MARGIN_MS = 400;

/** What a gateway is made of. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly store: ObjectStore;
  readonly requestCodec: RequestCodec;
  readonly storeCodec: StoreCodec;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** One gateway process. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #targets = new TargetTable();
  readonly #connections = new TargetConnections();
  readonly #timers = new TimerService();
  readonly #configuration: KnownConfiguration;
  readonly #knownTargets: KnownTargets;
  readonly #followers: ReadonlyMap<ObjectKind, Follower>;
  readonly #news: NewsSource;
  readonly #accounts: AccountParts;
  readonly #callers: CallerServer;
  readonly #readiness: PlainServer;
  readonly #metricsServer: PlainServer;
  readonly #bootId = randomUUID();
  #ticks: NodeJS.Timeout | undefined;
  #metricsTimer: NodeJS.Timeout | undefined;
  readonly #readinessState: ReadinessState;
  #isStopping = false;
  #hasJoined = false;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { settings, store, log, metrics } = options;
    const parts = {
      codec: options.storeCodec,
      log,
      targets: this.#targets,
      onConfiguration: () => this.#applyLimits(),
      onTargetGone: (id: string) => this.#connections.remove(id),
    };
    this.#configuration = new KnownConfiguration(parts);
    this.#knownTargets = new KnownTargets(parts);
    const { bounds } = settings;
    const waitMs = Math.min(bounds.drainMs, bounds.configurationMs) *
      WATCH_SHARE;
    const source: ObjectSource = {
      list: (kind) => this.#news.list(kind),
      watch: (kind, after) => this.#news.watch(kind, after),
    };
    const follow = { source, log };
    const targetFollower = new Follower({
      ...follow,
      kind: "targets",
      objects: this.#knownTargets,
    });
    const configurationFollower = new Follower({
      ...follow,
      kind: "configuration",
      objects: this.#configuration,
    });
    this.#followers = new Map([
      ["configuration", configurationFollower],
      ["targets", targetFollower],
    ]);
    this.#accounts = buildAccountParts({
      settings,
      store,
      log,
      metrics,
      getSelf: () => this.#buildSelf(),
      findCache: (kind) => this.#followers.get(kind)?.cache,
    });
    this.#news = new NewsSource({
      store: new StoreSource(store, waitMs),
      directory: this.#accounts.directory,
      links: this.#accounts.links,
      selfId: settings.vmId,
      maxAgeMs: waitMs + NEWS_MARGIN_MS,
    });
    this.#readinessState = new ReadinessState({
      log,
      isStopping: () => this.#isStopping,
      isInformed: () =>
        this.#hasJoined && this.#targets.size > 0 &&
        this.#configuration.inForce !== undefined,
      countTargets: () => this.#targets.size,
    });
    this.#callers = new CallerServer({
      targets: this.#targets,
      connections: this.#connections,
      codec: options.requestCodec,
      log,
      metrics,
      placement: {
        vmId: settings.vmId,
        failureDomain: settings.failureDomain,
        regions: settings.regions,
      },
      accounts: this.#accounts.turns,
      getViewAgeMs: () => targetFollower.countAgeMs(performance.now()),
      getConfiguration: () => this.#configuration.inForce,
      waitForConfiguration: (limitMs) =>
        this.#configuration.waitUntilKnown(limitMs),
      isTurningAway: () => this.#readinessState.isTurningAway,
    });
    this.#metricsServer = new PlainServer(() => ({
      status: 200,
      text: metrics.render(),
    }));
    this.#readiness = new PlainServer(() =>
      this.#readinessState.isReady
        ? { status: 200, text: "ready\n" }
        : { status: 503, text: "not ready\n" }
    );
  }

  /** Starts; rejects when an address can't be used. */
  async start(): Promise<void> {
    const { settings, log, metrics } = this.#options;
    for (const follower of this.#followers.values()) {
      this.#startFollower(follower);
    }
    this.#timers.subscribe(
      LOG_FLUSH_MS,
      () => metrics.add("log_lines_dropped", log.writeWaiting()),
    );
    this.#timers.subscribe(
      LAPSE_CHECK_MS,
      (nowMs) => this.#knownTargets.removeLapsed(nowMs),
    );
    this.#ticks = setInterval(() => {
      this.#readinessState.recordTick(TICK_MS);
      this.#timers.runDue(performance.now());
    }, TICK_MS);
    this.#timers.subscribe(
      PROBE_PEERS_MS,
      () => void this.#accounts.group.callSuspected(),
    );
    this.#timers.subscribe(
      EXCHANGE_PEERS_MS,
      () => void this.#accounts.group.callNext(),
    );
    this.#timers.subscribe(
      SHARD_CHECK_MS,
      () => void this.#accounts.shards.check(),
    );
    this.#timers.subscribe(
      ACCOUNT_CLEANUP_MS,
      (nowMs) => this.#accounts.group.removeUnused(nowMs),
    );
    await this.#accounts.links.serve(settings.peers);
    void this.#accounts.group.open().then(() => this.#hasJoined = true);
    await this.#callers.serve(settings.callers);
    await this.#readiness.serve(settings.readiness);
    if (settings.metrics !== undefined) {
      await this.#metricsServer.serve(settings.metrics);
    }
    this.#loadMetrics();
    log.write(EVENTS.GatewayStarted, {
      address: `${settings.callers.host}:${settings.callers.port}`,
      failure_domain: settings.failureDomain,
      process_ms: Math.round(performance.now()),
    });
  }

  /** Stops as planned: no new callers, open requests run to their end. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { log, settings } = this.#options;
    const startedAtMs = performance.now();
    const limitMs = settings.bounds.graceMs - GRACE_MARGIN_MS;
    log.write(EVENTS.GatewayStopping, { open: this.#callers.openRequests });
    void this.#accounts.group.sendLeaving();
    await waitFor(LEAVE_BALANCER_MS);
    this.#callers.stopListening();
    while (
      this.#callers.openRequests > 0 &&
      performance.now() - startedAtMs < limitMs
    ) {
      await waitFor(TICK_MS);
    }
    log.write(EVENTS.GatewayStopped, { cut_off: this.#callers.openRequests });
    await this.close();
  }

  /** Ends at once; open requests are cut off. */
  async close(): Promise<void> {
    clearInterval(this.#ticks);
    clearTimeout(this.#metricsTimer);
    this.#callers.close();
    this.#readiness.close();
    this.#metricsServer.close();
    for (const follower of this.#followers.values()) follower.stop();
    this.#accounts.group.stop();
    this.#accounts.links.close();
    await this.#connections.close();
    await this.#options.store.close();
    this.#options.log.writeWaiting();
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

  #loadMetrics(): void {
    const { metrics } = this.#options;
    this.#metricsTimer = setTimeout(
      () => void metrics.load(),
      LOAD_METRICS_AFTER_MS,
    );
  }

  #startFollower(follower: Follower): void {
    // A follower reports its own failures; anything else is a defect.
    follower.run().catch((error: unknown) => {
      throw error;
    });
  }

  #applyLimits(): void {
    const inForce = this.#configuration.inForce;
    if (inForce !== undefined) {
      this.#callers.setLimits(inForce.configuration.limits);
    }
  }
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
