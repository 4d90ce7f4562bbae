import { expect } from "chai";
import { FakeStore } from "../fake_store_test.ts";
import { buildGatewayStores } from "./guarded_store.ts";

const FAILING_RANK = 20;
const READS = 50;

describe("guarded store", () => {
  // While the store was away, each gateway read every kind of object again and
  // again: 1,300 of 1,687 calls in the first five seconds of an outage.
  it("holds reads back while calls fail, and lets writes pass", async () => {
    const store = new FakeStore();
    const { guarded } = buildGatewayStores(store, () => FAILING_RANK);
    store.isDown = true;
    for (let reads = 0; reads < READS; reads += 1) {
      expect((await guarded.list("targets")).isErr()).to.equal(true);
      expect((await guarded.find("accountShards", "main")).isErr())
        .to.equal(true);
      const watched = await guarded
        .watch("configuration", { afterRevision: 1, waitMs: 0 });
      expect(watched.isErr()).to.equal(true);
    }
    expect(store.calls).to.equal(2);
    await guarded.create("tokenAccounts", { name: "p", value: 1 });
    await guarded.find("tokenAccounts", "p");
    expect(store.calls).to.equal(4);
  });

  it("reads again as soon as any call succeeds", async () => {
    const store = new FakeStore();
    const { guarded } = buildGatewayStores(store, () => FAILING_RANK);
    store.isDown = true;
    await guarded.list("targets");
    await guarded.list("targets");
    store.isDown = false;
    expect((await guarded.list("targets")).isErr()).to.equal(true);
    await guarded.create("gateways", { name: "g", value: 1 });
    expect((await guarded.list("targets")).isOk()).to.equal(true);
  });
});
