/**
 * Makes lost copies of facts anew: each keeper copies from the others what it
 * should hold among those that respond.
 *
 * Keepers go one after another, and each new one begins empty. Whenever another
 * set of keepers responds than before, and at the start, the ranks of the facts
 * change, and every keeper reads what it should hold, page by page.
 */
import type { CopiedFact, FactAnswer, FactMessage } from "./fact_messages.ts";
import type { FactKeeper } from "./fact_client.ts";
import type { KeeperPlace } from "./keeper_ranking.ts";

/** Pages of one keeper; the bound on its memory allows far fewer. */
const MAX_PAGES = 1_000;
/** A keeper that is there responds within this time, also between regions. */
const HELLO_TIMEOUT_MS = 250;
/** A page crosses regions within this time. */
const PAGE_TIMEOUT_MS = 1_000;
/** Interval at which keepers check which others respond. */
const CHECK_MS = 1_000;
/** A process that was late by this long stood still, and missed saves. */
const STANDSTILL_MS = 3_000;

/** Dependencies of a copier. */
export interface FactCopierDependencies<Keeper extends FactKeeper> {
  readonly self: KeeperPlace;
  /** Whether a keeper responds at all. */
  readonly probe: (keeper: Keeper, timeoutMs: number) => Promise<boolean>;
  /** Resolves to undefined when the keeper doesn't respond in time. */
  readonly call: (
    keeper: Keeper,
    message: FactMessage,
    timeoutMs: number,
  ) => Promise<FactAnswer | undefined>;
  /** Adds facts that another keeper holds; returns how many were new. */
  readonly addCopies: (facts: readonly CopiedFact[]) => number;
  /** Called once a copy is complete. */
  readonly recordCopied: (copied: CopyResult) => void;
  /** The wall clock, which goes on while the VM is suspended. */
  readonly readWallClock?: () => number;
}

/** What was copied after another set of keepers responded. */
export interface CopyResult {
  readonly sources: readonly string[];
  readonly facts: number;
}

/** Copies facts to one keeper. */
export class FactCopier<Keeper extends FactKeeper> {
  readonly #dependencies: FactCopierDependencies<Keeper>;
  #keepers: readonly Keeper[] = [];
  /** The keepers from which everything was copied, in order. */
  #copiedFrom: string | undefined;
  #dueAtMs = 0;
  #checkedAtMs: number | undefined;
  #isRunning = false;

  constructor(dependencies: FactCopierDependencies<Keeper>) {
    this.#dependencies = dependencies;
  }

  /** Applies the other registered keepers. */
  setOthers(keepers: readonly Keeper[]): void {
    this.#keepers = keepers;
    this.#dueAtMs = 0;
  }

  /** Copies what's missing if other keepers respond than before. */
  async runDue(nowMs: number): Promise<void> {
    if (this.#isRunning || nowMs < this.#dueAtMs) return;
    this.#isRunning = true;
    this.#dueAtMs = nowMs + CHECK_MS;
    try {
      await this.#run();
    } finally {
      this.#isRunning = false;
    }
  }

  async #run(): Promise<void> {
    const { probe, recordCopied } = this.#dependencies;
    this.#checkStandstill();
    const keepers = this.#keepers;
    const responses = await Promise.all(
      keepers.map((keeper) => probe(keeper, HELLO_TIMEOUT_MS)),
    );
    const sources = keepers.filter((_, index) => responses[index] === true);
    const names = sources.map(buildName).sort();
    if (names.join() === this.#copiedFrom) return;
    const members = [this.#dependencies.self, ...sources]
      .map(({ vmId, failureDomain }) => ({ vmId, failureDomain }));
    const copies = await Promise.all(
      sources.map((source) => this.#copyFrom(source, members)),
    );
    if (copies.includes(undefined)) return;
    this.#copiedFrom = names.join();
    const facts = copies.reduce<number>((sum, each) => sum + (each ?? 0), 0);
    recordCopied({ sources: sources.map(({ vmId }) => vmId), facts });
  }

  #checkStandstill(): void {
    const nowMs = this.#dependencies.readWallClock?.() ?? Date.now();
    const gapMs = nowMs - (this.#checkedAtMs ?? nowMs);
    this.#checkedAtMs = nowMs;
    if (Math.abs(gapMs) > STANDSTILL_MS) this.#copiedFrom = undefined;
  }

  /** Copies from one keeper; undefined if it stopped responding. */
  async #copyFrom(
    source: Keeper,
    members: readonly KeeperPlace[],
  ): Promise<number | undefined> {
    const { self, call, addCopies } = this.#dependencies;
    let facts = 0;
    for (let page = 0; page < MAX_PAGES; page += 1) {
      const answer = await call(source, {
        kind: "list_facts",
        page,
        members,
        reader: self.vmId,
      }, PAGE_TIMEOUT_MS);
      if (answer?.kind !== "facts_listed") return undefined;
      facts += addCopies(answer.facts);
      if (answer.isEnd) break;
    }
    return facts;
  }
}

function buildName({ vmId, host, port }: FactKeeper): string {
  return `${vmId} ${host}:${port}`;
}
