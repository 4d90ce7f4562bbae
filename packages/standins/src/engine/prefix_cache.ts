/**
 * The prefix cache of an engine. Evicts the least recently used prefixes.
 */
import type { ProgramId } from "@camphorlock/types";
import type { PromptPart } from "./engine_types.ts";

/** A cached prefix. */
export interface CachedPrefix {
  readonly key: string;
  readonly programId: ProgramId;
  readonly tokens: number;
  /** Memory use in tokens, without those shared with a shorter prefix. */
  readonly heldTokens: number;
}

/** The prefixes that an addition to the cache stored and evicted. */
export interface CacheChange {
  readonly stored: readonly CachedPrefix[];
  readonly evicted: readonly CachedPrefix[];
}

/** Prefixes by key, ordered from least to most recently used. */
export class PrefixCache {
  readonly #prefixes = new Map<string, CachedPrefix>();
  #heldTokens = 0;

  /** Counts the tokens of memory that the cached prefixes use. */
  countHeldTokens(): number {
    return this.#heldTokens;
  }

  /** Finds the length of a prompt's cached prefix and marks it as used. */
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

  /** Finds a cached prefix by key. */
  findPrefix(key: string): CachedPrefix | undefined {
    return this.#prefixes.get(key);
  }

  /** Adds a prefix, or extends it. Returns whether the cache changed. */
  addPrefix(prefix: CachedPrefix): boolean {
    const cached = this.#prefixes.get(prefix.key);
    if (cached !== undefined && cached.tokens >= prefix.tokens) return false;
    if (cached !== undefined) this.#heldTokens -= cached.heldTokens;
    this.#prefixes.delete(prefix.key);
    this.#prefixes.set(prefix.key, prefix);
    this.#heldTokens += prefix.heldTokens;
    return true;
  }

  /** Evicts least recently used prefixes until at most `limitTokens` remain. */
  evictUntil(limitTokens: number): CachedPrefix[] {
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
