/**
 * This gateway's copy of the objects of one kind, with their latest changes.
 * Other gateways can watch the objects here instead of at the store.
 */
import type {
  StoredChange,
  StoredChanges,
  StoredList,
  StoredObject,
} from "../ports.ts";

import { Stopwatch } from "./stopwatch.ts";

/** Changed objects retained; a watcher further behind reads the list again. */
const MAX_RETAINED_CHANGES = 500;

interface RetainedChange {
  /** The store's revision at which the cache had the change. */
  readonly revision: number;
  readonly change: StoredChange;
}

/** The cached objects of one kind. */
export class ObjectCache {
  readonly #objects = new Map<string, StoredObject>();
  /**
   * The last change of each object, oldest first. Earlier changes of the same
   * object are dropped, so that a watcher never transfers superseded values.
   */
  readonly #lastChanges = new Map<string, RetainedChange>();
  /** All later changes are retained; undefined before the first list. */
  #retainedAfter: number | undefined;
  #revision = 0;
  /** Runs since the objects were last confirmed to be current. */
  #confirmed: Stopwatch | undefined;
  #resolvers = new Set<() => void>();
  /** Whether the age is an upper bound, not just about right. */
  readonly isAgeBound: boolean;

  constructor({ isAgeBound = false }: { readonly isAgeBound?: boolean } = {}) {
    this.isAgeBound = isAgeBound;
  }

  /** Time since the objects were last confirmed to be current. */
  computeAgeMs(): number {
    return this.#confirmed?.elapsedMs ?? Number.POSITIVE_INFINITY;
  }

  /** The store's revision up to which the objects are known. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Takes the complete list, which was current `ageMs` ago. What differs counts
   * as changed, so that watchers needn't read the list again.
   */
  setAll({ objects, revision }: StoredList, ageMs: number): void {
    if (this.#retainedAfter === undefined) {
      this.#retainedAfter = revision;
      for (const object of objects) this.#objects.set(object.name, object);
    }
    const changes = this.#listDifferences(objects);
    this.applyChanges({ changes, revision }, ageMs);
  }

  /** Applies changes up to a revision, which were complete `ageMs` ago. */
  applyChanges({ changes, revision }: StoredChanges, ageMs: number): void {
    if (ageMs < this.computeAgeMs()) this.#confirmed = new Stopwatch(ageMs);
    this.#revision = Math.max(this.#revision, revision);
    for (const change of changes) this.#applyChange(change, revision);
    // A confirmation without changes tells watchers how recent the copy is.
    this.notifyWaiters();
  }

  #listDifferences(objects: readonly StoredObject[]): StoredChange[] {
    const listed = new Set(objects.map(({ name }) => name));
    const removed = [...this.#objects.values()]
      .filter(({ name }) => !listed.has(name))
      .map((object) => ({ object, isRemoved: true }));
    const changed = objects
      .filter(({ name, revision }) =>
        this.#objects.get(name)?.revision !== revision
      )
      .map((object) => ({ object, isRemoved: false }));
    return [...removed, ...changed];
  }

  /** Whether the copy already has a later revision of a changed object. */
  isSuperseded({ object }: StoredChange): boolean {
    const known = this.#objects.get(object.name)?.revision ?? 0;
    return known > object.revision;
  }

  #applyChange(change: StoredChange, revision: number): void {
    if (this.isSuperseded(change)) return;
    const { object, isRemoved } = change;
    if (isRemoved) this.#objects.delete(object.name);
    else this.#objects.set(object.name, object);
    // A map keeps the position of a key that is set again.
    this.#lastChanges.delete(object.name);
    this.#lastChanges.set(object.name, { revision, change });
    if (this.#lastChanges.size <= MAX_RETAINED_CHANGES) return;
    const [oldest] = this.#lastChanges;
    if (oldest === undefined) return;
    this.#lastChanges.delete(oldest[0]);
    this.#retainedAfter = oldest[1].revision;
  }

  /** Lists all objects; undefined before the first list. */
  list(): StoredList | undefined {
    if (this.#retainedAfter === undefined) return undefined;
    return { objects: [...this.#objects.values()], revision: this.#revision };
  }

  /**
   * Waits until there are changes after a revision, the objects were confirmed,
   * or the wait ends; then lists the changes. Undefined when changes are no
   * longer retained.
   */
  async waitForChanges(
    afterRevision: number,
    waitMs: number,
  ): Promise<StoredChanges | undefined> {
    const canWait = this.#isRetained(afterRevision) &&
      !this.#hasChange(afterRevision);
    if (canWait) await this.#wait(waitMs);
    return this.listChanges(afterRevision);
  }

  /**
   * Lists the last change of each object after a revision; undefined when
   * changes are no longer retained.
   */
  listChanges(afterRevision: number): StoredChanges | undefined {
    if (!this.#isRetained(afterRevision)) return undefined;
    const changes = [...this.#lastChanges.values()]
      .filter(({ revision }) => revision > afterRevision)
      .map(({ change }) => change);
    return { changes, revision: Math.max(afterRevision, this.#revision) };
  }

  #isRetained(afterRevision: number): boolean {
    return this.#retainedAfter !== undefined &&
      afterRevision >= this.#retainedAfter;
  }

  #hasChange(afterRevision: number): boolean {
    return [...this.#lastChanges.values()]
      .some(({ revision }) => revision > afterRevision);
  }

  #wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#resolvers.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, waitMs);
      this.#resolvers.add(settle);
    });
  }

  /** Ends all waits, so that each waiter can report the objects' age. */
  notifyWaiters(): void {
    for (const settle of [...this.#resolvers]) settle();
  }
}
