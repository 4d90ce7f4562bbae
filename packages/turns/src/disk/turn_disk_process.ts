/**
 * Builds the parts that keep turns on one disk and runs them.
 */
import { ClosureReports, serveWhenFree } from "@camphorlock/channel";
import { EVENTS } from "@camphorlock/codes/events";
import { type FactAnswer, FactCopier } from "@camphorlock/facts";
import type { TimerService } from "@camphorlock/scheduler/timers";
import { DiskLinks } from "../client/disk_links.ts";
import { restoreTable } from "../decisions/restore_table.ts";
import { TurnTable } from "../decisions/turn_table.ts";
import type { DiskLog } from "../disk_log.ts";
import {
  createIdentity,
  type DiskIdentity,
  loadIdentity,
  saveIdentity,
} from "../files/disk_identity.ts";
import { type FactLog, openFactLog } from "../files/fact_log.ts";
import { type Recovery, restoreSegments } from "../files/restore_segments.ts";
import { createMissingFolder } from "../files/segment_files.ts";
import { TurnLog } from "../files/turn_log.ts";
import { readClock } from "../files/turn_records.ts";
import type { DiskMessage, DiskResponse } from "../messages.ts";
import type { DiskInfo, LossTolerance } from "../model/turn_disk.ts";
import { DiskMember, type DiskRegistry } from "./disk_member.ts";
import { DiskServer } from "./disk_server.ts";
import { DiskService } from "./disk_service.ts";

const EXPIRY_CHECK_MS = 2_000;
/** Facts that a loss of power may take; few are asked for so soon. */
const SYNC_FACTS_MS = 100;
/** A former process ends at once when it's stopped. */
const ADDRESS_WAIT_MS = 2_000;
const MEMBERSHIP_MS = 150;

/** Settings and dependencies of a disk's process. */
export interface TurnDiskOptions {
  readonly folder: string;
  readonly place: Omit<DiskInfo, "diskId" | "isRetiring">;
  readonly tolerance: LossTolerance;
  /** Whether the whole system starts for the first time, with empty disks. */
  readonly isFirstStart: boolean;
  readonly maxDiskBytes: number;
  readonly maxTableBytes: number;
  readonly registry: DiskRegistry;
  readonly timers: TimerService;
  readonly log: DiskLog;
}

/** The process of one disk. */
export class TurnDiskProcess {
  readonly member: DiskMember;
  readonly service: DiskService;
  readonly #options: TurnDiskOptions;
  readonly #links: DiskLinks;
  readonly #server: DiskServer;
  readonly #files: TurnLog;
  readonly #facts: FactCopier<DiskInfo>;
  /** Absent until the facts of the disk are loaded. */
  #factLog: FactLog | undefined;

  /** Recovers the disk's contents. Rejects when the folder can't be used. */
  static async open(options: TurnDiskOptions): Promise<TurnDiskProcess> {
    const { folder, log } = options;
    const startedAtMs = performance.now();
    const clock = readClock();
    await createMissingFolder(folder);
    const recovery = await restoreSegments(folder, { clock, isSealing: true });
    const table = new TurnTable();
    const orphans = restoreTable(
      table,
      recovery.segments.flatMap(({ number, turns }) =>
        turns.map((turn) => ({ turn, segment: number }))
      ),
      clock.nowMs,
    );
    const damage = [
      ...recovery.damage,
      ...orphans.map((id) => `turn ${id} lacks an ancestor`),
    ];
    const identity = await openIdentity(options, damage);
    log.write(EVENTS.DiskRecovered, {
      disk: identity.diskId,
      complete: identity.isComplete,
      turns: table.size,
      segments: recovery.segments.length,
      discarded_bytes: recovery.discardedBytes,
      damage: damage.slice(0, 10),
      duration_ms: Math.round(performance.now() - startedAtMs),
    });
    const disk = new TurnDiskProcess(options, { identity, table, recovery });
    await disk.#openFacts();
    return disk;
  }

  private constructor(
    options: TurnDiskOptions,
    { identity, table, recovery }: {
      readonly identity: DiskIdentity;
      readonly table: TurnTable;
      readonly recovery: Recovery;
    },
  ) {
    this.#options = options;
    this.#links = new DiskLinks();
    this.#files = new TurnLog({
      folder: options.folder,
      maxBytes: options.maxDiskBytes,
      segments: new Map(
        recovery.segments.map(({ number, bytes }) => [number, bytes]),
      ),
      recordMarkFailure: (detail) =>
        options.log.write(EVENTS.DiskFailed, { detail: `mark: ${detail}` }),
    });
    this.service = new DiskService({
      ...options,
      files: this.#files,
      recordFact: (fact) => this.#factLog?.append(fact),
    }, table);
    this.member = new DiskMember(
      {
        ...options,
        service: this.service,
        caller: this.#links,
        saveIdentity: (saved) => saveIdentity(options.folder, saved),
      },
      identity,
    );
    this.#facts = this.#createFactCopier();
    const { log, place: { host, port } } = options;
    const closures = new ClosureReports((report) =>
      log.write(EVENTS.ConnectionsClosed, { ...report })
    );
    this.#server = new DiskServer(
      (message) => this.#handleMessage(message),
      (reason) => closures.record(reason, `${host}:${port}`),
    );
  }

  /** Listens and joins the other disks; rejects if the address stays in use. */
  async start(): Promise<void> {
    const { place, timers, log } = this.#options;
    await serveWhenFree(() => this.#server.serve(place), {
      limitMs: ADDRESS_WAIT_MS,
      reportWait: (detail) => log.write(EVENTS.AddressInUse, { detail }),
    });
    timers.subscribe(
      EXPIRY_CHECK_MS,
      (nowMs) => void this.service.removeExpired(nowMs),
    );
    timers.subscribe(MEMBERSHIP_MS, () => void this.member.runNext());
    timers.subscribe(MEMBERSHIP_MS, (nowMs) => void this.#facts.runDue(nowMs));
    timers.subscribe(SYNC_FACTS_MS, () => void this.#factLog?.flush());
    void this.member.runNext();
  }

  /** Applies the registered disks, as watched. */
  setDisks(disks: readonly DiskInfo[]): void {
    const { place: { vmId } } = this.#options;
    this.#links.removeUnlisted(disks);
    this.member.setDisks(disks);
    this.#facts.setOthers(disks.filter((disk) => disk.vmId !== vmId));
  }

  close(): void {
    this.#server.close();
    this.#links.close();
    // Every acknowledged turn is durable, so a failure to close loses nothing.
    this.#files.close().catch(() => {});
    void this.#factLog?.close();
  }

  /** Loads the facts that the disk has, and writes further ones there. */
  async #openFacts(): Promise<void> {
    const { folder, log } = this.#options;
    const opened = await openFactLog({
      folder,
      listFacts: () => this.service.listFacts(),
      reportFailure: (detail) =>
        log.write(EVENTS.DiskFailed, { detail: `facts: ${detail}` }),
    });
    this.service.addFacts(opened.facts);
    this.#factLog = opened.log;
  }

  #createFactCopier(): FactCopier<DiskInfo> {
    const { place, log } = this.#options;
    return new FactCopier<DiskInfo>({
      self: place,
      probe: async (disk, timeoutMs) => {
        const hello = { kind: "hello" } as const;
        return await this.#links.call(disk, hello, timeoutMs) !== undefined;
      },
      call: async (disk, message, timeoutMs) => {
        const response = await this.#links.call(disk, message, timeoutMs);
        return response?.answer as FactAnswer | undefined;
      },
      addCopies: (facts) => this.service.addFacts(facts),
      recordCopied: ({ sources, facts }) =>
        log.write(EVENTS.FactsCopied, { sources, facts }),
    });
  }

  async #handleMessage(message: DiskMessage): Promise<DiskResponse> {
    const answer = await this.service.handleMessage(message);
    const { diskId, isComplete } = this.member;
    return { diskId, isComplete, answer };
  }
}

/** Loads or creates the identity; damage makes a disk incomplete. */
async function openIdentity(
  { folder, isFirstStart }: TurnDiskOptions,
  damage: readonly string[],
): Promise<DiskIdentity> {
  const loaded = await loadIdentity(folder);
  if (loaded !== undefined && damage.length === 0) return loaded;
  const identity = loaded === undefined
    ? createIdentity(isFirstStart && damage.length === 0)
    : { ...loaded, isComplete: false, hasPredecessor: true };
  await saveIdentity(folder, identity);
  return identity;
}
