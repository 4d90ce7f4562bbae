/**
 * Chains that this gateway served lately, within a bound on their bytes.
 */
import { countChainBytes, type TurnChain } from "@camphorlock/turns";

/** Chains share their turns, so this counts more than what they take. */
const MAX_BYTES = 16 * 1_024 * 1_024;

interface CachedChain {
  readonly chain: TurnChain;
  readonly bytes: number;
}

/** Caches chains by the id of their last turn. */
export class ChainCache {
  /** In the order of use, the least recently used first. */
  readonly #byId = new Map<string, CachedChain>();
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(maxBytes = MAX_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /** Adds a chain and evicts the least recently used ones beyond the bound. */
  add(chain: TurnChain): void {
    const id = chain.at(-1)?.id;
    if (id === undefined) return;
    this.#remove(id);
    const bytes = countChainBytes(chain);
    this.#byId.set(id, { chain, bytes });
    this.#bytes += bytes;
    for (const oldest of this.#byId.keys()) {
      if (this.#bytes <= this.#maxBytes) break;
      this.#remove(oldest);
    }
  }

  find(id: string): TurnChain | undefined {
    const cached = this.#byId.get(id);
    if (cached === undefined) return undefined;
    this.#byId.delete(id);
    this.#byId.set(id, cached);
    return cached.chain;
  }

  #remove(id: string): void {
    const cached = this.#byId.get(id);
    if (cached === undefined) return;
    this.#byId.delete(id);
    this.#bytes -= cached.bytes;
  }
}
