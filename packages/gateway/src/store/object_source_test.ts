import { expect } from "chai";
import { ok } from "neverthrow";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import type { ObjectStore, StoredChange } from "../ports.ts";
import { StoreSource } from "./object_source.ts";

const WAIT_MS = 1_000;
const CHANGE: StoredChange = {
  object: { name: "main", revision: 9, value: 1, status: null },
  isRemoved: false,
};

describe("the age of what the store answers", () => {
  let time: VirtualTime;

  beforeEach(() => {
    time = new VirtualTime();
  });

  afterEach(() => time.restore());

  /** Watches once; the store answers after what `pass` does to the clocks. */
  async function measureAge(
    changes: readonly StoredChange[],
    pass: () => void,
    isBound = true,
  ): Promise<number> {
    const store = {
      watch: () => {
        pass();
        return Promise.resolve(ok({ changes, revision: 9 }));
      },
    } as Partial<ObjectStore> as ObjectStore;
    const source = new StoreSource(store, {
      getWaitMs: () => WAIT_MS,
      needsAgeBound: () => isBound,
    });
    const result = await source.watch("configuration", 8);
    return result._unsafeUnwrap().ageMs;
  }

  it("is about 0 when a watch ends without changes at its wait", async () => {
    expect(await measureAge([], () => time.advance(WAIT_MS))).to.be.below(5);
    // The store's timer may fire a little early.
    expect(await measureAge([], () => time.advance(WAIT_MS - 1)))
      .to.be.below(5);
  });

  // It counted as 0, so that a copy looked younger by the whole delay.
  it("includes the delay of a response without changes", async () => {
    expect(await measureAge([], () => time.advance(WAIT_MS + 390)))
      .to.be.within(390, 395);
  });

  // The response waits in the VM's socket while the VM is suspended.
  it("includes a suspension during a watch without changes", async () => {
    const age = await measureAge([], () => {
      time.advance(WAIT_MS);
      time.suspend(20_000);
    });
    expect(age).to.be.within(20_000, 20_005);
  });

  // With it, gateways would read their lists at a store that is slow already.
  it("leaves a slow response out where it needn't be a bound", async () => {
    expect(await measureAge([], () => time.advance(WAIT_MS + 390), false))
      .to.equal(0);
    expect(await measureAge([], () => time.advance(WAIT_MS - 300), false))
      .to.equal(0);
    const suspended = await measureAge([], () => {
      time.advance(WAIT_MS);
      time.suspend(20_000);
    }, false);
    expect(suspended).to.be.within(20_000, 20_005);
  });

  // A store that ends a watch early answered at any time since the call.
  it("is that of the whole call when the watch ended before its wait", async () => {
    expect(await measureAge([], () => time.advance(700))).to.equal(700);
  });

  it("is that of the whole call when there are changes", async () => {
    expect(await measureAge([CHANGE], () => time.advance(WAIT_MS + 100)))
      .to.equal(WAIT_MS + 100);
  });
});
