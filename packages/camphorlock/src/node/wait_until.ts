/**
 * Waits for a condition or a duration.
 */

const POLL_INTERVAL_MS = 50;

/** Waits until a condition holds or the time limit is reached. */
export async function waitUntil(
  isDone: () => boolean,
  limitMs: number,
): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  while (!isDone() && performance.now() < deadlineMs) {
    await waitFor(POLL_INTERVAL_MS);
  }
}

/** Waits for a duration. */
export function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
