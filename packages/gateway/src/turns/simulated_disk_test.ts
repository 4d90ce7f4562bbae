import {
  type AppendResult,
  createIdentity,
  type DiskCaller,
  type DiskIdentity,
  DiskMember,
  type DiskMessage,
  type DiskRegistry,
  type DiskResponse,
  DiskService,
  type KeptTurn,
  restoreTable,
  TurnTable,
} from "@camphorlock/turns";

export const TOLERANCE = { disks: 1, failureDomains: 0, regions: 0 };
const SYNC_MS = 5;
const LOG = { write: () => {} };

/** A rule that is taken out, to see that the check notices. */
export type PlantedFault =
  | "none"
  | "turns are acknowledged before the sync"
  | "a wiped disk counts as complete"
  | "a retiring disk doesn't wait for copies"
  | "turns are saved on as many disks as may be lost"
  | "a disk's copies aren't made again after a wipe";

/** What a disk's process meets outside itself. */
export interface DiskSurroundings {
  readonly fault: PlantedFault;
  readonly registry: DiskRegistry;
  buildCaller(from: SimulatedDisk): DiskCaller;
}

/** One VM with a disk, whose process may stop and whose disk may be lost. */
export class SimulatedDisk {
  readonly vmId: string;
  durable: { turn: KeptTurn; segment: number }[] = [];
  identity: DiskIdentity;
  service: DiskService | undefined;
  member: DiskMember | undefined;
  isCutOff = false;
  isRemoved = false;
  isRetiring = false;
  /** Rises with each start, so that work of an earlier process is dropped. */
  life = 0;
  readonly #simulation: DiskSurroundings;

  constructor(vmId: string, simulation: DiskSurroundings, isFirst: boolean) {
    this.vmId = vmId;
    this.#simulation = simulation;
    this.identity = createIdentity(isFirst);
  }

  get isUp(): boolean {
    return this.service !== undefined;
  }

  start(): void {
    if (this.isRemoved || this.isUp) return;
    this.life += 1;
    const { fault } = this.#simulation;
    const table = new TurnTable();
    restoreTable(table, this.durable, performance.now());
    const life = this.life;
    const service = new DiskService({
      log: LOG,
      maxTableBytes: 1_000_000,
      files: {
        bytes: 0,
        oldestClosed: undefined,
        remove: () => Promise.resolve(),
        append: (turns) => this.#append(turns, life),
      },
    }, table);
    this.service = service;
    const [failureDomain, region] = this.vmId.split("-");
    const member = new DiskMember({
      place: {
        vmId: this.vmId,
        host: this.vmId,
        port: 1,
        failureDomain: failureDomain ?? "",
        region: region ?? "",
      },
      tolerance: TOLERANCE,
      service,
      registry: this.#simulation.registry,
      caller: fault === "a disk's copies aren't made again after a wipe"
        ? buildEmptyCaller(this.#simulation.buildCaller(this))
        : this.#simulation.buildCaller(this),
      log: LOG,
      saveIdentity: (identity) => {
        if (this.life === life) this.identity = identity;
        return Promise.resolve();
      },
    }, this.identity);
    this.member = member;
    if (fault === "a retiring disk doesn't wait for copies") {
      Object.defineProperty(service.table, "size", { value: 0 });
    }
    if (this.isRetiring) member.startRetirement();
  }

  stop(): void {
    this.service = undefined;
    this.member = undefined;
    this.life += 1;
  }

  wipe(): void {
    const isUp = this.isUp;
    this.stop();
    this.durable = [];
    this.identity = createIdentity(
      this.#simulation.fault === "a wiped disk counts as complete",
    );
    if (isUp) this.start();
  }

  async handle(message: DiskMessage): Promise<DiskResponse | undefined> {
    const { service, member, life } = this;
    if (service === undefined || member === undefined) return undefined;
    const answer = await service.handleMessage(message);
    if (this.life !== life) return undefined;
    const { diskId, isComplete } = member;
    // On the wire, values are copied.
    return structuredClone({ diskId, isComplete, answer });
  }

  async #append(
    turns: readonly KeptTurn[],
    life: number,
  ): Promise<AppendResult> {
    const isEarly =
      this.#simulation.fault === "turns are acknowledged before the sync";
    const sync = waitFor(SYNC_MS).then(() => {
      if (this.life !== life) return;
      for (const turn of turns) this.durable.push({ turn, segment: 1 });
    });
    if (!isEarly) await sync;
    return { kind: "durable", segment: 1 };
  }
}

/** A caller whose pages of turns are empty. */
function buildEmptyCaller(caller: DiskCaller): DiskCaller {
  return {
    call: async (disk, message, timeoutMs) => {
      const response = await caller.call(disk, message, timeoutMs);
      if (response?.answer.kind !== "listed") return response;
      return { ...response, answer: { ...response.answer, turns: [] } };
    },
  };
}

export function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
