/**
 * Sections of the configuration: lists of items, sorted by key, that are
 * compared and patched item by item.
 */
import type { SectionPatch } from "@camphorlock/types";

/** Returns the key of an item, which is unique within its section. */
export type KeyOf<Item> = (item: Item) => string;

/** Compares two keys by UTF-16 code units, independently of the locale. */
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
 * Builds the patch from one sorted section to another.
 *
 * Items are compared by identity: a change reuses the items it doesn't modify.
 */
export function buildSectionPatch<Item>(
  before: readonly Item[],
  options: { readonly after: readonly Item[]; readonly keyOf: KeyOf<Item> },
): SectionPatch<Item> | undefined {
  const { after, keyOf } = options;
  if (before === after) return undefined;
  const itemsBefore = new Set(before);
  const set = after.filter((item) => !itemsBefore.has(item));
  const keys = new Set(after.map(keyOf));
  const removed = before.map(keyOf).filter((key) => !keys.has(key));
  return set.length + removed.length === 0 ? undefined : { set, removed };
}

/** Applies a patch to a sorted section; without one, returns it uncopied. */
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

/** Adds an item to a section, or replaces the one with its key. */
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

/** Removes the item with a key, if present. */
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
