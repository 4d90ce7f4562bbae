/**
 * Listens at an address that another process may still hold, or that the VM is
 * only about to get.
 *
 * A process may be started while the former one still finishes its requests;
 * both have the same addresses. A start that failed at once would be repeated,
 * and each repetition may count as an end of the process.
 */
import { setTimeout as waitFor } from "node:timers/promises";

const WAITED_FOR = ["EADDRINUSE", "EADDRNOTAVAIL"];
const RETRY_MS = 100;

/** How long to wait for the address. */
export interface ServeLimits {
  readonly limitMs: number;
  /** Called once if the address isn't free. */
  readonly reportWait: (detail: string) => void;
}

/**
 * Calls `serve`, which listens, until its address is free. Rejects with its
 * error if that takes too long, or if it has another reason.
 */
export async function serveWhenFree(
  serve: () => Promise<void>,
  { limitMs, reportWait }: ServeLimits,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  for (let attempt = 1;; attempt += 1) {
    try {
      return await serve();
    } catch (error) {
      const { code = "" } = error as NodeJS.ErrnoException;
      if (!WAITED_FOR.includes(code) || performance.now() > endMs) throw error;
      if (attempt === 1) reportWait(String(error));
      await waitFor(RETRY_MS);
    }
  }
}
