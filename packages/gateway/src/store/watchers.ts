/**
 * The watchers of the kinds of objects that a gateway follows. The
 * configuration and the targets have bounds and are renewed when overdue; the
 * disks aren't.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { GatewayLog } from "../log.ts";
import type { ObjectKind } from "../ports.ts";
import type { ObjectCache } from "./object_cache.ts";
import type { ObjectSource } from "./object_source.ts";
import type { RelayedSource } from "./relayed_source.ts";
import { StoreWatcher, type WatchListener } from "./store_watcher.ts";

const RESTART_DELAY_MS = 500;

const WATCHED_KINDS = [
  "configuration",
  "targets",
  "turnDisks",
] as const satisfies readonly ObjectKind[];

/** The kinds that a gateway follows. */
export type WatchedKind = typeof WATCHED_KINDS[number];

/** The dependencies of the watchers. */
export interface WatchersDependencies {
  readonly log: GatewayLog;
  /** Called at use: the source needs the copies of these watchers itself. */
  readonly getSource: () => RelayedSource;
  readonly listeners: Readonly<Record<WatchedKind, WatchListener>>;
  /** Age at which bounded objects are read at the store. */
  readonly renewalMs: number;
  readonly needsAgeBound: (kind: ObjectKind) => boolean;
}

/** The watchers of one gateway, by kind. */
export class Watchers {
  readonly #byKind: ReadonlyMap<ObjectKind, StoreWatcher>;
  readonly #log: GatewayLog;

  constructor(dependencies: WatchersDependencies) {
    const { getSource, log, listeners, renewalMs } = dependencies;
    this.#log = log;
    const source: ObjectSource = {
      list: (kind, minRevision) => getSource().list(kind, minRevision),
      watch: (kind, afterRevision) => getSource().watch(kind, afterRevision),
    };
    const createBounded = (kind: WatchedKind) =>
      new StoreWatcher({
        source,
        log,
        kind,
        objects: listeners[kind],
        isAgeBound: dependencies.needsAgeBound(kind),
        renewal: {
          afterMs: renewalMs,
          readList: () => getSource().renew(kind),
        },
      });
    this.#byKind = new Map<ObjectKind, StoreWatcher>([
      ["configuration", createBounded("configuration")],
      ["targets", createBounded("targets")],
      [
        "turnDisks",
        new StoreWatcher({
          source,
          log,
          kind: "turnDisks",
          objects: listeners.turnDisks,
        }),
      ],
    ]);
  }

  /** Starts to watch every kind. */
  startAll(): void {
    for (const kind of WATCHED_KINDS) this.#start(kind);
  }

  #start(kind: WatchedKind): void {
    // A watcher handles failures of the store; any other error is a defect,
    // after which the gateway must not keep a state that nothing updates.
    this.#byKind.get(kind)?.run().catch((error: unknown) => {
      this.#log.write(EVENTS.UnexpectedError, { kind, detail: String(error) });
      setTimeout(() => this.#start(kind), RESTART_DELAY_MS);
    });
  }

  /** Reads objects at the store that weren't confirmed in time. */
  renewOverdue(nowMs: number): void {
    for (const watcher of this.#byKind.values()) {
      void watcher.renewOverdue(nowMs);
    }
  }

  stop(): void {
    for (const watcher of this.#byKind.values()) watcher.stop();
  }

  /** Finds the copy of a kind, which other gateways watch here. */
  findCache(kind: ObjectKind): ObjectCache | undefined {
    return this.#byKind.get(kind)?.cache;
  }

  /** Time since the objects of a kind were last confirmed to be current. */
  computeAgeMs(kind: WatchedKind): number {
    return this.#byKind.get(kind)?.computeAgeMs() ?? Number.POSITIVE_INFINITY;
  }
}
