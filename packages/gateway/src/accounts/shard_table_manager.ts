/**
 * One gateway's part in the shard table: caches the table, and maintains it if
 * the gateway is the first by rank.
 *
 * The table is an object in the store. Gateways send each other updates of it,
 * so that the number of store calls doesn't grow with the number of gateways.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { FirstAllowances } from "../decisions/first_allowances.ts";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import {
  buildShardTable,
  decodeShardTable,
  encodeShardTable,
  getShard,
  type HolderCandidate,
  setRecorded,
  type ShardHolder,
  type ShardTable,
  updateHolder,
  updateLostHolders,
} from "../decisions/shard_table.ts";
import type { GatewayLog } from "../log.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { ShardTableUpdate } from "../peers/peer_messages.ts";
import { canReceive } from "../peers/protocol_version.ts";
import type { ObjectStore, StoredObject } from "../ports.ts";
import { FirstAllowanceGranter } from "./first_allowance_granter.ts";
import type { GrantRecords } from "./grant_records.ts";
import { HolderLosses } from "./holder_losses.ts";

const TABLE_NAME = "main";
/** Interval between calls of `check`. */
export const SHARD_CHECK_INTERVAL_MS = 500;
/** Gateways that start together have discovered each other by this time. */
const GROUP_FORMATION_MS = 1_000;
/** Longest wait of a new table for the disks that record grants. */
const DISKS_WAIT_MS = 1_500;
/** Age at which the first gateway by rank confirms the table. */
const FIRST_CONFIRM_AGE_MS = 4_000;
/** Age at which any other gateway confirms it, if no update arrives. */
const OTHERS_CONFIRM_AGE_MS = 15_000;
/** Time after the start until lost processes are replaced. */
const REPLACE_AFTER_MS = 2_500;
/** Longest wait for another gateway to take shards over. */
const TAKEOVER_TIMEOUT_MS = 600;
const MAX_WRITES = 3;
const MAX_LOGGED_AGE_MS = 60_000;

/** Dependencies of the shard table manager. */
export interface ShardTableManagerDependencies {
  readonly store: ObjectStore;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly log: GatewayLog;
  readonly self: PeerInfo;
  /** Where granted parts of first allowances are recorded. */
  readonly grants: GrantRecords;
}

interface CachedTable {
  readonly revision: number;
  readonly table: ShardTable;
}

/** The shard table manager of one gateway. */
export class ShardTableManager {
  readonly granter: FirstAllowanceGranter;
  readonly #dependencies: ShardTableManagerDependencies;
  readonly #firstAllowances: FirstAllowances;
  readonly #losses: HolderLosses;
  #cached: CachedTable | undefined;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #joinedAtMs: number | undefined;
  #isChecking = false;

  constructor(dependencies: ShardTableManagerDependencies) {
    this.#dependencies = dependencies;
    this.#firstAllowances = new FirstAllowances(dependencies.self.bootId);
    this.#losses = new HolderLosses(dependencies);
    this.granter = new FirstAllowanceGranter({
      ...dependencies,
      allowances: this.#firstAllowances,
      records: dependencies.grants,
      describeTable: () => ({
        revision: this.revision,
        age_ms: Math.round(Math.min(this.#computeAgeMs(), MAX_LOGGED_AGE_MS)),
      }),
    });
  }

  /** Starts maintenance of the table once the other gateways are discovered. */
  start(): void {
    this.#joinedAtMs = performance.now();
  }

  /** Finds the process that grants a program's first allowance. */
  findHolder(programId: string): ShardHolder | undefined {
    return this.#cached?.table[getShard(programId)];
  }

  /** Builds an update, with the table if the other gateway's is older. */
  buildUpdate(otherRevision: number): ShardTableUpdate | undefined {
    if (this.#cached === undefined) return undefined;
    const { revision, table } = this.#cached;
    const ageMs = this.#computeAgeMs();
    return otherRevision >= revision
      ? { revision, ageMs }
      : { revision, ageMs, table: encodeShardTable(table) };
  }

  get revision(): number {
    return this.#cached?.revision ?? 0;
  }

  /** Applies an update from another gateway. */
  applyUpdate({ revision, ageMs, table }: ShardTableUpdate): void {
    if (revision > this.revision && table !== undefined) {
      this.#applyTable(revision, table);
    }
    if (revision === this.revision) this.#confirm(ageMs);
  }

  /** Confirms a stale table; the first by rank also creates and updates it. */
  async check(): Promise<void> {
    const joinedAtMs = this.#joinedAtMs;
    const nowMs = performance.now();
    if (this.#isChecking || joinedAtMs === undefined) return;
    if (nowMs - joinedAtMs < GROUP_FORMATION_MS) return;
    const isFirst = this.#dependencies.directory.isTopRanked("shards");
    this.#isChecking = true;
    const limitMs = isFirst ? FIRST_CONFIRM_AGE_MS : OTHERS_CONFIRM_AGE_MS;
    if (this.#computeAgeMs() > limitMs) await this.#load(isFirst);
    if (nowMs - joinedAtMs > REPLACE_AFTER_MS) {
      if (isFirst) await this.#updateLost();
      await this.#updateRecorded();
    }
    this.#isChecking = false;
  }

  /** Transfers this gateway's shards to another in a graceful shutdown. */
  async release(): Promise<void> {
    const granted = this.#firstAllowances.release();
    const shards = this.#firstAllowances.heldShards;
    if (shards === 0) return;
    const { directory, links, self, log } = this.#dependencies;
    const preferred = directory.chooseHomes(`shards of ${self.vmId}`);
    const peer = [...preferred, ...directory.listAvailable()]
      .find(({ vmId }) => vmId !== self.vmId);
    const response = peer === undefined ? undefined : await links
      .call(peer, { kind: "take_shards", given: granted }, TAKEOVER_TIMEOUT_MS);
    log.write(EVENTS.ShardsReleased, {
      shards,
      programs: granted.length,
      peer: peer?.vmId ?? "none",
      is_taken: response?.isTaken === true,
    });
  }

  /** Takes over the shards of a gateway that has stopped granting. */
  async acquire(from: PeerInfo, granted: readonly string[]): Promise<boolean> {
    // Must precede the write, which may take effect without a response.
    this.#firstAllowances.addGranted(granted, performance.now());
    return await this.#updateTable((table) => {
      if (!table.some(({ bootId }) => bootId === from.bootId)) return undefined;
      const { self } = this.#dependencies;
      return updateHolder(table, from.bootId, buildCandidate(self));
    });
  }

  removeExpired(nowMs: number): void {
    this.#firstAllowances.removeExpired(nowMs);
  }

  async #updateLost(): Promise<void> {
    const holders = this.#cached?.table ?? [];
    const losses = await this.#losses.find(holders);
    if (losses.size === 0) return;
    const { directory } = this.#dependencies;
    await this.#updateTable((table) =>
      updateLostHolders(
        table,
        directory.listAvailable().map(buildCandidate),
        ({ bootId }) => losses.get(bootId),
      )
    );
  }

  /** Marks shards of an older build's table once all grants are recorded. */
  async #updateRecorded(): Promise<void> {
    if (!await this.granter.recordEarlier()) return;
    await this.#updateTable((table) =>
      setRecorded(
        table,
        this.#dependencies.self.bootId,
        (shard) => this.#firstAllowances.isRecording(shard),
      )
    );
  }

  async #load(isFirst: boolean): Promise<void> {
    const { store, directory, grants } = this.#dependencies;
    const joinedAtMs = this.#joinedAtMs ?? Number.NEGATIVE_INFINITY;
    const startedAtMs = performance.now();
    const found = await store.find("accountShards", TABLE_NAME);
    if (found.isOk()) return this.#applyStored(found.value, startedAtMs);
    if (found.error.kind !== "absent" || !isFirst) return;
    if (!grants.canSave && startedAtMs - joinedAtMs < DISKS_WAIT_MS) return;
    const table = buildShardTable(
      directory.listAvailable().map((peer) => ({
        ...buildCandidate(peer),
        recordsGrants: grants.canSave && buildCandidate(peer).recordsGrants,
      })),
    );
    const value = encodeShardTable(table);
    const created = await store
      .create("accountShards", { name: TABLE_NAME, value });
    if (created.isErr()) return;
    this.#applyStored({ ...created.value, value }, startedAtMs);
    this.#publishTable();
  }

  /** Changes the table by a conditional write; false if it wasn't changed. */
  async #updateTable(
    change: (table: ShardTable) => ShardTable | undefined,
  ): Promise<boolean> {
    for (let writes = 0; writes < MAX_WRITES; writes += 1) {
      if (this.#cached === undefined) await this.#load(false);
      if (this.#cached === undefined) return false;
      const { revision, table } = this.#cached;
      const changed = change(table);
      if (changed === undefined) return false;
      const startedAtMs = performance.now();
      const value = encodeShardTable(changed);
      const written = await this.#dependencies.store
        .update("accountShards", { name: TABLE_NAME, value, revision });
      if (written.isOk()) {
        this.#applyStored({ ...written.value, value }, startedAtMs);
        this.#publishTable();
        return true;
      }
      if (written.error.kind !== "conflict") return false;
      const { current } = written.error;
      if (current === undefined) await this.#load(false);
      else this.#applyStored(current, startedAtMs);
    }
    return false;
  }

  #applyStored({ revision, value }: StoredObject, startedAtMs: number): void {
    if (revision > this.revision) this.#applyTable(revision, value);
    if (revision === this.revision) {
      this.#confirm(performance.now() - startedAtMs);
    }
  }

  #applyTable(revision: number, value: unknown): void {
    const { log } = this.#dependencies;
    const table = decodeShardTable(value);
    if (table.isErr()) {
      log.write(EVENTS.ShardsUnreadable, { revision, detail: table.error });
      return;
    }
    this.#cached = { revision, table: table.value };
    this.#firstAllowances.applyTable(table.value, performance.now());
    log.write(EVENTS.ShardsChanged, {
      revision,
      held: this.#firstAllowances.heldShards,
      doubtful: table.value.filter(({ isDoubtful }) => isDoubtful).length,
    });
  }

  #confirm(ageMs: number): void {
    const nowMs = performance.now();
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, nowMs - ageMs);
    this.#firstAllowances.confirmTable(nowMs - ageMs, Date.now() - ageMs);
  }

  #computeAgeMs(): number {
    return performance.now() - this.#confirmedAtMs;
  }

  /** Sends the table to all gateways, since homes call the new holders. */
  #publishTable(): void {
    const shards = this.buildUpdate(0);
    if (shards === undefined) return;
    const { directory, links, self } = this.#dependencies;
    for (const peer of directory.listAvailable()) {
      if (peer.vmId === self.vmId) continue;
      void links.call(peer, { kind: "share_shards", shards });
    }
  }
}

function buildCandidate(peer: PeerInfo): HolderCandidate {
  const { vmId, bootId } = peer;
  return { vmId, bootId, recordsGrants: canReceive(peer, "grant_parts") };
}
