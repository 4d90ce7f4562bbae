/**
 * The attempts that ended here lately, so that none is granted again.
 */
import type { AttemptId } from "@camphorlock/types";

const MOST_ATTEMPTS = 512;

/** A bounded set of attempts; the oldest is forgotten first. */
export class RecentAttempts {
  readonly #attempts = new Set<AttemptId>();

  /** Adds an attempt. */
  add(attemptId: AttemptId): void {
    this.#attempts.add(attemptId);
    if (this.#attempts.size <= MOST_ATTEMPTS) return;
    const oldest = this.#attempts.values().next().value;
    if (oldest !== undefined) this.#attempts.delete(oldest);
  }

  /** Whether the attempt is among them. */
  has(attemptId: AttemptId): boolean {
    return this.#attempts.has(attemptId);
  }
}
