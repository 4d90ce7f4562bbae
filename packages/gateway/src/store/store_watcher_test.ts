import { EVENTS } from "@camphorlock/codes/events";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { GatewayLog } from "../log.ts";
import { type Renewal, StoreWatcher } from "./store_watcher.ts";

const AFTER_MS = 1_000;

describe("store watcher", () => {
  let time: VirtualTime;
  let lines: string[];
  let log: GatewayLog;

  beforeEach(() => {
    time = new VirtualTime();
    lines = [];
    log = new GatewayLog({
      write: (text, done) => {
        lines.push(text);
        done();
      },
    }, "test");
  });

  afterEach(() => time.restore());

  /** Starts a watcher whose watch never responds. */
  async function startWatcher(readList: Renewal["readList"]) {
    const unreachable: boolean[] = [];
    const watcher = new StoreWatcher({
      source: {
        list: () =>
          Promise.resolve(
            ok({
              value: { objects: [], revision: 5 },
              ageMs: 0,
              source: "store",
            }),
          ),
        watch: () => new Promise(() => {}),
      },
      log,
      kind: "targets",
      objects: {
        setAll: (_objects, origin) => unreachable.push(origin.wasUnreachable),
        applyChange: () => {},
      },
      renewal: { afterMs: AFTER_MS, readList },
    });
    void watcher.run();
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
    return { watcher, unreachable };
  }

  function listAt(revision: number) {
    const value = { objects: [], revision };
    return Promise.resolve(ok({ value, ageMs: 0, source: "store" }));
  }

  it("reads objects that weren't confirmed in time, and only then", async () => {
    let reads = 0;
    const { watcher } = await startWatcher(() => {
      reads += 1;
      return listAt(6);
    });
    await watcher.renewOverdue(time.nowMs);
    expect(reads).to.equal(0);
    time.advance(AFTER_MS);
    await watcher.renewOverdue(time.nowMs);
    await watcher.renewOverdue(time.nowMs);
    expect(reads).to.equal(1);
    expect(watcher.cache.revision).to.equal(6);
  });

  it("takes the store for lost after a failed read, not after a skipped one", async () => {
    const results = [
      () => Promise.resolve(undefined),
      () => listAt(6),
      () =>
        Promise.resolve(err({ kind: "uncertain" as const, detail: "silent" })),
      () => listAt(7),
    ];
    const { watcher, unreachable } = await startWatcher(() =>
      results.shift()?.() ?? listAt(8)
    );
    for (let read = 0; read < 4; read += 1) {
      time.advance(AFTER_MS);
      await watcher.renewOverdue(time.nowMs);
    }
    // The first list of the start, then one for each read that succeeded.
    expect(unreachable).to.deep.equal([false, false, true]);
    log.flush();
    const lost = lines.join("").split("\n")
      .filter((line) => line.includes(EVENTS.StoreLost.name));
    expect(lost).to.have.length(1);
  });

  // Applying a list of 100,000 keys takes a while, and the VM may be suspended
  // meanwhile: a copy that began its age afterwards looked younger.
  it("counts the time in which a list is applied into its age", async () => {
    const watcher = new StoreWatcher({
      source: {
        list: () => listAt(5),
        watch: () => new Promise(() => {}),
      },
      log,
      kind: "configuration",
      objects: {
        setAll: () => {
          time.advance(150);
          time.suspend(9_000);
        },
        applyChange: () => {},
      },
    });
    void watcher.run();
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
    expect(watcher.computeAgeMs()).to.equal(9_150);
  });

  it("ignores an older list", async () => {
    const { watcher, unreachable } = await startWatcher(() => listAt(4));
    time.advance(AFTER_MS);
    await watcher.renewOverdue(time.nowMs);
    expect(unreachable).to.deep.equal([false]);
    expect(watcher.cache.revision).to.equal(5);
  });
});
