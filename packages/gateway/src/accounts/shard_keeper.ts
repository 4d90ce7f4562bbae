/**
 * One gateway's part in the table of shards: follows it, gives out the first
 * allowances of the shards that it holds, and keeps the table when it's the
 * gateway to do so.
 *
 * The table is an object of the store. Gateways tell each other of it, so that
 * only a few calls to the store are made for it, whatever their number.
 */
import { EVENTS } from "@camphorlock/codes/events";
import {
  FirstAllowances,
  type FirstRefusal,
} from "../decisions/first_allowances.ts";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import {
  buildShardTable,
  decodeShardTable,
  encodeShardTable,
  getShard,
  type ShardHolder,
  type ShardTable,
  updateEnded,
  updateHolder,
} from "../decisions/shard_table.ts";
import type { GatewayLog } from "../log.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { ShardNews } from "../peers/peer_messages.ts";
import type { ObjectStore, StoredObject } from "../ports.ts";

const TABLE_NAME = "main";
/** How often the work below is looked at. */
export const SHARD_CHECK_MS = 500;
/** Gateways that start together know each other after this time. */
const FORM_AFTER_MS = 1_000;
/** Age at which the first gateway by rank confirms the table. */
const FIRST_CONFIRMS_MS = 4_000;
/** Age at which any other confirms it, when the news doesn't arrive. */
const OTHERS_CONFIRM_MS = 15_000;
/** Silence after which a process counts as ended for its shards. */
const ENDED_AFTER_MS = 30_000;
/** Time after the start until ended processes are replaced. */
const REPLACE_AFTER_MS = 10_000;
/** Longest wait for a first allowance; several times the way. */
const GIVE_LIMIT_MS = 100;
/** Longest wait for another gateway to take shards over. */
const TAKE_LIMIT_MS = 600;
const MAX_WRITES = 3;

/** What the keeper works with. */
export interface ShardKeeperParts {
  readonly store: ObjectStore;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly log: GatewayLog;
  readonly self: PeerInfo;
}

interface KnownTable {
  readonly revision: number;
  readonly table: ShardTable;
}

/** The keeper of one gateway. */
export class ShardKeeper {
  readonly #parts: ShardKeeperParts;
  readonly #first: FirstAllowances;
  #known: KnownTable | undefined;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #joinedAtMs: number | undefined;
  #isBusy = false;

  constructor(parts: ShardKeeperParts) {
    this.#parts = parts;
    this.#first = new FirstAllowances(parts.self.bootId);
  }

  /** Begins to read and keep the table: the other gateways are met. */
  start(): void {
    this.#joinedAtMs = performance.now();
  }

  /** Finds the process that gives a program's first allowance. */
  findHolder(programId: string): ShardHolder | undefined {
    return this.#known?.table[getShard(programId)];
  }

  /** Asks the holder of a program's shard for its first allowance. */
  async callHolder(programId: string): Promise<boolean> {
    const holder = this.findHolder(programId);
    if (holder === undefined) return false;
    const { self, directory, links } = this.#parts;
    if (holder.bootId === self.bootId) {
      return this.grantFirst(programId) === undefined;
    }
    const peer = directory.findLive(holder.vmId);
    if (peer === undefined) return false;
    const message = { kind: "grant_first", programId } as const;
    const answer = await links.call(peer, message, GIVE_LIMIT_MS);
    return answer?.isGiven === true;
  }

  /** Gives a first allowance, or tells why not. */
  grantFirst(programId: string): FirstRefusal | undefined {
    const refusal = this.#first
      .grant(programId, performance.now(), Date.now());
    this.#parts.log.write(EVENTS.FirstAllowanceDecided, {
      program: programId,
      outcome: refusal ?? "given",
      shard: getShard(programId),
      revision: this.#known?.revision ?? 0,
      age_ms: Math.round(Math.min(this.#countAgeMs(), ENDED_AFTER_MS * 2)),
    });
    return refusal;
  }

  /** Tells of the table, whole if the other gateway has another one. */
  buildNews(otherRevision: number): ShardNews | undefined {
    if (this.#known === undefined) return undefined;
    const { revision, table } = this.#known;
    const ageMs = this.#countAgeMs();
    return otherRevision >= revision
      ? { revision, ageMs }
      : { revision, ageMs, table: encodeShardTable(table) };
  }

  get revision(): number {
    return this.#known?.revision ?? 0;
  }

  /** Takes in what another gateway knows. */
  applyNews({ revision, ageMs, table }: ShardNews): void {
    if (revision > this.revision && table !== undefined) {
      this.#applyTable(revision, table);
    }
    if (revision === this.revision) this.#confirm(ageMs);
  }

  /** Looks after the table: reads it, and keeps it as the first by rank. */
  async check(): Promise<void> {
    const joinedAtMs = this.#joinedAtMs;
    const nowMs = performance.now();
    if (this.#isBusy || joinedAtMs === undefined) return;
    if (nowMs - joinedAtMs < FORM_AFTER_MS) return;
    const isFirst = this.#parts.directory.isFirst("shards");
    this.#isBusy = true;
    const limitMs = isFirst ? FIRST_CONFIRMS_MS : OTHERS_CONFIRM_MS;
    if (this.#countAgeMs() > limitMs) await this.#load(isFirst);
    if (isFirst && nowMs - joinedAtMs > REPLACE_AFTER_MS) {
      await this.#updateEnded();
    }
    this.#isBusy = false;
  }

  /** Gives this gateway's shards to another one before a planned stop. */
  async release(): Promise<void> {
    const given = this.#first.release();
    const shards = this.#first.heldShards;
    if (shards === 0) return;
    const { directory, links, self, log } = this.#parts;
    const near = directory.chooseHomes(`shards of ${self.vmId}`);
    const peer = [...near, ...directory.listStaying()]
      .find(({ vmId }) => vmId !== self.vmId);
    const answer = peer === undefined ? undefined : await links
      .call(peer, { kind: "take_shards", given }, TAKE_LIMIT_MS);
    log.write(EVENTS.ShardsReleased, {
      shards,
      programs: given.length,
      peer: peer?.vmId ?? "none",
      is_taken: answer?.isTaken === true,
    });
  }

  /** Takes over the shards of a gateway that has stopped giving. */
  async take(from: PeerInfo, given: readonly string[]): Promise<boolean> {
    // Before the table names this gateway: the store may do so late.
    this.#first.addGiven(given, performance.now());
    return await this.#updateTable((table) => {
      if (!table.some(({ bootId }) => bootId === from.bootId)) return undefined;
      return updateHolder(table, from.bootId, this.#parts.self);
    });
  }

  removeOld(nowMs: number): void {
    this.#first.removeOld(nowMs);
  }

  async #updateEnded(): Promise<void> {
    const { directory } = this.#parts;
    const silentSinceMs = performance.now() - ENDED_AFTER_MS;
    await this.#updateTable((table) =>
      updateEnded(
        table,
        directory.listStaying(),
        (holder) => directory.hasEnded(holder, silentSinceMs),
      )
    );
  }

  async #load(isFirst: boolean): Promise<void> {
    const { store, directory } = this.#parts;
    const startedAtMs = performance.now();
    const found = await store.find("accountShards", TABLE_NAME);
    if (found.isOk()) return this.#applyStored(found.value, startedAtMs);
    if (found.error.kind !== "absent" || !isFirst) return;
    const table = buildShardTable(directory.listStaying());
    const value = encodeShardTable(table);
    const created = await store
      .create("accountShards", { name: TABLE_NAME, value });
    if (created.isErr()) return;
    this.#applyStored({ ...created.value, value }, startedAtMs);
    this.#sendTable();
  }

  /** Changes the table by a conditional write; false when it's not changed. */
  async #updateTable(
    change: (table: ShardTable) => ShardTable | undefined,
  ): Promise<boolean> {
    for (let writes = 0; writes < MAX_WRITES; writes += 1) {
      if (this.#known === undefined) await this.#load(false);
      if (this.#known === undefined) return false;
      const { revision, table } = this.#known;
      const changed = change(table);
      if (changed === undefined) return false;
      const startedAtMs = performance.now();
      const value = encodeShardTable(changed);
      const written = await this.#parts.store
        .update("accountShards", { name: TABLE_NAME, value, revision });
      if (written.isOk()) {
        this.#applyStored({ ...written.value, value }, startedAtMs);
        this.#sendTable();
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
    const { log } = this.#parts;
    const table = decodeShardTable(value);
    if (table.isErr()) {
      log.write(EVENTS.ShardsUnreadable, { revision, detail: table.error });
      return;
    }
    this.#known = { revision, table: table.value };
    this.#first.applyTable(table.value, performance.now());
    log.write(EVENTS.ShardsChanged, {
      revision,
      held: this.#first.heldShards,
      doubtful: table.value.filter(({ isDoubtful }) => isDoubtful).length,
    });
  }

  #confirm(ageMs: number): void {
    const nowMs = performance.now();
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, nowMs - ageMs);
    this.#first.confirmTable(nowMs - ageMs, Date.now() - ageMs);
  }

  #countAgeMs(): number {
    return performance.now() - this.#confirmedAtMs;
  }

  /** Tells all gateways of a change, since homes ask the new holders. */
  #sendTable(): void {
    const shards = this.buildNews(0);
    if (shards === undefined) return;
    const { directory, links, self } = this.#parts;
    for (const peer of directory.listStaying()) {
      if (peer.vmId === self.vmId) continue;
      void links.call(peer, { kind: "share_shards", shards });
    }
  }
}
