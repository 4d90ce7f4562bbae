/**
 * Waits for the signals that stop a process.
 */

/** Waits for SIGINT or SIGTERM. */
export function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.once(signal, () => resolve(signal));
    }
  });
}
