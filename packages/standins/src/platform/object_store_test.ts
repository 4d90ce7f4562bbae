import type { PlatformRequest, PlatformResponse } from "@camphorlock/types";
import { expect } from "chai";
import { ObjectStore } from "./object_store.ts";

const VALUE = new Uint8Array([1, 2, 3]);

function buildPut(
  key: string,
  condition: Extract<PlatformRequest, { kind: "put" }>["condition"] = {
    kind: "any",
  },
): PlatformRequest {
  return { kind: "put", key, value: VALUE, condition };
}

function getResponseVersion(response: PlatformResponse): number {
  return "version" in response ? response.version : 0;
}

describe("object store", () => {
  it("creates an object only if it's absent", () => {
    const store = new ObjectStore();
    const first = store.handle(buildPut("a", { kind: "absent" }), 0);
    const second = store.handle(buildPut("a", { kind: "absent" }), 0);
    expect(first).to.deep.equal({ kind: "stored", key: "a", version: 1 });
    expect(second).to.deep.equal({ kind: "conflict", key: "a", version: 1 });
  });

  it("updates an object only at the expected version", () => {
    const store = new ObjectStore();
    const version = getResponseVersion(store.handle(buildPut("a"), 0));
    const update = buildPut("a", { kind: "version", version });
    expect(store.handle(update, 0).kind).to.equal("stored");
    expect(store.handle(update, 0).kind).to.equal("conflict");
  });

  it("never reuses a version, even after a deletion", () => {
    const store = new ObjectStore();
    const version = getResponseVersion(store.handle(buildPut("a"), 0));
    store.handle({ kind: "delete", key: "a", condition: { kind: "any" } }, 0);
    store.handle(buildPut("a"), 0);
    const update = buildPut("a", { kind: "version", version });
    expect(store.handle(update, 0).kind).to.equal("conflict");
  });

  it("refuses values larger than 1 MiB", () => {
    const store = new ObjectStore();
    const value = new Uint8Array(1024 * 1024 + 1);
    const request = { ...buildPut("a"), value } as PlatformRequest;
    expect(store.handle(request, 0)).to.deep.equal({
      kind: "failed",
      reason: "refused",
    });
    expect(store.handle({ kind: "get", key: "a" }, 0).kind).to.equal("absent");
  });

  it("stores a copy of a value", () => {
    const store = new ObjectStore();
    const value = new Uint8Array([7]);
    store.handle({ ...buildPut("a"), value } as PlatformRequest, 0);
    value[0] = 8;
    const response = store.handle({ kind: "get", key: "a" }, 0);
    expect(response.kind === "found" && response.object.value[0]).to.equal(7);
  });

  it("lists keys below a prefix in order and in pages", () => {
    const store = new ObjectStore();
    for (const key of ["l/2", "l/1", "l/3", "k", "m"]) {
      store.handle(buildPut(key), 0);
    }
    const list = (after?: string): string[] => {
      const response = store.handle(
        { kind: "list", prefix: "l/", limit: 2, after },
        0,
      );
      return response.kind === "listed"
        ? response.keys.map(({ key }) => key)
        : [];
    };
    expect(list()).to.deep.equal(["l/1", "l/2"]);
    expect(list("l/2")).to.deep.equal(["l/3"]);
  });

  it("responds to a watch at the next change below its prefix", () => {
    const store = new ObjectStore();
    store.handle(buildPut("a/1"), 0);
    const responses: PlatformResponse[] = [];
    const request = { kind: "watch", prefix: "a/", afterPosition: 1 } as const;
    store.watch(request, { nowMs: 0, answer: (each) => responses.push(each) });
    store.handle(buildPut("b"), 0);
    expect(responses).to.have.length(0);
    expect(store.waitingWatches).to.equal(1);
    store.handle(buildPut("a/2"), 0);
    const keys = [{ key: "a/2", version: 3 }];
    expect(responses).to.deep.equal([{ kind: "changed", keys, position: 3 }]);
    expect(store.waitingWatches).to.equal(0);
  });

  it("reports missed changes and deletions to a watch", () => {
    const store = new ObjectStore();
    store.handle(buildPut("a"), 0);
    store.handle(buildPut("b"), 0);
    store.handle({ kind: "delete", key: "a", condition: { kind: "any" } }, 0);
    const response = store.handle(
      { kind: "watch", prefix: "", afterPosition: 2 },
      0,
    );
    const keys = [{ key: "a", version: 0 }];
    expect(response).to.deep.equal({ kind: "changed", keys, position: 3 });
  });

  it("limits reads and writes per second and counts a watch as a read", () => {
    const store = new ObjectStore({ readsPerSecond: 2, writesPerSecond: 1 });
    const read = (nowMs: number): string =>
      store.handle({ kind: "get", key: "a" }, nowMs).kind;
    expect(store.handle(buildPut("a"), 0).kind).to.equal("stored");
    expect(store.handle(buildPut("a"), 0).kind).to.equal("failed");
    const watch = { kind: "watch", prefix: "", afterPosition: 1 } as const;
    store.watch(watch, { nowMs: 0, answer: () => {} });
    expect([read(0), read(0)]).to.deep.equal(["found", "failed"]);
    expect(read(500)).to.equal("found");
    expect(store.counts).to.include({ reads: 4, writes: 2, rateLimited: 2 });
  });
});
