/**
 * Waits for the signal to stop.
 */

/** Waits for SIGINT or SIGTERM. */
export function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.once(signal, () => resolve(signal));
    }
  });
}
