/**
 * State that the gateway watches in the store: the configuration in force,
 * which never returns to an older version within one process, and the targets.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { RouteTable } from "../decisions/route_table.ts";
import type { TargetChange, TargetTable } from "../decisions/target_table.ts";
import type { GatewayLog } from "../log.ts";
import type { RoutingConfiguration, Service } from "../model/routing.ts";
import type { StoreCodec, StoredChange, StoredObject } from "../ports.ts";
import type { WatchListener, WatchOrigin } from "./store_watcher.ts";

/**
 * Entries that lapsed while the store was unreachable are registered again
 * within two seconds of its return if their targets are alive.
 */
const LAPSED_GRACE_MS = 2_000;

/** A configuration and the table that looks up its routes. */
export interface ConfigurationInForce {
  readonly configuration: RoutingConfiguration;
  readonly routes: RouteTable;
}

/** The dependencies of the watched state. */
export interface WatchedStateDependencies {
  readonly codec: StoreCodec;
  readonly log: GatewayLog;
  readonly targets: TargetTable;
  /** Called when a newer configuration comes into force. */
  readonly onConfiguration: (inForce: ConfigurationInForce) => void;
  /** Called when a target was removed and takes no more work. */
  readonly onTargetRemoved: (targetId: string) => void;
}

/** The configuration in force. */
export class WatchedConfiguration implements WatchListener {
  readonly #dependencies: WatchedStateDependencies;
  #inForce: ConfigurationInForce | undefined;
  #isAbsent = false;
  /** Resolvers of the calls that wait for the first configuration. */
  readonly #resolvers = new Set<() => void>();

  constructor(dependencies: WatchedStateDependencies) {
    this.#dependencies = dependencies;
  }

  get inForce(): ConfigurationInForce | undefined {
    return this.#inForce;
  }

  /** Whether the configuration is known, or that there is none yet. */
  get isKnown(): boolean {
    return this.#inForce !== undefined || this.#isAbsent;
  }

  /** Finds a service of the configuration in force. */
  findService(name: string): Service | undefined {
    return this.#inForce?.configuration.services.get(name);
  }

  /** Waits for the first configuration, for `limitMs` at most. */
  async waitForFirst(
    limitMs: number,
  ): Promise<ConfigurationInForce | undefined> {
    if (this.#inForce !== undefined) return this.#inForce;
    await new Promise<void>((resolve) => {
      this.#resolvers.add(resolve);
      setTimeout(resolve, limitMs);
    });
    return this.#inForce;
  }

  setAll(objects: readonly StoredObject[], origin: WatchOrigin): void {
    this.#isAbsent = objects.length === 0;
    for (const object of objects) this.#apply(object, origin);
  }

  applyChange({ object, isRemoved }: StoredChange, origin: WatchOrigin): void {
    if (!isRemoved) this.#apply(object, origin);
  }

  #apply(object: StoredObject, { source, ageMs }: WatchOrigin): void {
    const { codec, log, onConfiguration } = this.#dependencies;
    this.#isAbsent = false;
    const decoded = codec.decodeConfiguration(object);
    if (decoded.isErr()) {
      log.write(EVENTS.ConfigurationUnusable, {
        object: object.name,
        revision: object.revision,
        detail: decoded.error,
      });
      return;
    }
    const configuration = decoded.value;
    const before = this.#inForce?.configuration.version ?? -1;
    if (configuration.version <= before) return;
    this.#inForce = { configuration, routes: new RouteTable(configuration) };
    log.write(EVENTS.ConfigurationInForce, {
      version: configuration.version,
      before,
      revision: object.revision,
      routes: configuration.routes.length,
      source,
      age_ms: ageMs,
    });
    onConfiguration(this.#inForce);
    for (const resolve of this.#resolvers) resolve();
    this.#resolvers.clear();
  }
}

/** The registered targets. */
export class WatchedTargets implements WatchListener {
  readonly #dependencies: WatchedStateDependencies;
  /** Until this time, an entry may be missing only due to a store outage. */
  #graceUntilMs = Number.NEGATIVE_INFINITY;

  constructor(dependencies: WatchedStateDependencies) {
    this.#dependencies = dependencies;
  }

  setAll(
    objects: readonly StoredObject[],
    { wasUnreachable }: WatchOrigin,
  ): void {
    const nowMs = performance.now();
    if (wasUnreachable) this.#graceUntilMs = nowMs + LAPSED_GRACE_MS;
    const listed = new Set<string>();
    for (const object of objects) {
      listed.add(object.name);
      this.#set(object);
    }
    for (const id of this.#dependencies.targets.listIds()) {
      if (!listed.has(id)) this.#remove(id, nowMs);
    }
  }

  applyChange({ object, isRemoved }: StoredChange): void {
    if (isRemoved) this.#remove(object.name, performance.now());
    else this.#set(object);
  }

  /** Removes lapsed entries that weren't registered again in time. */
  removeExpired(nowMs: number): void {
    const changes = this.#dependencies.targets.removeExpired(nowMs);
    for (const change of changes) this.#handleChange(change);
  }

  #set(object: StoredObject): void {
    const decoded = this.#dependencies.codec.decodeTarget(object);
    if (decoded.isErr()) {
      this.#dependencies.log.write(EVENTS.TargetUnreadable, {
        target: object.name,
        revision: object.revision,
        detail: decoded.error,
      });
      // The target's previous entry is no longer valid either.
      this.#handleChange(this.#dependencies.targets.remove(object.name));
      return;
    }
    this.#handleChange(this.#dependencies.targets.set(decoded.value));
  }

  #remove(id: string, nowMs: number): void {
    const isInGracePeriod = nowMs < this.#graceUntilMs;
    const usableUntilMs = isInGracePeriod ? this.#graceUntilMs : undefined;
    this.#handleChange(this.#dependencies.targets.remove(id, usableUntilMs));
  }

  #handleChange(changed: TargetChange | undefined): void {
    if (changed === undefined) return;
    const { target, change } = changed;
    this.#dependencies.log.write(EVENTS.TargetChanged, {
      target: target.id,
      service: target.service,
      state: target.state,
      change,
    });
    if (change === "removed") this.#dependencies.onTargetRemoved(target.id);
  }
}
