/**
 * Serves a keeper's facts to other keepers that copy what they should hold.
 *
 * All keepers copy at the same time when another one comes or goes. A keeper
 * ranks its keys once for each reader, and remembers them until the reader has
 * read all pages.
 */
import { err, ok, type Result } from "neverthrow";
import {
  type CopiedFact,
  type FactMessage,
  parseMembers,
} from "./fact_messages.ts";
import type { FactTable } from "./fact_table.ts";
import { KeeperRanking } from "./keeper_ranking.ts";

/** Keys in one page. */
const PAGE_KEYS = 500;
/** Readers whose keys are remembered; the oldest are forgotten first. */
const MAX_READERS = 100;

/** One page of facts. */
export interface FactPage {
  readonly facts: readonly CopiedFact[];
  readonly isEnd: boolean;
}

/** A request for a page. */
export type FactPageRequest = Extract<FactMessage, { kind: "list_facts" }>;

/** The pages that other keepers read. */
export class FactPages {
  readonly #table: FactTable;
  readonly #keysByReader = new Map<string, readonly string[]>();

  constructor(table: FactTable) {
    this.#table = table;
  }

  /** Lists a page; the error says why the reader has to begin again. */
  list(
    { page, members, reader }: FactPageRequest,
    nowMs: number,
  ): Result<FactPage, string> {
    const name = String(reader);
    if (page === 0) this.#saveKeys(name, parseMembers(members));
    const keys = this.#keysByReader.get(name);
    if (keys === undefined || !Number.isInteger(page) || page < 0) {
      return err("the page doesn't follow an earlier one");
    }
    const end = (page + 1) * PAGE_KEYS;
    const isEnd = end >= keys.length;
    if (isEnd) this.#keysByReader.delete(name);
    const facts = keys.slice(page * PAGE_KEYS, end)
      .flatMap((key) => this.#table.listCopies(key, nowMs));
    return ok({ facts, isEnd });
  }

  #saveKeys(reader: string, members: ReturnType<typeof parseMembers>): void {
    const ranking = new KeeperRanking(members);
    const keys = this.#table.listKeys()
      .filter((key) => ranking.isHolder(key, reader));
    this.#keysByReader.delete(reader);
    this.#keysByReader.set(reader, keys);
    const [oldest] = this.#keysByReader.keys();
    if (this.#keysByReader.size > MAX_READERS && oldest !== undefined) {
      this.#keysByReader.delete(oldest);
    }
  }
}
