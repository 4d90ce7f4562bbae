/**
 * Waiting requests that only some targets may take, none of which can now. They
 * don't hold back the others, and try again after a pause.
 */

/** Pause before such a request tries again. */
const PAUSE_MS = 25;

/** The requests that are set aside. */
export class SetAside<T> {
  readonly #entries = new Map<T, { rank: number; untilMs: number }>();

  get size(): number {
    return this.#entries.size;
  }

  has(request: T): boolean {
    return this.#entries.has(request);
  }

  add(
    request: T,
    { rank, nowMs }: { readonly rank: number; readonly nowMs: number },
  ): void {
    this.#entries.set(request, { rank, untilMs: nowMs + PAUSE_MS });
  }

  remove(request: T): boolean {
    return this.#entries.delete(request);
  }

  /** Takes those whose pause has ended, with their ranks. */
  takeDue(nowMs: number): { request: T; rank: number }[] {
    const due: { request: T; rank: number }[] = [];
    // They were added in the order in which their pauses end.
    for (const [request, { rank, untilMs }] of this.#entries) {
      if (untilMs > nowMs) break;
      due.push({ request, rank });
      this.#entries.delete(request);
    }
    return due;
  }
}
