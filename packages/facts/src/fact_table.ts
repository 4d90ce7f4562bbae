/**
 * The facts that one process keeps in memory.
 *
 * The load: one fact for each stream that begins, thousands a second for a
 * fleet, few of which are ever asked for; beside them rare facts that must last
 * for minutes. Facts expire, one key has a limited number of them, and beyond
 * the limits the oldest are forgotten. Each group of keys has a limit of its
 * own, so that a flood of one kind can't displace the other.
 */
import type { Result } from "neverthrow";
import { type CopiedFact, type FoundFact, parseFact } from "./fact_messages.ts";

/** Memory that the facts of one group may take; a VM with a disk is small. */
const MAX_GROUP_BYTES = 12 * 1_024 * 1_024;
/** Memory of a fact besides its texts. */
const FACT_OVERHEAD_BYTES = 320;
const MAX_FACTS_PER_KEY = 1_000;
/** How much later than the fact itself a copy may seem, for its way here. */
const MAX_TRANSIT_MS = 2_000;
/** Separates the group of a key from its rest. */
const GROUP_SEPARATOR = ":";

interface KeptFact {
  readonly value: string;
  readonly savedAtMs: number;
  readonly expiresAtMs: number;
}

/** Facts by id, the oldest first. */
type Facts = Map<string, KeptFact>;

/** The facts of a group. */
class FactGroup {
  /** The key that was saved the longest ago comes first. */
  readonly #byKey = new Map<string, Facts>();
  #bytes = 0;
  readonly #maxBytes: number;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get size(): number {
    return this.#byKey.size;
  }

  get(key: string): Facts | undefined {
    return this.#byKey.get(key);
  }

  listKeys(): IterableIterator<string> {
    return this.#byKey.keys();
  }

  set(key: string, id: string, fact: KeptFact): void {
    const facts: Facts = this.#byKey.get(key) ?? new Map();
    this.#removeFact(key, facts, id);
    facts.set(id, fact);
    this.#bytes += countBytes(key, id, fact);
    const [oldest] = facts.keys();
    if (facts.size > MAX_FACTS_PER_KEY && oldest !== undefined) {
      this.#removeFact(key, facts, oldest);
    }
    this.#byKey.delete(key);
    this.#byKey.set(key, facts);
    for (const each of this.#byKey.keys()) {
      if (this.#bytes <= this.#maxBytes || each === key) break;
      this.#removeKey(each);
    }
  }

  removeExpired(nowMs: number): void {
    for (const [key, facts] of this.#byKey) {
      for (const [id, { expiresAtMs }] of facts) {
        if (expiresAtMs <= nowMs) this.#removeFact(key, facts, id);
      }
      if (facts.size === 0) this.#byKey.delete(key);
    }
  }

  #removeKey(key: string): void {
    const facts = this.#byKey.get(key) ?? new Map<string, KeptFact>();
    for (const id of facts.keys()) this.#removeFact(key, facts, id);
    this.#byKey.delete(key);
  }

  #removeFact(key: string, facts: Facts, id: string): void {
    const fact = facts.get(id);
    if (fact === undefined) return;
    facts.delete(id);
    this.#bytes -= countBytes(key, id, fact);
  }
}

/** The facts of one process. */
export class FactTable {
  readonly #groups = new Map<string, FactGroup>();
  readonly #maxGroupBytes: number;

  constructor(maxGroupBytes = MAX_GROUP_BYTES) {
    this.#maxGroupBytes = maxGroupBytes;
  }

  /** Number of keys. */
  get size(): number {
    return [...this.#groups.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Saves a received fact; the error says what is invalid. */
  save(value: unknown, nowMs: number): Result<void, string> {
    return parseFact(value).map(({ key, id, value: text, lifetimeMs }) =>
      this.#getGroup(key).set(key, id, {
        value: text,
        savedAtMs: nowMs,
        expiresAtMs: nowMs + lifetimeMs,
      })
    );
  }

  /**
   * Adds facts that another keeper holds, unless a later one is known here;
   * returns those that were added. What is invalid is left out.
   */
  addCopies(facts: readonly CopiedFact[], nowMs: number): CopiedFact[] {
    return facts.filter((copied) => {
      const fact = parseFact(copied);
      if (fact.isErr() || !(copied.ageMs >= 0)) return false;
      const { key, id, value, lifetimeMs } = fact.value;
      const group = this.#getGroup(key);
      const savedAtMs = nowMs - copied.ageMs;
      const expiresAtMs = nowMs + lifetimeMs;
      const known = group.get(key)?.get(id);
      if (known !== undefined) {
        const isLater = known.savedAtMs < savedAtMs;
        const isSame = known.value === value &&
          expiresAtMs <= known.expiresAtMs + MAX_TRANSIT_MS;
        if (!isLater || isSame) return false;
      }
      group.set(key, id, { value, savedAtMs, expiresAtMs });
      return true;
    });
  }

  /** Lists all facts, as another keeper copies them. */
  listAll(nowMs: number): CopiedFact[] {
    return this.listKeys().flatMap((key) => this.listCopies(key, nowMs));
  }

  listKeys(): string[] {
    return [...this.#groups.values()].flatMap((group) => [...group.listKeys()]);
  }

  /** Lists the facts of a key, as another keeper copies them. */
  listCopies(key: string, nowMs: number): CopiedFact[] {
    const facts = this.#getGroup(key).get(key);
    return [...facts ?? []].flatMap(([id, fact]) => {
      const { value, savedAtMs, expiresAtMs } = fact;
      const lifetimeMs = expiresAtMs - nowMs;
      const ageMs = nowMs - savedAtMs;
      return lifetimeMs > 0 ? [{ key, id, value, lifetimeMs, ageMs }] : [];
    });
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
    for (const [name, group] of this.#groups) {
      group.removeExpired(nowMs);
      if (group.size === 0) this.#groups.delete(name);
    }
  }

  #getGroup(key: string): FactGroup {
    const [name = ""] = key.split(GROUP_SEPARATOR, 1);
    const group = this.#groups.get(name) ?? new FactGroup(this.#maxGroupBytes);
    this.#groups.set(name, group);
    return group;
  }
}

function countBytes(key: string, id: string, { value }: KeptFact): number {
  return FACT_OVERHEAD_BYTES + key.length + id.length + value.length;
}
