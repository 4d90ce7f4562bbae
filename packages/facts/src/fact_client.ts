/**
 * Saves facts on a few keepers and finds them again.
 *
 * Keepers are ranked by the key, so that every gateway asks where another one
 * saved. Each fact has copies in as many failure domains as possible. A save is
 * sent and not waited for; a keeper that doesn't respond is passed over for a
 * while, and the next one gets the copy. A search asks more keepers than have
 * copies, since views of who responds differ, and the next ones in place of
 * those that don't respond.
 */
import type {
  Fact,
  FactAnswer,
  FactMessage,
  FoundFact,
} from "./fact_messages.ts";
import {
  chooseKeepers,
  COPIES,
  type KeeperPlace,
  KeeperRanking,
} from "./keeper_ranking.ts";

/** Keepers of which a search wants responses. */
const ASKED_KEEPERS = 4;
/** A round trip between regions leaves most of this time to the keeper. */
const CALL_TIMEOUT_MS = 120;
/** How long a keeper that didn't respond gets no copies; doubles each time. */
const INITIAL_AVOIDANCE_MS = 2_000;
const MAX_AVOIDANCE_MS = 60_000;

/** A process that keeps facts. */
export interface FactKeeper extends KeeperPlace {
  readonly host: string;
  readonly port: number;
}

/** Dependencies of the client. */
export interface FactClientDependencies<Keeper extends FactKeeper> {
  readonly listKeepers: () => readonly Keeper[];
  /** Resolves to undefined when the keeper doesn't respond in time. */
  readonly call: (
    keeper: Keeper,
    message: FactMessage,
    timeoutMs: number,
  ) => Promise<FactAnswer | undefined>;
}

interface Avoidance {
  readonly durationMs: number;
  readonly untilMs: number;
}

/** Saves and finds facts. */
export class FactClient<Keeper extends FactKeeper> {
  readonly #dependencies: FactClientDependencies<Keeper>;
  readonly #avoided = new Map<string, Avoidance>();

  constructor(dependencies: FactClientDependencies<Keeper>) {
    this.#dependencies = dependencies;
  }

  /** Saves a fact; resolves to the number of keepers that confirmed it. */
  async save(fact: Fact): Promise<number> {
    const ranked = this.#sortKeepers(fact.key)
      .filter((keeper) => !this.#isAvoided(keeper));
    const chosen = chooseKeepers(ranked, COPIES);
    const rest = ranked.filter((keeper) => !chosen.includes(keeper));
    const saved = await Promise.all(chosen.map(async (keeper) => {
      if (await this.#saveAt(keeper, fact)) return true;
      const next = rest.shift();
      return next !== undefined && await this.#saveAt(next, fact);
    }));
    return saved.filter((isSaved) => isSaved).length;
  }

  /**
   * Finds the facts of a key at all keepers that respond in time, or sooner once
   * `isEnough` is true for those of one keeper.
   */
  find(
    key: string,
    isEnough: (facts: readonly FoundFact[]) => boolean = () => false,
  ): Promise<readonly FoundFact[]> {
    const ranked = this.#sortKeepers(key);
    const avoided = ranked.filter((keeper) => this.#isAvoided(keeper))
      .slice(0, ASKED_KEEPERS);
    const others = ranked.filter((keeper) => !this.#isAvoided(keeper));
    return new Promise((resolve) => {
      const found = new Map<string, FoundFact>();
      const ask = async (keeper: Keeper): Promise<boolean> => {
        const message = { kind: "find_facts", key } as const;
        const answer = await this.#call(keeper, message);
        if (answer?.kind !== "facts_found") return false;
        for (const fact of answer.facts) addNewer(found, fact);
        if (isEnough(answer.facts)) resolve(answer.facts);
        return true;
      };
      const askNext = async (): Promise<void> => {
        const keeper = others.shift();
        if (keeper !== undefined && !await ask(keeper)) await askNext();
      };
      const calls = avoided.map(ask);
      const searches = Array.from({ length: ASKED_KEEPERS }, askNext);
      void Promise.all(searches)
        // A silent keeper is only waited for while nothing else is found.
        .then(() => found.size > 0 ? undefined : Promise.all(calls))
        .then(() => resolve([...found.values()]));
    });
  }

  #isAvoided({ vmId }: KeeperPlace): boolean {
    return (this.#avoided.get(vmId)?.untilMs ?? 0) > performance.now();
  }

  async #saveAt(keeper: Keeper, fact: Fact): Promise<boolean> {
    const answer = await this.#call(keeper, { kind: "save_fact", fact });
    return answer?.kind === "fact_saved";
  }

  async #call(
    keeper: Keeper,
    message: FactMessage,
  ): Promise<FactAnswer | undefined> {
    const { call } = this.#dependencies;
    const answer = await call(keeper, message, CALL_TIMEOUT_MS);
    if (answer !== undefined) this.#avoided.delete(keeper.vmId);
    else this.#recordSilence(keeper);
    return answer;
  }

  #recordSilence(keeper: Keeper): void {
    // Calls that were in flight together count once.
    if (this.#isAvoided(keeper)) return;
    const before = this.#avoided.get(keeper.vmId);
    const durationMs = before === undefined
      ? INITIAL_AVOIDANCE_MS
      : Math.min(MAX_AVOIDANCE_MS, before.durationMs * 2);
    const untilMs = performance.now() + durationMs;
    this.#avoided.set(keeper.vmId, { durationMs, untilMs });
  }

  #sortKeepers(key: string): Keeper[] {
    return new KeeperRanking(this.#dependencies.listKeepers()).sort(key);
  }
}

function addNewer(found: Map<string, FoundFact>, fact: FoundFact): void {
  const known = found.get(fact.id);
  if (known === undefined || fact.ageMs < known.ageMs) found.set(fact.id, fact);
}
