import { expect } from "chai";
import { TargetTable } from "../decisions/target_table.ts";
import type { Target } from "../model/target.ts";
import { StreamStart } from "./stream_start.ts";

function buildTarget(change: Partial<Target>): Target {
  return {
    id: "t1",
    service: "s",
    host: "10.0.0.1",
    port: 80,
    failureDomain: "a",
    state: "ready",
    version: "v1",
    slots: 4,
    startedAtMs: Date.now() - 60_000,
    ...change,
  };
}

describe("where a stream may go on", () => {
  let table: TargetTable;
  const first = buildTarget({});

  beforeEach(() => {
    table = new TargetTable();
    table.set(first);
    table.set(buildTarget({ id: "t2" }));
    table.set(buildTarget({ id: "t3", version: "v2" }));
    table.set(buildTarget({ id: "t4", version: undefined }));
    table.set(buildTarget({ id: "t5", service: "other" }));
  });

  function listIds(start: StreamStart): string[] {
    const all = table.listIds().flatMap((id) => table.find(id) ?? []);
    return start.filterTargets(all, table).map(({ target }) => target.id);
  }

  it("is anywhere before it has begun", () => {
    expect(listIds(new StreamStart())).to.have.length(5);
  });

  it("is at the version of its first event, whatever sends the others", () => {
    const start = new StreamStart();
    start.recordFirstEvent(first);
    // The entry of its target may be late.
    expect(listIds(start)).to.deep.equal(["t1"]);
    expect(start.recordVersion()?.version).to.equal("v1");
    expect(start.hasBegun).to.equal(true);
    expect(listIds(start)).to.deep.equal(["t1", "t2"]);
  });

  it("is at the version that a caller's attempt began", () => {
    const start = new StreamStart({ service: "s", version: "v2" });
    expect(start.hasBegun).to.equal(true);
    expect(start.recordVersion()).to.equal(undefined);
    expect(listIds(start)).to.deep.equal(["t3"]);
  });

  it("is only at the same process when that states no version", () => {
    const start = new StreamStart();
    const unknown = buildTarget({ id: "t4", version: undefined });
    start.recordFirstEvent(table.find("t4")?.target ?? unknown);
    expect(start.recordVersion()).to.equal(undefined);
    expect(listIds(start)).to.deep.equal(["t4"]);
  });

  it("is nowhere if the target had started again with another version", () => {
    const start = new StreamStart();
    start.recordFirstEvent(first);
    start.recordVersion();
    table.set({ ...first, version: "v2", startedAtMs: Date.now() - 100 });
    expect(listIds(start)).to.deep.equal([]);
  });

  it("is as before if the target starts again later", () => {
    const start = new StreamStart();
    start.recordFirstEvent(first);
    start.recordVersion();
    table.set({ ...first, version: "v2", startedAtMs: Date.now() + 60_000 });
    expect(listIds(start)).to.deep.equal(["t2"]);
  });
});
