import { expect } from "chai";
import type {
  DiskInfo,
  DiskMessage,
  DiskResponse,
  EncodedTurn,
} from "@camphorlock/turns";
import { DiskGrantRecords } from "./grant_records.ts";

/** Disks in memory. */
class FakeDisks {
  readonly list: DiskInfo[] = [];
  readonly turns = new Map<string, Map<string, EncodedTurn>>();
  readonly silent = new Set<string>();
  registryReads = 0;
  isRegistryDown = false;

  add(vmId: string): void {
    this.list.push({
      vmId,
      host: vmId,
      port: 1,
      failureDomain: vmId,
      region: "north",
      diskId: `disk ${vmId}`,
      isRetiring: false,
    });
    this.turns.set(vmId, new Map());
  }

  call(
    { vmId, diskId }: DiskInfo,
    message: DiskMessage,
  ): Promise<DiskResponse | undefined> {
    const turns = this.turns.get(vmId);
    if (turns === undefined || this.silent.has(vmId)) {
      return Promise.resolve(undefined);
    }
    const answer = (): DiskResponse["answer"] => {
      if (message.kind === "save_turns") {
        const [first] = message.turns;
        const { parentId } = first ?? {};
        if (parentId !== undefined && !turns.has(parentId)) {
          return { kind: "needs_chain" };
        }
        for (const turn of message.turns) turns.set(turn.id, turn);
        return { kind: "saved" };
      }
      if (message.kind !== "load_chain") throw new Error(message.kind);
      const chain: EncodedTurn[] = [];
      let next = turns.get(message.turnId);
      if (next === undefined) return { kind: "absent" };
      for (; next !== undefined; next = turns.get(next.parentId ?? "")) {
        chain.unshift(next);
      }
      return { kind: "found", turns: chain };
    };
    return Promise.resolve({ diskId, isComplete: true, answer: answer() });
  }
}

describe("the records of first allowances on disks", () => {
  let disks: FakeDisks;
  let records: DiskGrantRecords;

  beforeEach(() => {
    disks = new FakeDisks();
    for (const vmId of ["a", "b", "c"]) disks.add(vmId);
    records = build();
  });

  function build(): DiskGrantRecords {
    return new DiskGrantRecords({
      caller: disks,
      region: "north",
      tolerance: { disks: 1, failureDomains: 0, regions: 0 },
      listDisks: () => disks.list,
      loadDisks: () => {
        disks.registryReads += 1;
        return Promise.resolve(disks.isRegistryDown ? undefined : disks.list);
      },
    });
  }

  function find(programId: string): Promise<number | undefined> {
    const nowMs = performance.now();
    return records.find(programId, {
      registeredAtMs: 0,
      deadlineMs: nowMs + 100,
    });
  }

  function save(programId: string, parts: number): Promise<boolean> {
    return records.save(programId, parts, performance.now() + 100);
  }

  it("are found by another process, each part after the one before", async () => {
    for (const parts of [1, 3]) {
      expect(await save("p", parts)).to.equal(true);
      records = build();
      expect(await find("p")).to.equal(parts);
    }
    expect(await find("q")).to.equal(0);
  });

  // A VM with a disk that is down must not cost new programs their budget.
  it("are found, and found absent, while one disk is lost", async () => {
    await save("p", 2);
    for (const lost of ["a", "b", "c"]) {
      disks.silent.clear();
      disks.silent.add(lost);
      expect(await find("p"), lost).to.equal(2);
      expect(await find("q"), lost).to.equal(0);
    }
  });

  it("aren't found absent while two disks are lost", async () => {
    disks.silent.add("a").add("b");
    expect(await find("q")).to.equal(undefined);
  });

  it("aren't confirmed by one disk alone", async () => {
    disks.silent.add("a").add("b");
    expect(await save("p", 1)).to.equal(false);
  });

  // Calls to the store are priced: none for each program.
  it("cost one read of the registry for all programs", async () => {
    for (let at = 0; at < 20; at += 1) await find(`p${at}`);
    expect(disks.registryReads).to.equal(1);
  });

  it("rely on a registry that was read after the earlier holder's end", async () => {
    await find("p");
    const registeredAtMs = performance.now();
    await records.find("q", {
      registeredAtMs,
      deadlineMs: registeredAtMs + 100,
    });
    expect(disks.registryReads).to.equal(2);
  });

  it("read the registry rarely while the store is away", async () => {
    disks.isRegistryDown = true;
    for (let at = 0; at < 5; at += 1) {
      expect(await find(`p${at}`)).to.equal(undefined);
    }
    expect(disks.registryReads).to.be.at.most(2);
  });

  // A store that answers late must not make holders seem lost.
  it("aren't waited for beyond the time of a request", async () => {
    const load = disks.list;
    let answer = (): void => {};
    records = new DiskGrantRecords({
      caller: disks,
      region: "north",
      tolerance: { disks: 1, failureDomains: 0, regions: 0 },
      listDisks: () => disks.list,
      loadDisks: () => new Promise((resolve) => answer = () => resolve(load)),
    });
    const startedAtMs = performance.now();
    expect(await find("p")).to.equal(undefined);
    expect(performance.now() - startedAtMs).to.be.lessThan(300);
    answer();
    expect(await find("p")).to.equal(0);
  });

  it("don't confuse programs whose ids aren't ids of turns", async () => {
    await save("a b/c", 1);
    expect(await find("a b/c")).to.equal(1);
    expect(await find("a b")).to.equal(0);
    expect(await find("x".repeat(500))).to.equal(0);
  });
});
