/**
 * Sections of the configuration: lists of items kept in the order of their
 * keys, compared and patched item by item.
 */
import type { SectionPatch } from "@camphorlock/types";

/** Gives the key of an item, unique within its section. */
export type KeyOf<Item> = (item: Item) => string;

/** Compares two keys by their UTF-16 code units, alike on every machine. */
export function compareKeys(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Sorts items by key. */
export function sortSection<Item>(
  items: readonly Item[],
  keyOf: KeyOf<Item>,
): readonly Item[] {
  return [...items].sort((a, b) => compareKeys(keyOf(a), keyOf(b)));
}

/**
 * Builds the patch that leads from one sorted section to another.
 *
 * Items are compared by identity: a change shares the items that it leaves.
 */
export function buildSectionPatch<Item>(
  before: readonly Item[],
  options: { readonly after: readonly Item[]; readonly keyOf: KeyOf<Item> },
): SectionPatch<Item> | undefined {
  const { after, keyOf } = options;
  if (before === after) return undefined;
  const known = new Set(before);
  const set = after.filter((item) => !known.has(item));
  const keys = new Set(after.map(keyOf));
  const removed = before.map(keyOf).filter((key) => !keys.has(key));
  return set.length + removed.length === 0 ? undefined : { set, removed };
}

/** Applies a patch to a sorted section; without a patch nothing is copied. */
export function applySectionPatch<Item>(
  before: readonly Item[],
  options: {
    readonly patch: SectionPatch<Item> | undefined;
    readonly keyOf: KeyOf<Item>;
  },
): readonly Item[] {
  const { patch, keyOf } = options;
  if (patch === undefined) return before;
  const replaced = new Set([...patch.removed, ...patch.set.map(keyOf)]);
  const kept = before.filter((item) => !replaced.has(keyOf(item)));
  return sortSection([...kept, ...patch.set], keyOf);
}

/** Sets one item of a section. */
export function setItem<Item>(
  items: readonly Item[],
  options: { readonly item: Item; readonly keyOf: KeyOf<Item> },
): readonly Item[] {
  const { item, keyOf } = options;
  return applySectionPatch(items, {
    patch: { set: [item], removed: [] },
    keyOf,
  });
}

/** Removes the item with a key, if there is one. */
export function removeItem<Item>(
  items: readonly Item[],
  options: { readonly key: string; readonly keyOf: KeyOf<Item> },
): readonly Item[] {
  const { key, keyOf } = options;
  return applySectionPatch(items, {
    patch: { set: [], removed: [key] },
    keyOf,
  });
}
