import { expect } from "chai";
import type { KeptTurn } from "../model/kept_turn.ts";
import type { DiskInfo } from "../model/turn_disk.ts";
import { countRequiredSources, isAbsenceProven } from "./absence.ts";
import { countMaxLost, hasEnoughCopies, sortDisks } from "./disk_choice.ts";
import { restoreTable } from "./restore_table.ts";
import { RETENTION_MARGIN_MS, TurnTable } from "./turn_table.ts";

const TOLERANCE = { disks: 1, failureDomains: 0, regions: 0 };

function buildDisk(vmId: string, place = "a"): DiskInfo {
  return {
    vmId,
    host: "127.0.0.1",
    port: 1,
    failureDomain: place,
    region: place.slice(0, 1),
    diskId: `disk of ${vmId}`,
    isRetiring: false,
  };
}

function buildTurn(id: string, change: Partial<KeptTurn> = {}): KeptTurn {
  return {
    id,
    parentId: undefined,
    input: Buffer.from(id),
    output: Buffer.alloc(0),
    targetId: "",
    retentionMs: 1_000,
    endedAtMs: 0,
    ...change,
  };
}

const DISKS = [
  buildDisk("1", "a1"),
  buildDisk("2", "b1"),
  buildDisk("3", "c1"),
];

function answer(disks: readonly DiskInfo[], isComplete = true) {
  return disks.map(({ diskId }) => ({ diskId, isComplete }));
}

describe("the disks of a chain", () => {
  it("begin with the region's, each failure domain once", () => {
    const disks = [
      buildDisk("1", "b1"),
      buildDisk("2", "a1"),
      buildDisk("3", "a1"),
      buildDisk("4", "a2"),
      buildDisk("5", "b2"),
    ];
    for (const key of ["p", "q", "r", "s"]) {
      const places = sortDisks(disks, { key, region: "a" })
        .map(({ failureDomain }) => failureDomain);
      expect(places.slice(0, 2).sort()).to.deep.equal(["a1", "a2"]);
      expect(places.slice(2, 4).sort()).to.deep.equal(["b1", "b2"]);
      expect(places[4]).to.equal("a1");
    }
  });

  it("are enough when the tolerated losses leave one", () => {
    expect(hasEnoughCopies(DISKS.slice(0, 1), TOLERANCE)).to.equal(false);
    expect(hasEnoughCopies(DISKS.slice(0, 2), TOLERANCE)).to.equal(true);
    const domains = { disks: 1, failureDomains: 1, regions: 0 };
    const near = [buildDisk("1", "a1"), buildDisk("2", "a1")];
    expect(hasEnoughCopies(near, TOLERANCE)).to.equal(true);
    expect(hasEnoughCopies(near, domains)).to.equal(false);
    const same = [DISKS[0], DISKS[0]] as DiskInfo[];
    expect(hasEnoughCopies(same, TOLERANCE)).to.equal(false);
  });

  it("may be lost together with their failure domain", () => {
    const near = [
      buildDisk("1", "a1"),
      buildDisk("2", "a1"),
      ...DISKS.slice(2),
    ];
    expect(countMaxLost(near, TOLERANCE)).to.equal(1);
    expect(countMaxLost(near, { ...TOLERANCE, failureDomains: 1 }))
      .to.equal(2);
  });
});

describe("the absence of a turn", () => {
  const options = { disks: DISKS, tolerance: TOLERANCE };

  it("is proven by all complete disks but those that may be lost", () => {
    expect(isAbsenceProven(answer(DISKS.slice(1)), options)).to.equal(true);
    expect(isAbsenceProven(answer(DISKS.slice(2)), options)).to.equal(false);
  });

  it("isn't proven by new, wiped or unregistered disks", () => {
    const wiped = answer(DISKS.slice(0, 2), false);
    expect(isAbsenceProven([...wiped, ...answer(DISKS.slice(2))], options))
      .to.equal(false);
    const strangers = answer([buildDisk("8"), buildDisk("9")]);
    expect(isAbsenceProven(strangers, options)).to.equal(false);
    expect(isAbsenceProven([], { ...options, disks: [] })).to.equal(false);
  });

  it("can be proven by a wiped disk once it has copied the others", () => {
    const others = DISKS.slice(1);
    const wiped = { hasPredecessor: true, tolerance: TOLERANCE };
    expect(countRequiredSources(others, wiped)).to.equal(2);
    const added = { hasPredecessor: false, tolerance: TOLERANCE };
    expect(countRequiredSources(others, added)).to.equal(1);
    expect(countRequiredSources(DISKS, added)).to.equal(2);
  });
});

describe("the table of turns", () => {
  it("keeps the ancestors of a turn as long as the turn", () => {
    const table = new TurnTable();
    table.add(buildTurn("t1"), 1);
    table.add(buildTurn("t2", { parentId: "t1", endedAtMs: 900 }), 1);
    table.add(buildTurn("t3", { parentId: "t2", endedAtMs: 60_000 }), 1);
    table.removeExpired(60_000 + RETENTION_MARGIN_MS);
    expect(table.findChain("t3")?.map(({ id }) => id))
      .to.deep.equal(["t1", "t2", "t3"]);
    table.removeExpired(61_001 + RETENTION_MARGIN_MS);
    expect(table.size).to.equal(0);
    expect(table.bytes).to.equal(0);
  });

  it("takes several turns that continue one, and no turn without parent", () => {
    const table = new TurnTable();
    table.add(buildTurn("t1"), 1);
    expect(table.canAdd(buildTurn("x", { parentId: "t0" }))).to.equal(false);
    table.add(buildTurn("t2", { parentId: "t1" }), 1);
    table.add(buildTurn("t3", { parentId: "t1" }), 1);
    expect(table.add(buildTurn("t3", { parentId: "t1" }), 1)).to.equal(false);
    expect(table.findChain("t2")).to.have.length(2);
    expect(table.findChain("t3")).to.have.length(2);
    expect(table.findChain("t9")).to.equal(undefined);
  });

  it("lists turns in pages, parents before children", () => {
    const table = new TurnTable();
    for (let at = 1; at <= 10; at += 1) {
      const parentId = at === 1 ? undefined : `t${at - 1}`;
      table.add(buildTurn(`t${at}`, { parentId, input: Buffer.alloc(100) }), 1);
    }
    const ids: string[] = [];
    let sequence = 0;
    for (;;) {
      const page = table.listAfter(sequence, 250);
      ids.push(...page.turns.map(({ id }) => id));
      sequence = page.lastSequence;
      if (page.isEnd) break;
    }
    expect(ids).to.deep.equal(
      Array.from({ length: 10 }, (_, at) => `t${at + 1}`),
    );
    expect(table.listAfter(sequence, 250).turns).to.deep.equal([]);
  });

  it("is restored although a parent's record comes after its child's", () => {
    const table = new TurnTable();
    const orphans = restoreTable(table, [
      { turn: buildTurn("t2", { parentId: "t1" }), segment: 2 },
      { turn: buildTurn("t1"), segment: 3 },
      { turn: buildTurn("t8", { parentId: "t7" }), segment: 3 },
      {
        turn: buildTurn("t6", { parentId: "t5", endedAtMs: -9_000 }),
        segment: 1,
      },
    ], 500);
    expect(table.findChain("t2")).to.have.length(2);
    // One that needn't be kept any longer isn't damage.
    expect(orphans).to.deep.equal(["t8"]);
  });

  it("isn't caught in a cycle of a damaged file", () => {
    const table = new TurnTable();
    const orphans = restoreTable(table, [
      { turn: buildTurn("t1", { parentId: "t2" }), segment: 1 },
      { turn: buildTurn("t2", { parentId: "t1" }), segment: 1 },
    ], 500);
    expect(orphans).to.deep.equal(["t1", "t2"]);
    expect(table.size).to.equal(0);
  });
});
