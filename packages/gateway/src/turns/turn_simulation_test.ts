import {
  type DiskCaller,
  type DiskInfo,
  type KeptTurn,
  TurnClient,
} from "@camphorlock/turns";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import {
  type PlantedFault,
  SimulatedDisk,
  TOLERANCE,
  waitFor,
} from "./simulated_disk_test.ts";

const DELAY_MS = 4;
const TICK_MS = 150;
const RETENTION_MS = 60_000;
const DEADLINE_MS = 1_500;

/** Gateways and disks whose steps a seed chooses. */
export class TurnSimulation {
  readonly fault: PlantedFault;
  readonly trace: string[] = [];
  readonly time: VirtualTime;
  /** Turns whose saving was confirmed. */
  readonly acknowledged: KeptTurn[] = [];
  /** Confirmed turns that a gateway was told don't exist. */
  readonly denied: string[] = [];
  readonly registered = new Map<string, DiskInfo>();
  isRegistryAway = false;
  readonly registry = {
    list: () =>
      this.#callRegistry<readonly DiskInfo[] | undefined>(
        () => [...this.registered.values()],
        undefined,
      ),
    save: (disk: DiskInfo) =>
      this.#callRegistry(() => {
        this.registered.set(disk.vmId, disk);
        return true;
      }, false),
    remove: (vmId: string) =>
      this.#callRegistry(() => {
        this.registered.delete(vmId);
        return true;
      }, false),
  };
  readonly #disks: SimulatedDisk[] = [];
  readonly #client: TurnClient;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  /** The gateways' view of the disks, which lags behind the registry. */
  #view: readonly DiskInfo[] = [];
  #lastTurn = 0;

  constructor(seed: number, fault: PlantedFault) {
    this.fault = fault;
    this.time = new VirtualTime();
    this.#random = xoroshiro128plus(seed);
    const places = ["a1-a", "b1-b", "c1-c", "a2-a"];
    for (const vmId of places) this.#addDisk(vmId, true);
    const isTooFew =
      fault === "turns are saved on as many disks as may be lost";
    this.#client = new TurnClient({
      caller: this.buildCaller(undefined),
      region: "a",
      tolerance: isTooFew ? { ...TOLERANCE, disks: 0 } : TOLERANCE,
      listDisks: () => this.#view,
      loadDisks: () => this.registry.list(),
    });
  }

  /** Builds a caller whose messages take a while and may be lost. */
  buildCaller(from: SimulatedDisk | undefined): DiskCaller {
    return {
      call: async ({ vmId }, message, timeoutMs) => {
        const disk = this.#disks.find((each) => each.vmId === vmId);
        const isLost = disk === undefined || disk.isCutOff ||
          from?.isCutOff === true;
        if (isLost) {
          await waitFor(timeoutMs);
          return undefined;
        }
        await waitFor(DELAY_MS);
        const response = await disk.handle(structuredClone(message));
        await waitFor(DELAY_MS);
        return disk.isCutOff ? undefined : response;
      },
    };
  }

  /** Runs random steps, then heals everything and reads every turn. */
  async run(steps: number): Promise<readonly string[]> {
    await this.#settle(1_000);
    for (let at = 0; at < steps; at += 1) await this.#runStep();
    await this.#heal();
    const missing: string[] = [];
    for (const turn of this.acknowledged) {
      const loaded = await this.#load(turn.id);
      const found = loaded?.kind === "found" ? loaded.chain.at(-1) : undefined;
      if (found?.input.equals(turn.input) !== true) missing.push(turn.id);
    }
    return [...new Set([...missing, ...this.denied])];
  }

  close(): void {
    this.time.restore();
  }

  async #runStep(): Promise<void> {
    switch (this.#choose(16)) {
      case 0:
        return await this.#stopDisk();
      case 1:
        return this.#start();
      case 2:
        return this.#wipeDisk();
      case 3:
        return await this.#stopAll();
      case 4:
        return this.#cutDisk();
      case 5:
        return this.#retireDisk();
      case 6:
        this.isRegistryAway = !this.isRegistryAway;
        this.trace.push(`registry away ${this.isRegistryAway}`);
        return;
      case 7:
        this.#view = [...this.registered.values()];
        return;
      case 8:
        return await this.#checkLoad();
      case 9:
        return await this.#settle(this.#choose(3_000));
      default:
        return await this.#saveTurn();
    }
  }

  async #saveTurn(): Promise<void> {
    const parent = this.#choose(3) === 0
      ? undefined
      : this.acknowledged[this.#choose(this.acknowledged.length)];
    const chain = parent === undefined ? [] : this.#buildChain(parent);
    this.#lastTurn += 1;
    const id = `t${this.#lastTurn}`;
    const turn: KeptTurn = {
      id,
      parentId: parent?.id,
      input: Buffer.from(`input of ${id}`),
      output: Buffer.from(`output of ${id}`),
      targetId: "",
      retentionMs: RETENTION_MS * 100,
      endedAtMs: performance.now(),
    };
    const saved = this.#client.save([...chain, turn], {
      key: "p",
      deadlineMs: performance.now() + DEADLINE_MS,
    });
    // A loss may strike while the turn is being saved.
    const isCrossed = this.#choose(4) === 0;
    if (isCrossed) {
      await this.#settle(this.#choose(20));
      await this.#stopAll();
    }
    const isSaved = await this.#wait(saved);
    this.trace.push(`save ${id}: ${isSaved}`);
    if (isSaved === true) this.acknowledged.push(turn);
    if (isSaved === true && this.#choose(3) === 0) await this.#stopAll();
  }

  async #checkLoad(): Promise<void> {
    const turn = this.acknowledged[this.#choose(this.acknowledged.length)];
    if (turn === undefined) return;
    const loaded = await this.#load(turn.id);
    if (loaded?.kind !== "absent") return;
    this.trace.push(`denied ${turn.id}`);
    this.denied.push(turn.id);
  }

  #load(turnId: string): Promise<
    Awaited<ReturnType<TurnClient["load"]>> | undefined
  > {
    return this.#wait(this.#client.load(turnId, {
      key: "p",
      deadlineMs: performance.now() + DEADLINE_MS,
    }));
  }

  #buildChain(turn: KeptTurn): KeptTurn[] {
    const parent = this.acknowledged.find(({ id }) => id === turn.parentId);
    return parent === undefined ? [turn] : [...this.#buildChain(parent), turn];
  }

  async #stopDisk(): Promise<void> {
    const disk = this.#disks[this.#choose(this.#disks.length)];
    this.trace.push(`power off ${disk?.vmId}`);
    disk?.stop();
    await this.#settle(this.#choose(200));
  }

  async #stopAll(): Promise<void> {
    this.trace.push("power off all");
    for (const disk of this.#disks) disk.stop();
    await this.#settle(this.#choose(100));
    this.#start();
  }

  #start(): void {
    for (const disk of this.#disks) disk.start();
  }

  /** Loses a disk, if no other is lost and not yet replaced. */
  #wipeDisk(): void {
    const canLose = this.#disks.every((disk) =>
      disk.isRemoved || disk.identity.isComplete && !disk.isRetiring
    );
    const disk = this.#disks[this.#choose(this.#disks.length)];
    if (!canLose || disk === undefined) return;
    if (disk.isRemoved || !disk.identity.isComplete) return;
    this.trace.push(`wipe ${disk.vmId}`);
    disk.wipe();
  }

  #cutDisk(): void {
    const disk = this.#disks[this.#choose(this.#disks.length)];
    if (disk === undefined) return;
    disk.isCutOff = !disk.isCutOff;
    this.trace.push(`cut ${disk.vmId} ${disk.isCutOff}`);
  }

  #retireDisk(): void {
    const left = this.#disks.filter((disk) =>
      !disk.isRemoved && !disk.isRetiring
    );
    const disk = left[this.#choose(left.length)];
    if (left.length <= 3 || disk === undefined) return;
    this.trace.push(`retire ${disk.vmId}`);
    disk.isRetiring = true;
    disk.member?.startRetirement();
  }

  async #heal(): Promise<void> {
    this.isRegistryAway = false;
    for (const disk of this.#disks) disk.isCutOff = false;
    this.#start();
    await this.#settle(10_000);
    this.#view = [...this.registered.values()];
  }

  #addDisk(vmId: string, isFirst: boolean): void {
    const disk = new SimulatedDisk(vmId, this, isFirst);
    this.#disks.push(disk);
    disk.start();
  }

  async #callRegistry<T>(act: () => T, away: T): Promise<T> {
    await waitFor(DELAY_MS);
    return this.isRegistryAway ? away : act();
  }

  /** Lets time pass; disks do their periodic work. */
  async #settle(durationMs: number): Promise<void> {
    const endMs = this.time.nowMs + durationMs;
    let isDone = false;
    const end = waitFor(durationMs).then(() => isDone = true);
    await this.#runUntil(() => isDone || this.time.nowMs > endMs + TICK_MS);
    await end;
  }

  async #wait<T>(promise: Promise<T>): Promise<T | undefined> {
    let result: { value: T } | undefined;
    void promise.then((value) => result = { value });
    await this.#runUntil(() => result !== undefined);
    return result?.value;
  }

  async #runUntil(isDone: () => boolean): Promise<void> {
    let nextTickMs = this.time.nowMs;
    while (!isDone()) {
      if (this.time.nowMs >= nextTickMs) {
        nextTickMs = this.time.nowMs + TICK_MS;
        this.#tick();
        void waitFor(TICK_MS);
      }
      await settleCallbacks();
      if (isDone()) return;
      this.time.nextStep?.run();
      await settleCallbacks();
    }
  }

  #tick(): void {
    const registered = [...this.registered.values()];
    for (const disk of this.#disks) {
      if (!this.isRegistryAway) disk.member?.setDisks(registered);
      void disk.member?.runNext();
      if (disk.member?.isEmptied !== true) continue;
      // The platform removes an emptied VM at once, with its disk.
      this.trace.push(`removed ${disk.vmId}`);
      disk.isRemoved = true;
      disk.stop();
      disk.durable = [];
    }
  }

  #choose(limit: number): number {
    return limit <= 0 ? 0 : uniformInt(this.#random, 0, limit - 1);
  }
}

/** Runs all pending promise callbacks. */
function settleCallbacks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
