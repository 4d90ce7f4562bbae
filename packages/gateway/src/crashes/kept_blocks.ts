/**
 * Keeps what is blocked in the memory of the VMs with disks, for gateways that
 * start when no other one is left to tell them.
 */
import type { FactClient, FactKeeper, FoundFact } from "@camphorlock/facts";
import type { BlockedRequest } from "../model/crash_report.ts";

/** One key for all, so that one search finds them. */
export const KEPT_BLOCKS_KEY = "blocked:all";
/** How long it's kept that a request was let in again early. */
const LET_IN_LIFETIME_MS = 600_000;

/** Blocked requests at the keepers of facts. */
export class KeptBlocks {
  readonly #facts: Pick<FactClient<FactKeeper>, "save" | "find">;

  constructor(facts: Pick<FactClient<FactKeeper>, "save" | "find">) {
    this.#facts = facts;
  }

  /** Saves what is blocked or let in again. Never rejects. */
  save(notices: readonly BlockedRequest[]): void {
    for (const notice of notices) {
      const { fingerprint, leftMs } = notice;
      void this.#facts.save({
        key: KEPT_BLOCKS_KEY,
        id: fingerprint,
        value: JSON.stringify(notice),
        lifetimeMs: leftMs > 0 ? leftMs : LET_IN_LIFETIME_MS,
      });
    }
  }

  /** Loads what was saved, also what was let in again. Never rejects. */
  async load(): Promise<BlockedRequest[]> {
    return (await this.#facts.find(KEPT_BLOCKS_KEY)).map(buildNotice);
  }
}

function buildNotice({ value, ageMs }: FoundFact): BlockedRequest {
  const notice: BlockedRequest = JSON.parse(value);
  return {
    ...notice,
    leftMs: notice.leftMs - ageMs,
    firstCrashAgeMs: notice.firstCrashAgeMs + ageMs,
  };
}
