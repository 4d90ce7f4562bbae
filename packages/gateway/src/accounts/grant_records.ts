/**
 * Records on disks which parts of first allowances were granted, so that the
 * next holder of a shard can tell them from those that nobody was granted.
 *
 * A part is kept as a turn without content whose parent is the part before, on
 * as many disks as the tolerated losses require. So its copies, their renewal
 * after a loss, and the proof that there is none are those of kept turns. The
 * number of store calls doesn't depend on the number of programs: the registry
 * of disks is read once after a holder was replaced.
 */
import { createHash } from "node:crypto";
import { setTimeout as waitFor } from "node:timers/promises";
import {
  type DiskCaller,
  type DiskInfo,
  type KeptTurn,
  type LossTolerance,
  TurnClient,
} from "@camphorlock/turns";
import {
  FIRST_ALLOWANCE_PARTS,
  MAX_PROGRAM_LIFETIME_MS,
} from "../decisions/first_allowances.ts";
import { RESERVED_TURN_PREFIX } from "../turns/reserved_turns.ts";

/** Longest wait for the registry; a later answer serves the next request. */
const REGISTRY_TIMEOUT_MS = 60;
/** Pause after a failed read of the registry. */
const REGISTRY_BACKOFF_MS = 500;
/** Age at which the registry is read again if the disks don't suffice. */
const REGISTRY_MAX_AGE_MS = 1_000;

/** Where grants are recorded. Its promises never reject. */
export interface GrantRecords {
  /** Whether enough disks are registered to record a grant. */
  readonly canSave: boolean;
  /** Records all parts up to a number; true once the record is durable. */
  save(
    programId: string,
    parts: number,
    deadlineMs: number,
  ): Promise<boolean>;
  /**
   * Finds how many parts were recorded; undefined if the disks that could tell
   * don't respond by the deadline. Relies on the disks that were registered at
   * `registeredAtMs` or later, times of the monotonic clock.
   */
  find(
    programId: string,
    times: { readonly registeredAtMs: number; readonly deadlineMs: number },
  ): Promise<number | undefined>;
}

/** Dependencies of the records. */
export interface DiskGrantRecordsDependencies {
  readonly caller: DiskCaller;
  readonly region: string;
  readonly tolerance: LossTolerance;
  /** The registered disks, as last watched. */
  readonly listDisks: () => readonly DiskInfo[];
  /** Reads the registered disks from the store; undefined if it's away. */
  readonly loadDisks: () => Promise<readonly DiskInfo[] | undefined>;
}

interface LoadedRegistry {
  readonly disks: readonly DiskInfo[];
  /** When the read began. */
  readonly readAtMs: number;
}

/** The records on the VMs with disks. */
export class DiskGrantRecords implements GrantRecords {
  readonly #client: TurnClient;
  readonly #loadDisks: DiskGrantRecordsDependencies["loadDisks"];
  #registry: LoadedRegistry | undefined;
  #pendingRead: Promise<readonly DiskInfo[] | undefined> | undefined;
  #registeredAtMs = Number.NEGATIVE_INFINITY;
  #failedAtMs = Number.NEGATIVE_INFINITY;

  constructor(dependencies: DiskGrantRecordsDependencies) {
    this.#loadDisks = dependencies.loadDisks;
    this.#client = new TurnClient({
      ...dependencies,
      loadDisks: () => this.#findRegistry(),
    });
  }

  get canSave(): boolean {
    return this.#client.canSave;
  }

  save(
    programId: string,
    parts: number,
    deadlineMs: number,
  ): Promise<boolean> {
    const nowMs = performance.now();
    const chain = Array.from(
      { length: parts },
      (_, index) => buildRecord(programId, index + 1, nowMs),
    );
    return this.#client.save(chain, { key: programId, deadlineMs });
  }

  async find(
    programId: string,
    { registeredAtMs, deadlineMs }: {
      readonly registeredAtMs: number;
      readonly deadlineMs: number;
    },
  ): Promise<number | undefined> {
    this.#registeredAtMs = Math.max(this.#registeredAtMs, registeredAtMs);
    for (let parts = 0; parts < FIRST_ALLOWANCE_PARTS; parts += 1) {
      const id = buildRecordId(programId, parts + 1);
      const options = { key: programId, deadlineMs };
      const loaded = await this.#client.load(id, options);
      switch (loaded.kind) {
        case "found":
          break;
        case "absent":
          return parts;
        case "unknown":
          this.#removeOldRegistry();
          return undefined;
      }
    }
    return FIRST_ALLOWANCE_PARTS;
  }

  /**
   * Finds the registry as of the required time or later. A disk that is
   * registered later holds no grant of a process that had ended before.
   */
  async #findRegistry(): Promise<readonly DiskInfo[] | undefined> {
    const known = this.#registry;
    if (known !== undefined && known.readAtMs >= this.#registeredAtMs) {
      return known.disks;
    }
    if (performance.now() - this.#failedAtMs < REGISTRY_BACKOFF_MS) {
      return undefined;
    }
    this.#pendingRead ??= this.#readRegistry()
      .finally(() => this.#pendingRead = undefined);
    return await Promise.race([
      this.#pendingRead,
      waitFor(REGISTRY_TIMEOUT_MS, undefined, { ref: false }),
    ]);
  }

  async #readRegistry(): Promise<readonly DiskInfo[] | undefined> {
    const readAtMs = performance.now();
    const disks = await this.#loadDisks();
    if (disks === undefined) this.#failedAtMs = performance.now();
    else this.#registry = { disks, readAtMs };
    return disks;
  }

  /** A disk may have been replaced since the registry was read. */
  #removeOldRegistry(): void {
    const readAtMs = this.#registry?.readAtMs ?? Number.POSITIVE_INFINITY;
    if (performance.now() - readAtMs > REGISTRY_MAX_AGE_MS) {
      this.#registry = undefined;
    }
  }
}

function buildRecord(
  programId: string,
  part: number,
  nowMs: number,
): KeptTurn {
  return {
    id: buildRecordId(programId, part),
    parentId: part === 1 ? undefined : buildRecordId(programId, part - 1),
    input: Buffer.alloc(0),
    output: Buffer.alloc(0),
    targetId: "",
    retentionMs: MAX_PROGRAM_LIFETIME_MS,
    endedAtMs: nowMs,
  };
}

/** Program ids may have characters and lengths that ids of turns haven't. */
function buildRecordId(programId: string, part: number): string {
  const hash = createHash("sha256").update(programId).digest("hex");
  return `${RESERVED_TURN_PREFIX}${hash}.${part}`;
}
