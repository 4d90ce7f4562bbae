/**
 * Estimates what the head of a request holds in memory.
 *
 * The load: heads of 1,900 lines of a few characters, which take 16 KB on the
 * wire and many times that as strings, in a list and in a table by name.
 */

/** The exchange itself, without its headers. */
const EXCHANGE_BYTES = 4_096;
/** A name or a value beside its characters: the string and its places. */
const STRING_BYTES = 128;
/** A long list in a value, for instance of prompt parts, is split up later. */
const CHARACTER_BYTES = 2;

/** Estimates the bytes of a head, whose names and values alternate. */
export function measureHead(rawHeaders: readonly string[]): number {
  const characters = rawHeaders.reduce((sum, { length }) => sum + length, 0);
  return EXCHANGE_BYTES + rawHeaders.length * STRING_BYTES +
    characters * CHARACTER_BYTES;
}
