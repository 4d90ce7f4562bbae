/**
 * The objects of one kind as this gateway last heard of them, with the latest
 * changes, so that other gateways can follow them here instead of at the store.
 */
import type {
  StoredChange,
  StoredChanges,
  StoredList,
  StoredObject,
} from "../ports.ts";

/** Changes kept; who follows from further back reads the whole list again. */
const MAX_CHANGES = 500;

interface KeptChanges {
  readonly revision: number;
  readonly changes: readonly StoredChange[];
}

/** The objects of one kind. */
export class ObjectCache {
  readonly #objects = new Map<string, StoredObject>();
  #log: KeptChanges[] = [];
  /** Changes after this revision are all kept; absent before the first list. */
  #keptAfter: number | undefined;
  #revision = 0;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #waiting = new Set<() => void>();

  /** Time since the objects were last known to be current. */
  countAgeMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** Replaces everything. `confirmedAtMs` tells as of when it was current. */
  setAll(list: StoredList, confirmedAtMs: number): void {
    this.#objects.clear();
    for (const object of list.objects) this.#objects.set(object.name, object);
    this.#log = [];
    this.#keptAfter = list.revision;
    this.#revision = list.revision;
    this.#confirmedAtMs = confirmedAtMs;
    this.endWaits();
  }

  /** Applies changes up to a revision. */
  applyChanges(
    { changes, revision }: StoredChanges,
    confirmedAtMs: number,
  ): void {
    this.#confirmedAtMs = confirmedAtMs;
    this.#revision = Math.max(this.#revision, revision);
    if (changes.length === 0) return;
    for (const { object, isRemoved } of changes) {
      if (isRemoved) this.#objects.delete(object.name);
      else this.#objects.set(object.name, object);
    }
    this.#log.push({ revision, changes });
    if (this.#log.length > MAX_CHANGES) {
      this.#keptAfter = this.#log.shift()?.revision;
    }
    this.endWaits();
  }

  /** Gives everything; absent before the first list. */
  list(): StoredList | undefined {
    if (this.#keptAfter === undefined) return undefined;
    return { objects: [...this.#objects.values()], revision: this.#revision };
  }

  /**
   * Gives the changes after a revision, as soon as there's one or the wait is
   * over; absent when they're no longer kept.
   */
  async waitForChanges(
    afterRevision: number,
    waitMs: number,
  ): Promise<StoredChanges | undefined> {
    if (!this.#isKept(afterRevision)) return undefined;
    if (!this.#hasChange(afterRevision)) await this.#wait(waitMs);
    if (!this.#isKept(afterRevision)) return undefined;
    const changes = this.#log
      .filter(({ revision }) => revision > afterRevision)
      .flatMap((kept) => kept.changes);
    return { changes, revision: Math.max(afterRevision, this.#revision) };
  }

  #isKept(afterRevision: number): boolean {
    return this.#keptAfter !== undefined && afterRevision >= this.#keptAfter;
  }

  #hasChange(afterRevision: number): boolean {
    return this.#log.some(({ revision }) => revision > afterRevision);
  }

  #wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#waiting.add(wake);
    });
  }

  /** Answers those who wait, so that they learn how old the objects are. */
  endWaits(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}
