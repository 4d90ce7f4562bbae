/**
 * Pending confirmations that an owner's epoch is still current, oldest first.
 */

/** A pending confirmation and when it was requested. */
export interface PendingConfirmation {
  readonly token: number;
  readonly requestedAtMs: number;
}

/** The pending confirmations of one owned shard. */
export class PendingConfirmations {
  #confirmations: PendingConfirmation[] = [];

  /** The token of the newest confirmation; zero if there is none. */
  get newestToken(): number {
    return this.#confirmations.at(-1)?.token ?? 0;
  }

  /** When the oldest one was requested; infinite if there is none. */
  get requestedAtMs(): number {
    return this.#confirmations[0]?.requestedAtMs ?? Number.POSITIVE_INFINITY;
  }

  /** Adds a confirmation, whose token is higher than those before. */
  add(confirmation: PendingConfirmation): void {
    this.#confirmations.push(confirmation);
  }

  /** Removes the confirmations before a token and returns their tokens. */
  takeBefore(token: number): number[] {
    const removed = this.#confirmations.filter((each) => each.token < token);
    this.#confirmations = this.#confirmations.slice(removed.length);
    return removed.map((each) => each.token);
  }

  /** Removes every confirmation. */
  removeAll(): void {
    this.#confirmations = [];
  }
}
