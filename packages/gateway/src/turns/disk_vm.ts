/**
 * Builds the process on a VM with a disk: it keeps turns, and empties its disk
 * when it's asked to.
 */
import { setTimeout as waitFor } from "node:timers/promises";
import { EVENTS } from "@camphorlock/codes/events";
import { TimerService } from "@camphorlock/scheduler/timers";
import { type TurnDiskOptions, TurnDiskProcess } from "@camphorlock/turns";
import type { GatewayLog } from "../log.ts";
import type { ObjectKind, ObjectStore } from "../ports.ts";
import {
  type RetirementCodec,
  RetirementReporter,
} from "../retirement/retirement_reporter.ts";
import { CountedStore, LOG_STORE_CALLS_MS } from "../store/counted_store.ts";
import { StoreSource } from "../store/object_source.ts";
import { StoreWatcher } from "../store/store_watcher.ts";
import type { WatchListener } from "../store/store_watcher.ts";
import { StoredDiskRegistry } from "./stored_disk_registry.ts";
import { WatchedDisks } from "./watched_disks.ts";

const TICK_MS = 50;
const LOG_FLUSH_MS = 200;
/** Pause before a disk that can't be used is opened again. */
const OPEN_RETRY_MS = 500;
/** A VM must be emptied within seconds; a silent watch can last this long. */
const RETIREMENT_WATCH_MS = 3_000;
/** The disks of an installation change rarely. */
const DISK_WATCH_MS = 6_000;

/** Settings and dependencies of the process. */
export interface DiskVmOptions {
  readonly vmId: string;
  readonly store: ObjectStore;
  readonly log: GatewayLog;
  readonly retirements: RetirementCodec;
  /** Undefined when the VM has no data folder. */
  readonly disk:
    | Omit<TurnDiskOptions, "registry" | "timers" | "log">
    | undefined;
}

/** The process of one VM with a disk. */
export class DiskVm {
  readonly #options: DiskVmOptions;
  readonly #store: CountedStore;
  readonly #timers = new TimerService();
  readonly #registry: StoredDiskRegistry;
  readonly #watchers: StoreWatcher[] = [];
  #disk: TurnDiskProcess | undefined;
  #tickTimer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(options: DiskVmOptions) {
    this.#options = options;
    this.#store = new CountedStore(options.store);
    this.#registry = new StoredDiskRegistry(this.#store);
  }

  /** Runs until the process ends; a disk that can't be used is retried. */
  async run(): Promise<void> {
    const { log, disk } = this.#options;
    this.#timers.subscribe(LOG_FLUSH_MS, () => log.flush());
    this.#timers.subscribe(
      LOG_STORE_CALLS_MS,
      () => this.#store.logCounts(log),
    );
    this.#tickTimer = setInterval(
      () => this.#timers.runDue(performance.now()),
      TICK_MS,
    );
    if (disk !== undefined) await this.#openDisk(disk);
    if (this.#isClosed) return;
    await Promise.all([
      this.#watch("retirements", this.#createReporter()),
      this.#watch(
        "turnDisks",
        new WatchedDisks((disks) => this.#disk?.setDisks(disks)),
      ),
    ]);
  }

  /** Stops at once; what was acknowledged is durable. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#tickTimer);
    for (const watcher of this.#watchers) watcher.stop();
    this.#disk?.close();
    this.#options.log.flush();
  }

  /** Opens the disk, as often as it takes: a restart wouldn't mend it either. */
  async #openDisk(
    disk: NonNullable<DiskVmOptions["disk"]>,
  ): Promise<void> {
    const { log } = this.#options;
    let reported: string | undefined;
    while (!this.#isClosed) {
      try {
        this.#disk = await TurnDiskProcess.open({
          ...disk,
          registry: this.#registry,
          timers: this.#timers,
          log,
        });
        return await this.#disk.start();
      } catch (error) {
        const detail = `the disk can't be used: ${String(error)}`;
        if (detail !== reported) log.write(EVENTS.DiskFailed, { detail });
        reported = detail;
        this.#disk?.close();
        this.#disk = undefined;
        await waitFor(OPEN_RETRY_MS);
      }
    }
  }

  #createReporter(): RetirementReporter {
    const { vmId, log, retirements } = this.#options;
    return new RetirementReporter({
      vmId,
      store: this.#store,
      log,
      codec: retirements,
      disk: this.#disk?.member,
      listDisks: () => this.#registry.list(),
    });
  }

  #watch(kind: ObjectKind, objects: WatchListener): Promise<void> {
    const { log } = this.#options;
    const waitMs = kind === "turnDisks" ? DISK_WATCH_MS : RETIREMENT_WATCH_MS;
    const source = new StoreSource(this.#store, {
      getWaitMs: () => waitMs,
      needsAgeBound: () => false,
    });
    const watcher = new StoreWatcher({ source, log, kind, objects });
    this.#watchers.push(watcher);
    return watcher.run();
  }
}
