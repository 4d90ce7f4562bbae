/**
 * A fast, non-cryptographic hash of strings that is the same on every node:
 * FNV-1a over UTF-16 code units with the finalizer of MurmurHash3.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/** Computes the 32-bit hash of a string. */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return computeMixedHash(hash);
}

/** Spreads the bits of a 32-bit hash. */
export function computeMixedHash(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, MIX_FIRST);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MIX_SECOND);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Computes a hash of a string as a fraction from 0 (inclusive) to 1 (exclusive). */
export function computeFraction(text: string): number {
  return computeHash(text) / 2 ** 32;
}
