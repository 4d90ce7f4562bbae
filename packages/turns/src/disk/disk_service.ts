/**
 * Handles the messages to one disk: saves turns durably, reads chains, lists
 * turns for disks that copy them, and keeps facts of gateways.
 */
import { randomUUID } from "node:crypto";
import { type CopiedFact, FactPages, FactTable } from "@camphorlock/facts";
import { EVENTS } from "@camphorlock/codes/events";
import type { DiskLog } from "../disk_log.ts";
import { TurnTable } from "../decisions/turn_table.ts";
import type { TurnLog } from "../files/turn_log.ts";
import {
  decodeTurns,
  type DiskAnswer,
  type DiskMessage,
  encodeTurn,
  isId,
  type SaveRefusal,
} from "../messages.ts";
import type { KeptTurn } from "../model/kept_turn.ts";

/** Content in one page of turns. */
const PAGE_BYTES = 256 * 1_024;
/** A closed segment with fewer turns in use is copied forward and removed. */
const COMPACTION_TURNS = 64;

/** The files that hold the turns' records. */
export type TurnFiles = Pick<
  TurnLog,
  "append" | "remove" | "bytes" | "oldestClosed"
>;

/** Dependencies of the service. */
export interface DiskServiceDependencies {
  readonly files: TurnFiles;
  readonly log: DiskLog;
  /** Told of each fact that is new here. */
  readonly recordFact?: (fact: CopiedFact) => void;
  /** Memory that the turns may take. */
  readonly maxTableBytes: number;
}

/** The service of one disk. */
export class DiskService {
  readonly table: TurnTable;
  readonly #dependencies: DiskServiceDependencies;
  /** Highest sequence number that each reader saved on its own disk. */
  readonly #copiedUntil = new Map<string, number>();
  readonly #facts = new FactTable();
  readonly #factPages = new FactPages(this.#facts);
  readonly #numbering = randomUUID();
  #running = 0;
  #isRetiring = false;
  #isCompacting = false;

  constructor(dependencies: DiskServiceDependencies, table = new TurnTable()) {
    this.#dependencies = dependencies;
    this.table = table;
  }

  /** Refuses new turns from now on, since the disk is to be emptied. */
  setRetiring(): void {
    this.#isRetiring = true;
  }

  /** Whether no turn is being saved. */
  get isIdle(): boolean {
    return this.#running === 0;
  }

  /** Lists the disks that hold copies of all turns of this one. */
  listCaughtUp(): string[] {
    return [...this.#copiedUntil]
      .filter(([, sequence]) => sequence >= this.table.lastSequence)
      .map(([diskId]) => diskId);
  }

  /** Handles a message. Never rejects. */
  async handleMessage(message: DiskMessage): Promise<DiskAnswer> {
    const nowMs = performance.now();
    switch (message?.kind) {
      case "hello":
        return { kind: "present" };
      case "save_turns": {
        if (this.#isRetiring) return { kind: "refused", reason: "retiring" };
        const turns = decodeTurns(message.turns, nowMs);
        if (turns.isErr()) return { kind: "invalid", detail: turns.error };
        return await this.save(turns.value);
      }
      case "load_chain": {
        if (!isId(message.turnId)) {
          return { kind: "invalid", detail: "turn id is malformed" };
        }
        const chain = this.table.findChain(message.turnId);
        if (chain === undefined) return { kind: "absent" };
        const turns = chain.map((turn) => encodeTurn(turn, nowMs));
        return { kind: "found", turns };
      }
      case "list_turns": {
        if (typeof message.afterSequence !== "number") {
          return { kind: "invalid", detail: "sequence number is missing" };
        }
        return this.#listTurns(message);
      }
      case "save_fact": {
        const saved = this.#facts.save(message.fact, nowMs);
        if (saved.isErr()) return { kind: "invalid", detail: saved.error };
        this.#dependencies.recordFact?.({ ...message.fact, ageMs: 0 });
        return { kind: "fact_saved" };
      }
      case "find_facts":
        return {
          kind: "facts_found",
          facts: this.#facts.find(String(message.key), nowMs),
        };
      case "list_facts": {
        const page = this.#factPages.list(message, nowMs);
        return page.isOk()
          ? { kind: "facts_listed", ...page.value }
          : { kind: "invalid", detail: page.error };
      }
      default:
        return { kind: "invalid", detail: "unknown message kind" };
    }
  }

  /** Adds facts of another disk's process; returns how many were new. */
  addFacts(facts: readonly CopiedFact[]): number {
    const added = this.#facts.addCopies(facts, performance.now());
    for (const fact of added) this.#dependencies.recordFact?.(fact);
    return added.length;
  }

  /** Lists all facts that are known here. */
  listFacts(): readonly CopiedFact[] {
    return this.#facts.listAll(performance.now());
  }

  /** Saves the end of a chain, the oldest turn first. Never rejects. */
  async save(turns: readonly KeptTurn[]): Promise<DiskAnswer> {
    const missing = turns.filter(({ id }) => !this.table.has(id));
    const [first] = missing;
    if (first === undefined) return { kind: "saved" };
    if (!this.table.canAdd(first)) return { kind: "needs_chain" };
    if (this.table.bytes > this.#dependencies.maxTableBytes) {
      return this.#refuse(first, "full");
    }
    this.#running += 1;
    const appended = await this.#dependencies.files.append(missing);
    this.#running -= 1;
    switch (appended.kind) {
      case "durable":
        return this.#addDurable(missing, appended.segment);
      case "refused":
        return this.#refuse(first, appended.reason);
      case "failed":
        return this.#refuse(first, "disk_failed", appended.detail);
    }
  }

  /** Removes expired turns and segments. Never rejects. */
  async removeExpired(nowMs: number): Promise<void> {
    this.table.removeExpired(nowMs);
    this.#facts.removeExpired(nowMs);
    if (this.#isCompacting) return;
    this.#isCompacting = true;
    try {
      await this.#removeOldestSegment();
    } catch (error) {
      this.#dependencies.log.write(EVENTS.DiskFailed, {
        detail: `the oldest segment can't be removed: ${String(error)}`,
      });
    } finally {
      this.#isCompacting = false;
    }
  }

  /** Adds turns whose records are durable, unless a parent has expired. */
  #addDurable(turns: readonly KeptTurn[], segment: number): DiskAnswer {
    for (const turn of turns) {
      if (!this.table.canAdd(turn)) return { kind: "needs_chain" };
      this.table.add(turn, segment);
    }
    return { kind: "saved" };
  }

  #listTurns(
    { readerDiskId, afterSequence, numbering }: Extract<
      DiskMessage,
      { kind: "list_turns" }
    >,
  ): DiskAnswer {
    const isCurrent = numbering === this.#numbering;
    const sequence = isCurrent ? afterSequence : 0;
    this.#copiedUntil.set(readerDiskId, sequence);
    const page = this.table.listAfter(sequence, PAGE_BYTES);
    const nowMs = performance.now();
    return {
      kind: "listed",
      ...page,
      turns: page.turns.map((turn) => encodeTurn(turn, nowMs)),
      numbering: this.#numbering,
    };
  }

  #refuse(turn: KeptTurn, reason: SaveRefusal, detail = ""): DiskAnswer {
    this.#dependencies.log.write(EVENTS.TurnNotSaved, {
      turn: turn.id,
      reason,
      detail,
      table_bytes: this.table.bytes,
      disk_bytes: this.#dependencies.files.bytes,
    });
    return { kind: "refused", reason };
  }

  async #removeOldestSegment(): Promise<void> {
    const { files } = this.#dependencies;
    const oldest = files.oldestClosed;
    if (oldest === undefined) return;
    const held = this.table.listInSegment(oldest);
    if (held.length > COMPACTION_TURNS) return;
    if (held.length > 0) {
      const copied = await files.append(held.map(({ turn }) => turn));
      if (copied.kind !== "durable" || copied.segment === oldest) return;
      for (const each of held) each.segment = copied.segment;
    }
    await files.remove(oldest);
  }
}
