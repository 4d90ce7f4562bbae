/**
 * The prefix cache of an engine: limited memory, least recently used out.
 */
import type { ProgramId } from "@camphorlock/types";
import type { PromptPart } from "./engine_types.ts";

/** A cached prefix. */
export interface CachedPrefix {
  readonly key: string;
  readonly programId: ProgramId;
  readonly tokens: number;
  /** Tokens of memory, without those shared with a shorter prefix. */
  readonly heldTokens: number;
}

/** What a store into the cache changed. */
export interface CacheChange {
  readonly stored: readonly CachedPrefix[];
  readonly evicted: readonly CachedPrefix[];
}

/** Prefixes by key, in order of their last use. */
export class PrefixCache {
  readonly #prefixes = new Map<string, CachedPrefix>();
  #heldTokens = 0;

  /** Counts the tokens of memory that the cache holds. */
  countHeldTokens(): number {
    return this.#heldTokens;
  }

  /** Finds how many of a prompt's first tokens are cached, and marks the use. */
  findCachedTokens(parts: readonly PromptPart[]): number {
    let cached = 0;
    for (const part of parts) {
      const prefix = this.#prefixes.get(part.key);
      if (prefix === undefined) continue;
      this.#prefixes.delete(part.key);
      this.#prefixes.set(part.key, prefix);
      cached = Math.max(cached, Math.min(prefix.tokens, part.tokens));
    }
    return cached;
  }

  /** Finds one cached prefix. */
  findPrefix(key: string): CachedPrefix | undefined {
    return this.#prefixes.get(key);
  }

  /** Adds a prefix, or lengthens the one that is there. */
  addPrefix(prefix: CachedPrefix): boolean {
    const known = this.#prefixes.get(prefix.key);
    if (known !== undefined && known.tokens >= prefix.tokens) return false;
    if (known !== undefined) this.#heldTokens -= known.heldTokens;
    this.#prefixes.delete(prefix.key);
    this.#prefixes.set(prefix.key, prefix);
    this.#heldTokens += prefix.heldTokens;
    return true;
  }

  /** Evicts the prefixes used longest ago until the memory fits a limit. */
  removeUntil(limitTokens: number): CachedPrefix[] {
    const evicted: CachedPrefix[] = [];
    for (const prefix of this.#prefixes.values()) {
      if (this.#heldTokens <= limitTokens) break;
      this.#prefixes.delete(prefix.key);
      this.#heldTokens -= prefix.heldTokens;
      evicted.push(prefix);
    }
    return evicted;
  }

  /** Removes every prefix of a program. */
  removeProgram(programId: ProgramId): CachedPrefix[] {
    const removed: CachedPrefix[] = [];
    for (const prefix of this.#prefixes.values()) {
      if (prefix.programId !== programId) continue;
      this.#prefixes.delete(prefix.key);
      this.#heldTokens -= prefix.heldTokens;
      removed.push(prefix);
    }
    return removed;
  }

  /** Lists every cached prefix. */
  listPrefixes(): CachedPrefix[] {
    return [...this.#prefixes.values()];
  }
}
