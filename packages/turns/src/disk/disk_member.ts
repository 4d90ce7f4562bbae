/**
 * A disk's membership: registers it, copies turns to it, and empties it.
 *
 * A new or wiped disk copies the turns of the others, so that lost copies are
 * made again; until then its word that a turn is absent proves nothing. A disk
 * that is to be emptied takes no turns, waits until enough others have copied
 * what it holds, and removes its entry.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { DiskCaller } from "../client/disk_links.ts";
import { countRequiredSources } from "../decisions/absence.ts";
import { hasEnoughCopies } from "../decisions/disk_choice.ts";
import type { DiskLog } from "../disk_log.ts";
import type { DiskIdentity } from "../files/disk_identity.ts";
import type { DiskInfo, LossTolerance } from "../model/turn_disk.ts";
import type { DiskService } from "./disk_service.ts";
import { TurnCopier } from "./turn_copier.ts";

/** Where disks are registered. Its promises never reject. */
export interface DiskRegistry {
  /** Reads the registered disks; undefined if the registry is away. */
  list(): Promise<readonly DiskInfo[] | undefined>;
  /** Registers a disk or replaces its entry; false if that isn't certain. */
  save(disk: DiskInfo): Promise<boolean>;
  /** Removes an entry; false if that isn't certain. */
  remove(vmId: string): Promise<boolean>;
}

/** Dependencies of the membership. */
export interface DiskMemberDependencies {
  /** The disk's address and place. */
  readonly place: Omit<DiskInfo, "diskId" | "isRetiring">;
  readonly tolerance: LossTolerance;
  readonly service: DiskService;
  readonly registry: DiskRegistry;
  readonly caller: DiskCaller;
  readonly log: DiskLog;
  /** Makes the identity durable. */
  readonly saveIdentity: (identity: DiskIdentity) => Promise<void>;
}

/** One disk's membership. */
export class DiskMember {
  readonly #dependencies: DiskMemberDependencies;
  readonly #copier: TurnCopier;
  #identity: DiskIdentity;
  #disks: readonly DiskInfo[] = [];
  #isRegistered = false;
  #isRetiring = false;
  #isEmptied = false;
  #isWorking = false;

  constructor(dependencies: DiskMemberDependencies, identity: DiskIdentity) {
    this.#dependencies = dependencies;
    this.#identity = identity;
    this.#copier = new TurnCopier({ ...dependencies, identity });
  }

  /** Whether the disk still holds everything that it ever acknowledged. */
  get isComplete(): boolean {
    return this.#identity.isComplete;
  }

  get diskId(): string {
    return this.#identity.diskId;
  }

  /** Whether the disk was emptied and its entry removed. */
  get isEmptied(): boolean {
    return this.#isEmptied;
  }

  /** Applies the registered disks, as watched. */
  setDisks(disks: readonly DiskInfo[]): void {
    this.#disks = disks;
    const own = disks.find(({ vmId }) => vmId === this.#self.vmId);
    this.#isRegistered = own !== undefined && isSameDisk(own, this.#self);
  }

  /** Begins to empty the disk. */
  startRetirement(): void {
    if (this.#isRetiring) return;
    this.#isRetiring = true;
    this.#isRegistered = false;
    this.#dependencies.service.setRetiring();
  }

  /** Does the membership's next work. Never rejects. */
  async runNext(): Promise<void> {
    if (this.#isWorking || this.#isEmptied) return;
    this.#isWorking = true;
    try {
      if (!this.#isRegistered) await this.#register();
      await this.#copier.copyFrom(this.#listSources());
      if (!this.isComplete) await this.#settleCopies();
      if (this.#isRetiring) await this.#endRetirement();
    } catch (error) {
      this.#dependencies.log.write(EVENTS.DiskFailed, {
        detail: `membership: ${String(error)}`,
      });
    } finally {
      this.#isWorking = false;
    }
  }

  get #self(): DiskInfo {
    return {
      ...this.#dependencies.place,
      diskId: this.#identity.diskId,
      isRetiring: this.#isRetiring,
    };
  }

  get #others(): DiskInfo[] {
    return this.#disks.filter(({ vmId }) => vmId !== this.#self.vmId);
  }

  /** Lists the disks whose turns are copied to this one. */
  #listSources(): DiskInfo[] {
    if (this.#isRetiring) return [];
    return this.#others.filter(({ isRetiring }) =>
      isRetiring || !this.isComplete
    );
  }

  async #register(): Promise<void> {
    const { registry, saveIdentity, log } = this.#dependencies;
    const listed = await registry.list();
    if (listed === undefined) return;
    const before = listed.find(({ vmId }) => vmId === this.#self.vmId);
    if (before !== undefined && before.diskId !== this.diskId) {
      this.#identity = { ...this.#identity, hasPredecessor: true };
      await saveIdentity(this.#identity);
    }
    const isCurrent = before !== undefined && isSameDisk(before, this.#self);
    if (!isCurrent && !await registry.save(this.#self)) return;
    this.#disks = [
      ...listed.filter(({ vmId }) => vmId !== this.#self.vmId),
      this.#self,
    ];
    this.#isRegistered = true;
    log.write(EVENTS.DiskRegistered, {
      disk: this.diskId,
      complete: this.isComplete,
      predecessor: before?.diskId,
      others: this.#others.length,
    });
  }

  async #settleCopies(): Promise<void> {
    const { saveIdentity, tolerance, log, service } = this.#dependencies;
    if (!this.#isRegistered) return;
    const { hasPredecessor } = this.#identity;
    const needed = countRequiredSources(this.#others, {
      hasPredecessor,
      tolerance,
    });
    const sources = this.#copier.countComplete(this.#others);
    if (sources < needed) return;
    const identity = { ...this.#identity, isComplete: true };
    await saveIdentity(identity);
    this.#identity = identity;
    log.write(EVENTS.DiskComplete, {
      disk: this.diskId,
      sources,
      needed,
      turns: service.table.size,
    });
  }

  async #endRetirement(): Promise<void> {
    const { registry, service, tolerance, log } = this.#dependencies;
    if (!this.#isRegistered || !service.isIdle || !this.isComplete) return;
    const caughtUp = service.listCaughtUp();
    const copies = this.#others.filter(({ diskId, isRetiring }) =>
      !isRetiring && caughtUp.includes(diskId)
    );
    const isEmpty = service.table.size === 0;
    if (!isEmpty && !hasEnoughCopies(copies, tolerance)) return;
    if (!await registry.remove(this.#self.vmId)) return;
    this.#isEmptied = true;
    log.write(EVENTS.DiskEmptied, {
      disk: this.diskId,
      turns: service.table.size,
      copies: copies.map(({ vmId }) => vmId),
    });
  }
}

function isSameDisk(a: DiskInfo, b: DiskInfo): boolean {
  return a.diskId === b.diskId && a.host === b.host && a.port === b.port &&
    a.isRetiring === b.isRetiring;
}
