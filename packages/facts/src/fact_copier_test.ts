import { expect } from "chai";
import { FactClient, type FactKeeper } from "./fact_client.ts";
import { FactCopier } from "./fact_copier.ts";
import type { FactAnswer, FactMessage } from "./fact_messages.ts";
import { FactPages } from "./fact_pages.ts";
import { FactTable } from "./fact_table.ts";
import { chooseKeepers, COPIES, KeeperRanking } from "./keeper_ranking.ts";

const FACTS = 100;
const LIFETIME_MS = 3_600_000;
/** Time in which a lost keeper is replaced and caught up. */
const CATCH_UP_MS = 4_000;
const TICK_MS = 150;

interface SimulatedKeeper extends FactKeeper {
  readonly table: FactTable;
  readonly pages: FactPages;
  readonly copier: FactCopier<FactKeeper>;
  isSilent: boolean;
  copies: number;
}

/** Keepers in memory, whose clock the test moves. */
class SimulatedKeepers {
  nowMs = 0;
  /** What the store lists; entries of lost keepers stay. */
  readonly listed: FactKeeper[] = [];
  readonly #running = new Map<string, SimulatedKeeper>();
  #lastId = 0;

  add(vmId = `k${this.#lastId += 1}`): SimulatedKeeper {
    const place = this.listed.find((each) => each.vmId === vmId) ?? {
      vmId,
      host: "127.0.0.1",
      port: 1,
      failureDomain: `d${this.#lastId % 3}`,
    };
    const table = new FactTable();
    const keeper: SimulatedKeeper = {
      ...place,
      table,
      pages: new FactPages(table),
      isSilent: false,
      copies: 0,
      copier: new FactCopier<FactKeeper>({
        self: place,
        probe: (other) => Promise.resolve(this.#responds(vmId, other)),
        call: (other, message) =>
          Promise.resolve(
            this.#responds(vmId, other)
              ? this.#answer(other.vmId, message)
              : undefined,
          ),
        addCopies: (facts) => table.addCopies(facts, this.nowMs).length,
        recordCopied: () => keeper.copies += 1,
        readWallClock: () => this.nowMs,
      }),
    };
    this.#running.set(vmId, keeper);
    if (!this.listed.includes(place)) this.listed.push(place);
    this.#publish();
    return keeper;
  }

  /** Ends a keeper; its memory is lost and its entry stays. */
  lose(vmId: string): void {
    this.#running.delete(vmId);
  }

  list(): SimulatedKeeper[] {
    return [...this.#running.values()];
  }

  createClient(): FactClient<FactKeeper> {
    return new FactClient({
      listKeepers: () => this.listed,
      call: (keeper, message) =>
        Promise.resolve(
          this.#responds("", keeper)
            ? this.#answer(keeper.vmId, message)
            : undefined,
        ),
    });
  }

  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      this.nowMs += TICK_MS;
      const awake = this.list().filter(({ isSilent }) => !isSilent);
      await Promise.all(
        awake.map(({ copier }) => copier.runDue(this.nowMs)),
      );
    }
  }

  async save(count: number): Promise<void> {
    const client = this.createClient();
    for (let each = 0; each < count; each += 1) {
      const key = `stream:${each}`;
      await client.save({ key, id: "x", value: "v", lifetimeMs: LIFETIME_MS });
    }
  }

  async countFound(count: number): Promise<number> {
    const client = this.createClient();
    let found = 0;
    for (let each = 0; each < count; each += 1) {
      const facts = await client.find(`stream:${each}`);
      if (facts.length === 1) found += 1;
    }
    return found;
  }

  #publish(): void {
    for (const { vmId, copier } of this.list()) {
      copier.setOthers(this.listed.filter((each) => each.vmId !== vmId));
    }
  }

  #responds(from: string, to: FactKeeper): boolean {
    const target = this.#running.get(to.vmId);
    const isCut = this.#running.get(from)?.isSilent === true;
    return target !== undefined && !target.isSilent && !isCut;
  }

  #answer(vmId: string, message: FactMessage): FactAnswer | undefined {
    const table = this.#running.get(vmId)?.table;
    if (table === undefined) return undefined;
    switch (message.kind) {
      case "save_fact":
        table.save(message.fact, this.nowMs);
        return { kind: "fact_saved" };
      case "find_facts":
        return {
          kind: "facts_found",
          facts: table.find(message.key, this.nowMs),
        };
      case "list_facts": {
        const page = this.#running.get(vmId)?.pages.list(message, this.nowMs);
        return page?.isOk()
          ? { kind: "facts_listed", ...page.value }
          : undefined;
      }
    }
  }
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_103_515_245) + 12_345) >>> 0;
    return state / 2 ** 32;
  };
}

describe("the copies of facts", () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    it(`outlast all keepers lost one after another, seed ${seed}`, async () => {
      const random = createRandom(seed);
      const keepers = new SimulatedKeepers();
      const count = 3 + Math.floor(random() * 6);
      for (let each = 0; each < count; each += 1) keepers.add();
      await keepers.run(CATCH_UP_MS);
      await keepers.save(FACTS);
      for (let loss = 0; loss < count * 2; loss += 1) {
        const running = keepers.list();
        const lost = running[Math.floor(random() * running.length)];
        keepers.lose(lost?.vmId ?? "");
        await keepers.run(random() * 2_000);
        // It's replaced at another address, or starts again as itself.
        if (random() < 0.5) keepers.add();
        else keepers.add(lost?.vmId);
        await keepers.run(CATCH_UP_MS);
      }
      expect(await keepers.countFound(FACTS)).to.equal(FACTS);
    });
  }

  it("are complete at a keeper that stood still, and made once a change", async () => {
    const keepers = new SimulatedKeepers();
    for (let each = 0; each < 3; each += 1) keepers.add();
    await keepers.run(CATCH_UP_MS);
    const [frozen, second, third] = keepers.list();
    if (frozen === undefined) throw new Error("no keeper runs");
    frozen.isSilent = true;
    await keepers.save(FACTS);
    await keepers.run(CATCH_UP_MS);
    frozen.isSilent = false;
    await keepers.run(CATCH_UP_MS);
    const copies = keepers.list().map((each) => each.copies);
    await keepers.run(CATCH_UP_MS);
    expect(keepers.list().map((each) => each.copies)).to.deep.equal(copies);
    // Either of the others may be lost now.
    const other = copies.length === 3 ? second : third;
    keepers.lose(other?.vmId ?? "");
    expect(await keepers.countFound(FACTS)).to.equal(FACTS);
  });

  it("lie where gateways look for them, in two failure domains if possible", () => {
    for (const domains of [1, 2, 3]) {
      const places = Array.from({ length: 7 }, (_, at) => ({
        vmId: `storage-${at}`,
        failureDomain: `d${at % domains}`,
      }));
      const ranking = new KeeperRanking(places);
      const held = new Map<string, number>();
      for (let key = 0; key < 700; key += 1) {
        const chosen = chooseKeepers(ranking.sort(`stream:${key}`), COPIES);
        const holders = places.filter(({ vmId }) =>
          ranking.isHolder(`stream:${key}`, vmId)
        );
        expect(holders).to.have.members(chosen);
        for (const { vmId } of holders) {
          held.set(vmId, (held.get(vmId) ?? 0) + 1);
        }
      }
      // 200 each, were the domains alike.
      for (const count of held.values()) expect(count).to.be.within(100, 320);
    }
  });

  it("are read in pages, and from the start at a source that started anew", () => {
    const table = new FactTable();
    for (let each = 0; each < 1_200; each += 1) {
      const key = `stream:${each}`;
      table.save({ key, id: "x", value: "v", lifetimeMs: LIFETIME_MS }, 0);
    }
    const pages = new FactPages(table);
    const read = (page: number) => {
      const members = [{ vmId: "k1", failureDomain: "d1" }];
      const request = { kind: "list_facts", page, members, reader: "k1" };
      return pages.list(request as never, 1);
    };
    expect(read(1).isErr()).to.equal(true);
    const sizes = [0, 1, 2].map((page) => {
      const { facts, isEnd } = read(page)._unsafeUnwrap();
      return [facts.length, isEnd];
    });
    expect(sizes).to.deep.equal([[500, false], [500, false], [200, true]]);
    expect(read(2).isErr()).to.equal(true);
  });

  // The way of a copy made it look later than the fact itself, so that each copy
  // of all was written anew.
  it("aren't new where the same fact is known, however long their way was", () => {
    const table = new FactTable();
    const fact = { key: "a:1", id: "x", value: "v", lifetimeMs: 5_000 };
    table.save(fact, 0);
    const copy = { ...fact, lifetimeMs: 4_000, ageMs: 1_000 };
    expect(table.addCopies([copy], 1_300)).to.have.length(0);
    const renewed = { ...fact, lifetimeMs: 60_000, ageMs: 0 };
    expect(table.addCopies([renewed], 1_300)).to.have.length(1);
  });

  it("don't replace a later fact, and leave out what is no fact", () => {
    const table = new FactTable();
    const fact = { key: "a:1", id: "x", value: "new", lifetimeMs: 1_000 };
    table.save(fact, 100);
    const copy = { ...fact, value: "old", ageMs: 50 };
    expect(table.addCopies([copy], 110)).to.have.length(0);
    expect(table.find("a:1", 110)[0]?.value).to.equal("new");
    const invalid = [null, {}, { ...copy, ageMs: -1 }, { ...copy, key: 1 }];
    expect(table.addCopies(invalid as never, 110)).to.have.length(0);
    expect(table.addCopies([{ ...copy, id: "y" }], 110)).to.have.length(1);
    expect(table.find("a:1", 110).find(({ id }) => id === "y")?.ageMs)
      .to.equal(50);
  });
});
