/**
 * The attempts that ended recently, so that none is granted a slot again.
 */
import type { AttemptId } from "@camphorlock/types";

const MAX_ATTEMPTS = 512;

/** A bounded set of attempts; the oldest is evicted first. */
export class RecentAttempts {
  readonly #attempts = new Set<AttemptId>();

  /** Adds an attempt. */
  add(attemptId: AttemptId): void {
    this.#attempts.add(attemptId);
    if (this.#attempts.size <= MAX_ATTEMPTS) return;
    const oldest = this.#attempts.values().next().value;
    if (oldest !== undefined) this.#attempts.delete(oldest);
  }

  /** Whether the attempt ended recently. */
  has(attemptId: AttemptId): boolean {
    return this.#attempts.has(attemptId);
  }
}
