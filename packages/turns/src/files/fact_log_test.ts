import {
  appendFile,
  mkdtemp,
  readdir,
  readFile,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import type { CopiedFact } from "@camphorlock/facts";
import { type FactLog, openFactLog } from "./fact_log.ts";

function buildFact(id: string, change: Partial<CopiedFact> = {}): CopiedFact {
  const base = { key: "stream:a", id, value: "v", lifetimeMs: 1_000, ageMs: 0 };
  return { ...base, ...change };
}

describe("the facts on a disk", () => {
  let folder: string;
  let unixMs: number;
  let known: CopiedFact[];
  let failures: string[];
  let logs: FactLog[];

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "facts-"));
    unixMs = 1_700_000_000_000;
    known = [];
    failures = [];
    logs = [];
  });

  afterEach(async () => {
    for (const log of logs) await log.close();
  });

  async function openLog(
    listFacts = () => known,
  ): ReturnType<typeof openFactLog> {
    const opened = await openFactLog({
      folder,
      listFacts,
      reportFailure: (detail) => failures.push(detail),
      readUnixMs: () => unixMs,
    });
    logs.push(opened.log);
    return opened;
  }

  async function write(log: FactLog, ...facts: CopiedFact[]): Promise<void> {
    for (const fact of facts) log.append(fact);
    await log.flush();
  }

  async function listPaths(): Promise<string[]> {
    return (await readdir(folder)).map((name) => join(folder, name));
  }

  it("are there after a restart, with what is left of their life", async () => {
    const { log } = await openLog();
    await write(log, buildFact("x"), buildFact("y", { lifetimeMs: 200 }));
    await write(log, buildFact("z", { ageMs: 100 }));
    unixMs += 300;
    const { facts } = await openLog();
    expect(facts.map(({ id }) => id)).to.deep.equal(["x", "z"]);
    expect(facts[0]).to.include({ lifetimeMs: 700, ageMs: 300 });
    expect(facts[1]).to.include({ lifetimeMs: 700, ageMs: 400 });
  });

  it("don't last longer when the clock was set back", async () => {
    const { log } = await openLog();
    await write(log, buildFact("x"));
    unixMs -= 60_000;
    expect((await openLog()).facts[0]).to.include({ lifetimeMs: 1_000 });
  });

  it("leave out a line that was torn or damaged", async () => {
    const { log } = await openLog();
    await write(log, buildFact("x"), buildFact("y"), buildFact("z"));
    const [path = ""] = await listPaths();
    const text = await readFile(path, "utf8");
    await writeFile(path, text.replace('"id":"y"', '"id":"q"'));
    await appendFile(path, text.slice(0, 40));
    const { facts } = await openLog();
    expect(facts.map(({ id }) => id)).to.deep.equal(["x", "z"]);
  });

  it("are written anew after a restart, and earlier files removed", async () => {
    const first = await openLog();
    await write(first.log, buildFact("x"));
    const second = await openLog();
    known = [...second.facts];
    await write(second.log, buildFact("y"));
    expect(await listPaths()).to.have.length(1);
    const { facts } = await openLog();
    expect(facts.map(({ id }) => id)).to.deep.equal(["x", "y"]);
  });

  it("take a bounded part of the disk", async () => {
    const { log } = await openLog();
    const value = "v".repeat(500);
    for (let round = 0; round < 40; round += 1) {
      const facts = Array.from(
        { length: 1_000 },
        (_, at) => buildFact(`${round}-${at}`, { value }),
      );
      await write(log, ...facts);
    }
    const [path = "", ...others] = await listPaths();
    expect(others).to.deep.equal([]);
    expect((await readFile(path)).length).to.be.below(10 * 1_024 * 1_024);
  });

  it("are dropped, and that is said once, while the disk can't take them", async () => {
    const { log } = await openLog();
    const value = "v".repeat(500);
    for (let each = 0; each < 5_000; each += 1) {
      log.append(buildFact(`${each}`, { value }));
    }
    expect(failures).to.have.length(1);
    const broken = await openLog(() => {
      throw new Error("ENOSPC");
    });
    for (let each = 0; each < 3; each += 1) {
      await write(broken.log, buildFact("x"));
    }
    expect(failures).to.have.length(2);
  });
});
