/**
 * The facts that one process keeps in memory.
 *
 * The load: one fact for each stream that begins, thousands a second for a
 * fleet, few of which are ever asked for; beside them rare facts that must last
 * for minutes. Facts expire, one key has a limited number of them, and beyond
 * the limits the oldest are forgotten. Each group of keys has a limit of its
 * own, so that a flood of one kind can't displace the other.
 */
import { type Fact, type FoundFact, parseFact } from "./fact_messages.ts";
import type { Result } from "neverthrow";

/** Keys of each group; about 60 MB of texts at the most. */
const MAX_KEYS = 200_000;
const MAX_FACTS_PER_KEY = 1_000;
/** Separates the group of a key from its rest. */
const GROUP_SEPARATOR = ":";

interface KeptFact {
  readonly value: string;
  readonly savedAtMs: number;
  readonly expiresAtMs: number;
}

/** Facts by key and id, the oldest first. */
type Group = Map<string, Map<string, KeptFact>>;

/** The facts of one process. */
export class FactTable {
  readonly #groups = new Map<string, Group>();
  readonly #maxKeys: number;

  constructor(maxKeys = MAX_KEYS) {
    this.#maxKeys = maxKeys;
  }

  /** Number of keys. */
  get size(): number {
    return [...this.#groups.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Saves a received fact; the error says what is invalid. */
  save(value: unknown, nowMs: number): Result<void, string> {
    return parseFact(value).map((fact) => this.#add(fact, nowMs));
  }

  /** Finds the facts of a key that haven't expired. */
  find(key: string, nowMs: number): FoundFact[] {
    const facts = this.#getGroup(key).get(key);
    return [...facts ?? []].flatMap(([id, { value, savedAtMs, expiresAtMs }]) =>
      expiresAtMs > nowMs ? [{ id, value, ageMs: nowMs - savedAtMs }] : []
    );
  }

  /** Forgets expired facts. */
  removeExpired(nowMs: number): void {
    for (const group of this.#groups.values()) {
      for (const [key, facts] of group) {
        for (const [id, { expiresAtMs }] of facts) {
          if (expiresAtMs <= nowMs) facts.delete(id);
        }
        if (facts.size === 0) group.delete(key);
      }
    }
  }

  #add({ key, id, value, lifetimeMs }: Fact, nowMs: number): void {
    const group = this.#getGroup(key);
    const facts = group.get(key) ?? new Map<string, KeptFact>();
    facts.delete(id);
    facts.set(id, {
      value,
      savedAtMs: nowMs,
      expiresAtMs: nowMs + lifetimeMs,
    });
    removeOldest(facts, MAX_FACTS_PER_KEY);
    group.delete(key);
    group.set(key, facts);
    removeOldest(group, this.#maxKeys);
  }

  #getGroup(key: string): Group {
    const [name = ""] = key.split(GROUP_SEPARATOR, 1);
    const group = this.#groups.get(name) ?? new Map();
    this.#groups.set(name, group);
    return group;
  }
}

function removeOldest<T>(entries: Map<string, T>, most: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= most) return;
    entries.delete(key);
  }
}
