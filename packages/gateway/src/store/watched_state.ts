/**
 * State that the gateway watches in the store: the configuration in force,
 * which never returns to an older version within one process, and the targets.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { checkNever } from "@camphorlock/types";
import { RouteTable } from "../decisions/route_table.ts";
import type { TargetChange, TargetTable } from "../decisions/target_table.ts";
import type { GatewayLog } from "../log.ts";
import type { RoutingConfiguration, Service } from "../model/routing.ts";
import type { StoreCodec, StoredChange, StoredObject } from "../ports.ts";
import { TenantDirectory } from "../tenants/tenant_directory.ts";
import { Stopwatch } from "./stopwatch.ts";
import type { WatchListener, WatchOrigin } from "./store_watcher.ts";

/**
 * Entries that lapsed while the store was unreachable are registered again
 * within two seconds of its return if their targets are alive.
 */
const LAPSED_GRACE_MS = 2_000;
/** Problems of one configuration that its log line tells. */
const MAX_LOGGED_PROBLEMS = 10;

/** A configuration and the table that looks up its routes. */
export interface ConfigurationInForce {
  readonly configuration: RoutingConfiguration;
  readonly routes: RouteTable;
  /** Undefined where callers need no keys. */
  readonly tenants: TenantDirectory | undefined;
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

/** The dependencies of the watched configuration. */
export interface WatchedConfigurationDependencies
  extends WatchedStateDependencies {
  /** Upper bound on the time since the watched objects were current. */
  readonly getAgeMs: () => number;
}

/**
 * The configuration in force. Routes follow the configuration's version. Keys
 * follow the store's revision, also that of a configuration which can't be used
 * otherwise: a malformed route must not keep a removed key in force.
 */
export class WatchedConfiguration implements WatchListener {
  readonly #dependencies: WatchedConfigurationDependencies;
  #inForce: ConfigurationInForce | undefined;
  #isAbsent = false;
  /** Revision of the object that the keys are from. */
  #keysRevision = Number.NEGATIVE_INFINITY;
  /** Runs since the keys in force were current, if the latest can't be read. */
  #keysUnread: Stopwatch | undefined;
  /** Resolvers of the calls that wait for the first configuration. */
  readonly #resolvers = new Set<() => void>();

  constructor(dependencies: WatchedConfigurationDependencies) {
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

  /** Upper bound on the time since the keys in force were current. */
  computeKeysAgeMs(): number {
    return Math.max(
      this.#dependencies.getAgeMs(),
      this.#keysUnread?.elapsedMs ?? 0,
    );
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
      return this.#applyTenantsAlone(object);
    }
    const configuration = decoded.value;
    const before = this.#inForce?.configuration.version ?? -1;
    if (configuration.version <= before) {
      return this.#applyTenants(object, configuration);
    }
    this.#inForce = {
      configuration,
      routes: new RouteTable(configuration),
      tenants: this.#inForce?.tenants,
    };
    this.#applyTenants(object, configuration);
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

  /** Applies the keys of a configuration that can't be used otherwise. */
  #applyTenantsAlone(object: StoredObject): void {
    const read = this.#dependencies.codec.decodeTenants(object);
    switch (read.kind) {
      case "read":
        return this.#applyTenants(object, read);
      case "unreadable":
        // The former copy was current at its last confirmation.
        this.#keysUnread ??= new Stopwatch(this.#dependencies.getAgeMs());
        return;
      case "other_object":
        return;
      default:
        return checkNever(read);
    }
  }

  #applyTenants(
    { name, revision }: StoredObject,
    { tenants: entries, problems = [] }: Pick<
      RoutingConfiguration,
      "tenants" | "problems"
    >,
  ): void {
    if (this.#inForce === undefined || revision <= this.#keysRevision) return;
    this.#keysRevision = revision;
    this.#keysUnread = undefined;
    const tenants = entries === undefined
      ? undefined
      : new TenantDirectory(entries);
    this.#inForce = { ...this.#inForce, tenants };
    const repeated = tenants?.repeatedKeys ?? 0;
    const all = repeated === 0 ? problems : [
      ...problems,
      `${repeated} keys are listed again, and belong to the first tenant`,
    ];
    if (all.length === 0) return;
    this.#dependencies.log.write(EVENTS.TenantsUnusable, {
      object: name,
      revision,
      problems: all.length,
      detail: all.slice(0, MAX_LOGGED_PROBLEMS).join("; "),
    });
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
