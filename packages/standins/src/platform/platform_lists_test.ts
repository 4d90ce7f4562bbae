import { VmListClient, WeightStoreClient } from "@camphorlock/objects";
import { expect } from "chai";
import { type RunningPlatform, servePlatform } from "./serve_platform.ts";
import { VmList } from "./vm_list.ts";

const VM = {
  vmId: "vm-1",
  address: "10.0.0.1",
  region: "ege",
  failureDomain: "ege-1",
  state: "live",
} as const;

describe("VM list", () => {
  let platform: RunningPlatform;

  beforeEach(async () => {
    platform = await servePlatform();
  });

  afterEach(() => platform.stop());

  it("shows each change after its lag", () => {
    const vms = new VmList(1_000);
    vms.set(VM, 0);
    vms.set({ ...VM, state: "leaving" }, 500);
    vms.remove("vm-1", 2_000);
    expect(vms.list(999)).to.deep.equal([]);
    expect(vms.list(1_000)).to.deep.equal([VM]);
    expect(vms.list(1_500)).to.deep.equal([{ ...VM, state: "leaving" }]);
    expect(vms.list(3_000)).to.deep.equal([]);
  });

  it("is read over HTTP, and fails when the platform stops", async () => {
    const client = new VmListClient({ baseUrl: `http://${platform.address}` });
    platform.vms.set(VM, 0);
    expect((await client.list())._unsafeUnwrap()).to.deep.equal([VM]);
    await platform.stop();
    const failure = (await client.list())._unsafeUnwrapErr();
    expect(failure.name).to.equal("PlatformUnavailable");
    await client.close();
  });
});

describe("weight store", () => {
  let platform: RunningPlatform;

  beforeEach(async () => {
    platform = await servePlatform({
      weights: { readsPerSecond: 1, sizes: { small: 10 } },
    });
  });

  afterEach(() => platform.stop());

  it("serves parts and returns a retry delay when rate limited", async () => {
    const client = new WeightStoreClient({
      baseUrl: `http://${platform.address}`,
    });
    const range = { offset: 4, limit: 100 };
    const part = (await client.readPart("small", range))._unsafeUnwrap();
    expect(part.totalBytes).to.equal(10);
    expect(part.bytes).to.have.length(6);
    const failure = (await client.readPart("small", range))._unsafeUnwrapErr();
    expect(failure.retryAfterMs).to.equal(1_000);
    await client.close();
  });
});
