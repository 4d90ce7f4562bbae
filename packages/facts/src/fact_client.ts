/**
 * Saves facts on a few keepers and finds them again.
 *
 * Keepers are ranked by the key, so that every gateway asks where another one
 * saved. Each fact has copies in as many failure domains as possible. A save is
 * sent and not waited for; a keeper that doesn't respond is passed over for a
 * while, and the next one gets the copy. A search asks more keepers than have
 * copies, since views of who responds differ.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import type {
  Fact,
  FactAnswer,
  FactMessage,
  FoundFact,
} from "./fact_messages.ts";

/** Copies of each fact. */
const COPIES = 2;
/** Keepers that a search asks. */
const ASKED_KEEPERS = 4;
/** A round trip between regions leaves most of this time to the keeper. */
const CALL_TIMEOUT_MS = 120;
/** How long a keeper that didn't respond gets no copies. */
const AVOIDANCE_MS = 2_000;

/** A process that keeps facts. */
export interface FactKeeper {
  readonly vmId: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
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

/** Saves and finds facts. */
export class FactClient<Keeper extends FactKeeper> {
  readonly #dependencies: FactClientDependencies<Keeper>;
  readonly #avoidedUntilMs = new Map<string, number>();

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
    const asked = this.#sortKeepers(key).slice(0, ASKED_KEEPERS);
    const avoided = asked.filter((keeper) => this.#isAvoided(keeper));
    const others = asked.filter((keeper) => !avoided.includes(keeper));
    return new Promise((resolve) => {
      const found = new Map<string, FoundFact>();
      const ask = async (keeper: Keeper) => {
        const message = { kind: "find_facts", key } as const;
        const answer = await this.#call(keeper, message);
        if (answer?.kind !== "facts_found") return;
        for (const fact of answer.facts) addNewer(found, fact);
        if (isEnough(answer.facts)) resolve(answer.facts);
      };
      const calls = avoided.map(ask);
      void Promise.all(others.map(ask))
        // A silent keeper is only waited for while nothing else is found.
        .then(() => found.size > 0 ? undefined : Promise.all(calls))
        .then(() => resolve([...found.values()]));
    });
  }

  #isAvoided({ vmId }: FactKeeper): boolean {
    return (this.#avoidedUntilMs.get(vmId) ?? 0) > performance.now();
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
    if (answer !== undefined) this.#avoidedUntilMs.delete(keeper.vmId);
    else {
      const untilMs = performance.now() + AVOIDANCE_MS;
      this.#avoidedUntilMs.set(keeper.vmId, untilMs);
    }
    return answer;
  }

  #sortKeepers(key: string): Keeper[] {
    return this.#dependencies.listKeepers()
      .map((keeper) => ({ keeper, rank: computeHash(`${keeper.vmId}|${key}`) }))
      .sort((left, right) => right.rank - left.rank)
      .map(({ keeper }) => keeper);
  }
}

/** Chooses the best ranked keepers, in different failure domains if possible. */
function chooseKeepers<Keeper extends FactKeeper>(
  ranked: readonly Keeper[],
  count: number,
): Keeper[] {
  const domains = new Set<string>();
  const apart = ranked.filter(({ failureDomain }) => {
    const isNew = !domains.has(failureDomain);
    domains.add(failureDomain);
    return isNew;
  });
  const others = ranked.filter((keeper) => !apart.includes(keeper));
  return [...apart, ...others].slice(0, count);
}

function addNewer(found: Map<string, FoundFact>, fact: FoundFact): void {
  const known = found.get(fact.id);
  if (known === undefined || fact.ageMs < known.ageMs) found.set(fact.id, fact);
}
