import { expect } from "chai";
import fc from "fast-check";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  statSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { isDeepStrictEqual } from "node:util";
import type { KeptTurn } from "../model/kept_turn.ts";
import { checkFolder } from "./check_folder.ts";
import { createIdentity, loadIdentity, saveIdentity } from "./disk_identity.ts";
import { loadMark } from "./durable_mark.ts";
import { encodeRecord, readRecords } from "./record_format.ts";
import { type Recovery, restoreSegments } from "./restore_segments.ts";
import { TurnLog } from "./turn_log.ts";
import { readClock, TurnRecordEncoder } from "./turn_records.ts";

const MAX_BYTES = 50_000_000;
const SHARED_BYTES = 12_600;

function buildTurn(id: string, change: Partial<KeptTurn> = {}): KeptTurn {
  return {
    id,
    parentId: undefined,
    input: Buffer.from(`input of ${id}`),
    output: Buffer.from(`output of ${id}\n`),
    targetId: "i-1",
    retentionMs: 60_000,
    endedAtMs: performance.now(),
    ...change,
  };
}

describe("the log of a disk", () => {
  let folder: string;
  let logs: TurnLog[];

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "turns-"));
    logs = [];
  });

  afterEach(async () => {
    for (const log of logs) await log.close();
    rmSync(folder, { recursive: true, force: true });
  });

  function openLog(recovery?: Recovery, maxBytes = MAX_BYTES): TurnLog {
    const segments = new Map(
      recovery?.segments.map(({ number, bytes }) => [number, bytes]),
    );
    const log = new TurnLog({ folder, maxBytes, segments });
    logs.push(log);
    return log;
  }

  function recover(): Promise<Recovery> {
    return restoreSegments(folder, { clock: readClock(), isSealing: true });
  }

  function listIds({ segments }: Recovery): string[] {
    return segments.flatMap(({ turns }) => turns.map(({ id }) => id));
  }

  /** Waits for the mark, which is saved after the turns were acknowledged. */
  async function waitForMark(segment = 1): Promise<void> {
    while (((await loadMark(folder))?.segment ?? 0) < segment) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  function getLastPath(): string {
    const names = readdirSync(folder).filter((name) => name.endsWith(".log"));
    return join(folder, names.sort().at(-1) ?? "");
  }

  it("gives back what it acknowledged, over several starts", async () => {
    for (let start = 0; start < 3; start += 1) {
      const log = openLog(await recover());
      const appended = await log.append([
        buildTurn(`t${start}`, { parentId: start > 0 ? "t0" : undefined }),
      ]);
      expect(appended.kind).to.equal("durable");
    }
    const recovery = await recover();
    expect(listIds(recovery)).to.deep.equal(["t0", "t1", "t2"]);
    expect(recovery.damage).to.deep.equal([]);
    const [first] = recovery.segments[0]?.turns ?? [];
    expect(first?.input.toString()).to.equal("input of t0");
    expect(first?.output.toString()).to.equal("output of t0\n");
    expect(first?.parentId).to.equal(undefined);
  });

  it("writes waiting turns together", async () => {
    const log = openLog();
    const turns = Array.from({ length: 50 }, (_, at) => buildTurn(`t${at}`));
    const results = await Promise.all(turns.map((turn) => log.append([turn])));
    expect(results.every(({ kind }) => kind === "durable")).to.equal(true);
    expect(listIds(await recover())).to.have.length(50);
  });

  it("stores what first turns share once a file", async () => {
    const shared = Buffer.alloc(SHARED_BYTES, "shared instructions ");
    const log = openLog();
    for (let at = 0; at < 20; at += 1) {
      const input = Buffer.concat([shared, Buffer.from(`question ${at}`)]);
      await log.append([buildTurn(`t${at}`, { input })]);
    }
    expect(log.bytes).to.be.lessThan(SHARED_BYTES * 4);
    const recovery = await recover();
    const last = recovery.segments[0]?.turns.at(-1);
    expect(last?.input.subarray(0, SHARED_BYTES).equals(shared)).to.equal(true);
    expect(last?.input.subarray(SHARED_BYTES).toString())
      .to.equal("question 19");
  });

  it("discards a torn last write and nothing before it", async () => {
    const log = openLog();
    await log.append([buildTurn("t1")]);
    const { size } = statSync(getLastPath());
    await log.append([buildTurn("t2")]);
    truncateSync(getLastPath(), size + 20);
    const recovery = await recover();
    expect(listIds(recovery)).to.deep.equal(["t1"]);
    expect(recovery.discardedBytes).to.equal(20);
    expect(recovery.damage).to.deep.equal([]);
    // The file now ends as one that was written to its end.
    await openLog(recovery).append([buildTurn("t3")]);
    const again = await recover();
    expect(listIds(again)).to.deep.equal(["t1", "t3"]);
    expect(again.damage).to.deep.equal([]);
  });

  it("distinguishes damage before later writes from a torn end", async () => {
    const log = openLog();
    for (let at = 0; at < 20; at += 1) await log.append([buildTurn(`t${at}`)]);
    const path = getLastPath();
    const intact = readFileSync(path);
    await waitForMark();
    rmSync(join(folder, "synced.json"));
    for (let at = 100; at < intact.length; at += 41) {
      const bytes = Buffer.from(intact);
      bytes[at] = (bytes[at] ?? 0) ^ 1;
      writeFileSync(path, bytes);
      const { damage, segments } = await restoreSegments(folder, {
        clock: readClock(),
        isSealing: false,
      });
      const isInLastWrite = at > intact.lastIndexOf("write");
      // At most the turns of the write with the damage are missing.
      expect(segments[0]?.turns.length, `byte ${at}`).to.be.at.least(19);
      expect(damage.length, `byte ${at}`).to.equal(isInLastWrite ? 0 : 1);
    }
    // Recovery leaves a trace, and so finds the damage again.
    const bytes = Buffer.from(intact);
    bytes[200] = (bytes[200] ?? 0) ^ 1;
    writeFileSync(path, bytes);
    expect((await recover()).damage).to.have.length(1);
    await openLog(await recover()).append([buildTurn("later")]);
    expect((await recover()).damage).to.have.length(1);
    expect(listIds(await recover())).to.include("later");
  }).timeout(60_000);

  it("doesn't go on reading at bytes that imitate a record", async () => {
    const log = openLog();
    const fake = Buffer.concat([
      encodeRecord({ kind: "write", nonce: "guessed", at: 0 }),
      new TurnRecordEncoder().encode(buildTurn("fake"), readClock()),
    ]);
    await log.append([buildTurn("t1", { output: fake })]);
    await log.append([buildTurn("t2")]);
    const bytes = readFileSync(getLastPath());
    const at = bytes.indexOf("guessed") - 60;
    bytes[at] = (bytes[at] ?? 0) ^ 1;
    writeFileSync(getLastPath(), bytes);
    const recovery = await recover();
    expect(listIds(recovery)).to.deep.equal(["t2"]);
    expect(recovery.damage).to.have.length(1);
  });

  it("reports a last file that is shorter than what was synced, or gone", async () => {
    await openLog().append([buildTurn("t1"), buildTurn("t2")]);
    await waitForMark();
    const path = getLastPath();
    truncateSync(path, statSync(path).size - 30);
    const cut = await restoreSegments(folder, {
      clock: readClock(),
      isSealing: false,
    });
    expect(cut.damage).to.have.length(1);
    expect(cut.damage[0]).to.match(/synced/);
    rmSync(path);
    expect((await recover()).damage[0]).to.match(/segment 1 is missing/);
  });

  it("takes a removed segment for no damage", async () => {
    await openLog().append([buildTurn("t1")]);
    await waitForMark();
    const log = openLog(await recover());
    await log.remove(1);
    expect((await recover()).damage).to.deep.equal([]);
  });

  it("reads files of the first version, and finds damage in them", async () => {
    const encoder = new TurnRecordEncoder();
    const turns = ["t1", "t2", "t3"].map((id) =>
      encoder.encode(buildTurn(id), readClock())
    );
    const head = encodeRecord({ kind: "head", version: 1 });
    const path = join(folder, "turns-0000000001.log");
    const bytes = Buffer.concat([head, ...turns]);
    writeFileSync(path, bytes);
    const options = { clock: readClock(), isSealing: false };
    const intact = await restoreSegments(folder, options);
    expect(listIds(intact)).to.deep.equal(["t1", "t2", "t3"]);
    expect(intact.damage).to.deep.equal([]);
    const at = head.length + (turns[0]?.length ?? 0) + 40;
    bytes[at] = (bytes[at] ?? 0) ^ 1;
    writeFileSync(path, bytes);
    expect((await restoreSegments(folder, options)).damage).to.have.length(1);
  });

  it("reports damage in a file that was written to its end", async () => {
    await openLog().append([buildTurn("t1")]);
    const first = getLastPath();
    await openLog(await recover()).append([buildTurn("t2")]);
    // A mark of the first file would be a second proof of the damage.
    await waitForMark(2);
    const bytes = readFileSync(first);
    bytes[30] = (bytes[30] ?? 0) ^ 1;
    writeFileSync(first, bytes);
    const { damage } = await recover();
    expect(damage).to.have.length(1);
    expect(damage[0]).to.match(/segment 1/);
  });

  it("reports a missing file between others", async () => {
    await openLog().append([buildTurn("t1")]);
    await openLog(await recover()).append([buildTurn("t2")]);
    const second = getLastPath();
    await openLog(await recover()).append([buildTurn("t3")]);
    rmSync(second);
    expect((await recover()).damage).to.deep.equal([
      "segments 2 to 2 are missing",
    ]);
  });

  it("refuses turns beyond the bound of the disk", async () => {
    const log = openLog(undefined, 400);
    expect((await log.append([buildTurn("t1")])).kind).to.equal("durable");
    const big = buildTurn("t2", { input: Buffer.alloc(500) });
    expect(await log.append([big])).to.deep.equal({
      kind: "refused",
      reason: "full",
    });
  });

  it("goes on in a new file after a failed write", async () => {
    const log = openLog();
    await log.append([buildTurn("t1")]);
    // A file in place of the folder makes the next segment fail.
    const lost = new TurnLog({
      folder: join(folder, "absent"),
      maxBytes: MAX_BYTES,
      segments: new Map(),
    });
    expect((await lost.append([buildTurn("t2")])).kind).to.equal("failed");
    expect((await lost.append([buildTurn("t3")])).kind).to.equal("failed");
    expect((await log.append([buildTurn("t4")])).kind).to.equal("durable");
  });

  it("never reads a record that wasn't written, wherever bytes change", () => {
    const encoder = new TurnRecordEncoder();
    const written = ["t1", "t2", "t3"].map((id) =>
      encoder.encode(buildTurn(id), readClock())
    );
    const bytes = Buffer.concat(written);
    const intact = readRecords(bytes).records;
    fc.assert(fc.property(
      fc.nat(bytes.length - 1),
      fc.integer({ min: 1, max: 255 }),
      fc.nat(bytes.length),
      (at, flip, length) => {
        const torn = Buffer.from(bytes.subarray(0, length));
        if (at < torn.length) torn[at] = (torn[at] ?? 0) ^ flip;
        // Each record that is read was written, in the same order.
        let from = 0;
        for (const record of readRecords(torn).records) {
          const found = intact.findIndex((each, index) =>
            index >= from && isDeepStrictEqual(each, record)
          );
          expect(found).to.be.at.least(from);
          from = found + 1;
        }
      },
    ));
  });

  it("ends at a payload of another format", () => {
    const bytes = encodeRecord({ kind: "seal" });
    expect(readRecords(bytes).records).to.have.length(1);
    const strange = encodeRecord({} as never);
    expect(readRecords(Buffer.concat([bytes, strange])).readableBytes)
      .to.equal(bytes.length);
  });

  it("knows its identity, and that a wiped folder has none", async () => {
    expect(await loadIdentity(folder)).to.equal(undefined);
    const identity = createIdentity(true);
    await saveIdentity(folder, identity);
    expect(await loadIdentity(folder)).to.deep.equal(identity);
    writeFileSync(join(folder, "disk.json"), '{"diskId":');
    expect(await loadIdentity(folder)).to.equal(undefined);
  });

  it("is checked offline without being changed", async () => {
    const log = openLog();
    await log.append([buildTurn("t1"), buildTurn("t2", { parentId: "t1" })]);
    await log.append([buildTurn("t4", { parentId: "t3" })]);
    const before = readFileSync(getLastPath());
    const report = await checkFolder(folder);
    expect(report).to.include({ turns: 3, chains: 1, unfinishedBytes: 0 });
    expect(report.orphans).to.deep.equal(["t4"]);
    expect(readFileSync(getLastPath()).equals(before)).to.equal(true);
  });
});
