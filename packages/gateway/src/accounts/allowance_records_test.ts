import { expect } from "chai";
import { err, type Result } from "neverthrow";
import { FakeStore } from "../fake_store_test.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import type {
  ObjectKind,
  StoredObject,
  StoreFailure,
  StoreWrite,
} from "../ports.ts";
import type { AllowanceRequest } from "../decisions/allowance_write.ts";
import { AllowanceRecords } from "./allowance_records.ts";

const BUDGET_TOKENS = 1_000;
const REQUEST: AllowanceRequest = {
  programId: "p",
  budgetTokens: BUDGET_TOKENS,
  missingTokens: 100,
};

/** A store that applies every write, but loses its next `lost` responses. */
class LossyStore extends FakeStore {
  lost = 0;
  isLate = false;

  override create(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#loseResponse(super.create(kind, write));
  }

  override update(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>> {
    return this.#loseResponse(super.update(kind, write));
  }

  async #loseResponse(
    written: Promise<Result<StoredObject, StoreFailure>>,
  ): Promise<Result<StoredObject, StoreFailure>> {
    const result = await written;
    if (this.lost === 0) return result;
    this.lost -= 1;
    if (this.isLate) {
      await new Promise((resolve) => setTimeout(resolve, 1_000));
    }
    return err({ kind: "uncertain", detail: "lost" });
  }
}

function buildRecords(store: FakeStore): AllowanceRecords {
  const log = new GatewayLog({ write: (_text, done) => done() }, "test");
  return new AllowanceRecords({ store, log, metrics: new GatewayMetrics() });
}

function getAllowed(store: FakeStore): number {
  const record = store.get("tokenAccounts", "p");
  return (record as { allowedTokens: number }).allowedTokens;
}

describe("allowance records", () => {
  it("acquire no more than the budget left by the first allowance", async () => {
    const store = new FakeStore();
    const homes = [buildRecords(store), buildRecords(store)];
    let tokens = 0;
    for (let index = 0; index < 12; index += 1) {
      const acquired = await homes[index % 2]?.acquire(REQUEST);
      if (acquired?.kind === "acquired") tokens += acquired.tokens;
    }
    expect(tokens).to.be.within(400, BUDGET_TOKENS / 2);
    expect(getAllowed(store)).to.equal(BUDGET_TOKENS / 2 + tokens);
  });

  it("acquire separate allowances when several homes request them at once", async () => {
    const store = new FakeStore();
    const acquired = await Promise.all(
      Array.from({ length: 4 }, () => buildRecords(store).acquire(REQUEST)),
    );
    const tokens = acquired.map((each) =>
      each.kind === "acquired" ? each.tokens : 0
    )
      .reduce((sum, each) => sum + each, 0);
    expect(getAllowed(store)).to.equal(BUDGET_TOKENS / 2 + tokens);
  });

  it("find a write whose response was lost, and count it once", async () => {
    const store = new LossyStore();
    const records = buildRecords(store);
    store.lost = 1;
    expect((await records.acquire(REQUEST)).kind).to.equal("unavailable");
    const allowed = getAllowed(store);
    await new Promise((resolve) => setTimeout(resolve, 600));
    const acquired = await records.acquire(REQUEST);
    expect(acquired).to.deep
      .equal({ kind: "acquired", tokens: allowed - BUDGET_TOKENS / 2 });
    expect(getAllowed(store)).to.equal(allowed);
  });

  it("hedge a write whose response is late", async () => {
    const store = new LossyStore();
    store.lost = 1;
    store.isLate = true;
    const startedAtMs = performance.now();
    const acquired = await buildRecords(store).acquire(REQUEST);
    expect(acquired.kind).to.equal("acquired");
    expect(performance.now() - startedAtMs).to.be.below(500);
    const tokens = acquired.kind === "acquired" ? acquired.tokens : 0;
    expect(getAllowed(store)).to.equal(BUDGET_TOKENS / 2 + tokens);
  });

  it("acquire nothing from a program that was stopped", async () => {
    const store = new FakeStore();
    await buildRecords(store).saveSpent("p", BUDGET_TOKENS);
    expect(await buildRecords(store).acquire(REQUEST))
      .to.deep.equal({ kind: "exhausted", isSpent: true });
  });

  it("acquire nothing when another writer's record is malformed", async () => {
    const store = new FakeStore();
    store.put("tokenAccounts", "p", "unreadable");
    expect((await buildRecords(store).acquire(REQUEST)).kind)
      .to.equal("unavailable");
  });

  it("acquire nothing while the store is unavailable", async () => {
    const store = new FakeStore();
    store.isDown = true;
    expect((await buildRecords(store).acquire(REQUEST)).kind)
      .to.equal("unavailable");
  });
});
