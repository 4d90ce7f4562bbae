/**
 * Waits for a condition or a time.
 */

const POLL_MS = 50;

/** Waits until a condition holds or the time is up. */
export async function waitUntil(
  isDone: () => boolean,
  limitMs: number,
): Promise<void> {
  const untilMs = performance.now() + limitMs;
  while (!isDone() && performance.now() < untilMs) {
    await waitFor(POLL_MS);
  }
}

/** Waits for a time. */
export function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
