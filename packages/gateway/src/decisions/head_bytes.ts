/**
 * Estimates what the head of a request holds in memory.
 *
 * The load: heads of 1,900 lines of a few characters, which take 16 KB on the
 * wire and many times that as strings, in a list and in a table by name; and
 * values that are long lists.
 */

/** The exchange itself, without its headers. */
const EXCHANGE_BYTES = 4_096;
/** A name or a value beside its characters: the string and its places. */
const STRING_BYTES = 128;
const CHARACTER_BYTES = 2;
/** A part of a list in a value, for instance of prompt parts, once it's split. */
const PART_BYTES = 96;
/** Shorter values have few parts, which aren't counted. */
const LONG_VALUE_CHARS = 256;

/** Estimates the bytes of a head, whose names and values alternate. */
export function measureHead(rawHeaders: readonly string[]): number {
  let bytes = EXCHANGE_BYTES;
  for (const text of rawHeaders) {
    bytes += STRING_BYTES + text.length * CHARACTER_BYTES +
      countParts(text) * PART_BYTES;
  }
  return bytes;
}

function countParts(text: string): number {
  if (text.length < LONG_VALUE_CHARS) return 0;
  let parts = 1;
  for (let at = text.indexOf(","); at >= 0; at = text.indexOf(",", at + 1)) {
    parts += 1;
  }
  return parts;
}
