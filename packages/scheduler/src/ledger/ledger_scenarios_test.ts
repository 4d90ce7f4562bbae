/**
 * Scenarios of single failures of a shard's ledger.
 */
import { expect } from "chai";
import { FakeCluster } from "./fake_cluster_test.ts";

const NO_FAULTS = { dropped: 0, duplicated: 0, lostResponses: 0, refused: 0 };

/** Creates four nodes in four failure domains; the first owns the shard. */
function createCluster(options: {
  readonly unstoredBytes?: number;
  readonly ringSize?: number;
  readonly domains?: readonly string[];
} = {}): FakeCluster {
  const cluster = new FakeCluster({
    seed: 5,
    domains: options.domains ?? ["a", "b", "c", "d"],
    faults: NO_FAULTS,
    exposeAfterMs: 10_000,
    limits: { snapshotAfterSegments: 6, ringSize: 32, ...options },
  });
  cluster.isLoaded = false;
  cluster.startTakeover(0);
  cluster.run(1_000);
  return cluster;
}

function getNode(cluster: FakeCluster, index: number): FakeCluster["nodes"][0] {
  const node = cluster.nodes[index];
  if (node === undefined) throw new Error(`no node ${index}`);
  return node;
}

/** Cuts both directions between the nodes of each pair. */
function cut(cluster: FakeCluster, pairs: readonly [number, number][]): void {
  for (const [left, right] of pairs) {
    cluster.cutPairs.add([`vm-${left}`, `vm-${right}`].sort().join());
  }
}

function countNotices(cluster: FakeCluster, kind: string): number {
  return cluster.notices.filter((each) => each.kind === kind).length;
}

describe("a shard's ledger", () => {
  it("is durable by two replicas while the platform is down", () => {
    const cluster = createCluster();
    cluster.isPlatformDown = true;
    const owner = getNode(cluster, 0);
    cluster.append(owner);
    cluster.run(200);
    expect(owner.ledger?.durableThrough).to.equal(1);
    expect(owner.ledger?.storedThrough).to.equal(0);
  });

  it("needs replicas in two failure domains", () => {
    const cluster = createCluster({ domains: ["a", "b", "b", "c"] });
    cluster.isPlatformDown = true;
    cut(cluster, [[0, 3]]);
    const owner = getNode(cluster, 0);
    cluster.append(owner);
    cluster.run(2_000);
    expect(owner.ledger?.durableThrough).to.equal(0);
  });

  it("writes to the platform at once when replicas don't respond", () => {
    const cluster = createCluster();
    cut(cluster, [[0, 1], [0, 2], [0, 3]]);
    const owner = getNode(cluster, 0);
    cluster.append(owner);
    cluster.confirm(owner);
    cluster.run(800);
    expect(owner.ledger?.durableThrough).to.equal(1);
    expect(countNotices(cluster, "confirmed")).to.equal(1);
  });

  it("holds a bounded amount during a long outage and stores it after", () => {
    const cluster = createCluster({ unstoredBytes: 20_000 });
    cluster.isPlatformDown = true;
    cluster.isLoaded = true;
    cluster.run(300_000);
    const owner = getNode(cluster, 0);
    expect(owner.ledger?.usage).to.be.within(0.9, 1);
    expect(owner.ids.length).to.be.above(100);
    cluster.isLoaded = false;
    const full = cluster.append(owner);
    expect(owner.ids).not.to.include(full);
    cluster.isPlatformDown = false;
    cluster.run(20_000);
    expect(owner.ledger?.storedThrough).to.equal(owner.ids.length);
    expect(getNode(cluster, 1).replica.bytes).to.equal(0);
  });

  it("fences a paused owner by the sealed replicas", () => {
    const cluster = createCluster();
    cluster.pause(0);
    cluster.startTakeover(1);
    cluster.run(1_000);
    cluster.isPlatformDown = true;
    cluster.resume(0);
    const old = getNode(cluster, 0);
    cluster.append(old);
    cluster.confirm(old);
    cluster.run(1_000);
    expect(old.ledger?.isServing).to.equal(false);
    expect(countNotices(cluster, "superseded")).to.equal(1);
    expect(countNotices(cluster, "confirmed")).to.equal(0);
  });

  it("ends a recovery that was paused while another one served", () => {
    const cluster = createCluster();
    cluster.startTakeover(1);
    cluster.pause(1);
    cluster.startTakeover(2);
    cluster.run(1_000);
    const owner = getNode(cluster, 2);
    cluster.close(owner);
    cluster.run(1_000);
    const keys = cluster.platform.objects.size;
    cluster.resume(1);
    cluster.run(3_000);
    expect(getNode(cluster, 1).recovery).to.equal(undefined);
    expect(countNotices(cluster, "superseded")).to.equal(1);
    expect(cluster.platform.objects.size).to.equal(keys);
  });

  it("fences a paused owner by its occupied next slot, even laps later", () => {
    const cluster = createCluster();
    cluster.pause(0);
    cluster.startTakeover(1);
    cluster.run(1_000);
    cluster.isLoaded = true;
    cluster.run(40_000);
    expect(cluster.writes, "segments").to.be.above(150);
    cut(cluster, [[0, 1], [0, 2], [0, 3]]);
    cluster.isLoaded = false;
    cluster.resume(0);
    const old = getNode(cluster, 0);
    cluster.append(old);
    cluster.run(2_000);
    expect(old.ledger?.isServing).to.equal(false);
  });

  it("doesn't accept a restarted replica as proof that no entry exists", () => {
    const cluster = createCluster();
    cluster.isPlatformDown = true;
    cut(cluster, [[0, 3]]);
    const id = cluster.append(getNode(cluster, 0));
    cluster.run(200);
    expect(getNode(cluster, 0).ledger?.durableThrough).to.equal(1);
    cluster.remove(0);
    cluster.restart(2);
    cluster.isPlatformDown = false;
    cut(cluster, [[1, 3]]);
    cluster.startTakeover(3);
    cluster.run(2_900);
    expect(countNotices(cluster, "waiting")).to.equal(1);
    expect(cluster.history.servedEpoch).to.equal(1);
    cluster.cutPairs.clear();
    cluster.run(2_500);
    expect(cluster.history.exposed).to.equal(0);
    expect(getNode(cluster, 3).ids).to.deep.equal([id]);
  });

  it("doesn't count a restarted replica for an owner that was paused", () => {
    const cluster = createCluster();
    cluster.pause(0);
    cut(cluster, [[1, 3]]);
    cluster.startTakeover(1);
    cluster.run(2_000);
    expect(cluster.history.servedEpoch).to.equal(2);
    cluster.restart(2);
    cluster.isPlatformDown = true;
    cut(cluster, [[0, 1]]);
    cluster.resume(0);
    const old = getNode(cluster, 0);
    cluster.append(old);
    cluster.confirm(old);
    cluster.run(3_000);
    expect(old.ledger?.durableThrough).to.equal(0);
    expect(countNotices(cluster, "confirmed")).to.equal(0);
  });

  it("counts a restarted replica again after a stored segment", () => {
    const cluster = createCluster();
    cluster.restart(1);
    cluster.restart(2);
    cluster.append(getNode(cluster, 0));
    cluster.run(2_000);
    cluster.isPlatformDown = true;
    cut(cluster, [[0, 3]]);
    cluster.append(getNode(cluster, 0));
    cluster.run(500);
    expect(getNode(cluster, 0).ledger?.durableThrough).to.equal(2);
  });

  it("reports the loss of entries that only restarted replicas held", () => {
    const cluster = createCluster();
    cluster.isPlatformDown = true;
    cut(cluster, [[0, 3]]);
    cluster.append(getNode(cluster, 0));
    cluster.run(200);
    cluster.remove(0);
    cluster.restart(1);
    cluster.restart(2);
    cluster.isPlatformDown = false;
    cluster.startTakeover(3);
    cluster.run(5_000);
    expect(countNotices(cluster, "exposed")).to.equal(1);
    expect(cluster.history.lost).to.equal(1);
  });

  it("waits for unresponsive replicas while the old owner may use them", () => {
    const cluster = createCluster();
    cut(cluster, [[1, 3], [2, 3]]);
    cluster.startTakeover(3);
    cluster.run(60_000);
    expect(cluster.history.servedEpoch).to.equal(1);
    cluster.remove(1);
    cluster.remove(2);
    cluster.run(5_000);
    expect(cluster.history.servedEpoch).to.equal(2);
    expect(countNotices(cluster, "exposed")).to.equal(1);
  });

  it("needs no replica after a planned handover", () => {
    const cluster = createCluster();
    const owner = getNode(cluster, 0);
    const id = cluster.append(owner);
    cluster.close(owner);
    cluster.run(500);
    expect(countNotices(cluster, "closed")).to.equal(1);
    cut(cluster, [[3, 0], [3, 1], [3, 2]]);
    cluster.startTakeover(3);
    cluster.run(1_000);
    expect(getNode(cluster, 3).ids).to.deep.equal([id]);
    expect(cluster.history.exposed).to.equal(0);
  });

  it("releases the replicas of a former epoch", () => {
    const cluster = createCluster();
    cluster.isPlatformDown = true;
    cluster.append(getNode(cluster, 0));
    cluster.run(100);
    expect(getNode(cluster, 2).replica.bytes).to.be.above(0);
    cluster.remove(0);
    cluster.isPlatformDown = false;
    cluster.startTakeover(2);
    cluster.run(5_000);
    expect(getNode(cluster, 2).replica.bytes).to.equal(0);
  });

  it("stays within its share of the ring without a snapshot", () => {
    const cluster = createCluster();
    cluster.isTakingSnapshots = false;
    cluster.isLoaded = true;
    cluster.run(30_000);
    const owner = getNode(cluster, 0);
    expect(owner.ledger?.usage).to.be.at.least(1);
    const stored = owner.ids.slice(0, owner.ledger?.storedThrough);
    expect(stored.length).to.be.above(20);
    cut(cluster, [[0, 1], [0, 2], [0, 3]]);
    for (let each = 0; each < 30; each += 1) {
      cluster.confirm(owner);
      cluster.run(500);
    }
    cluster.cutPairs.clear();
    cluster.startTakeover(2);
    cluster.run(5_000);
    const recovered = getNode(cluster, 2).ids.slice(0, stored.length);
    expect(recovered).to.deep.equal(stored);
  });

  it("takes a snapshot again when only empty segments were added", () => {
    const cluster = createCluster();
    const owner = getNode(cluster, 0);
    const id = cluster.append(owner);
    cut(cluster, [[0, 1], [0, 2], [0, 3]]);
    for (let each = 0; each < 200; each += 1) {
      cluster.confirm(owner);
      cluster.run(500);
    }
    expect(countNotices(cluster, "snapshot_stored")).to.be.above(5);
    cluster.cutPairs.clear();
    cluster.startTakeover(2);
    cluster.run(5_000);
    expect(getNode(cluster, 2).ids).to.deep.equal([id]);
  });

  it("reads a snapshot and deletes older ones", () => {
    const cluster = createCluster();
    cluster.isLoaded = true;
    cluster.run(40_000);
    expect(cluster.writes, "segments").to.be.above(200);
    cluster.isLoaded = false;
    cluster.run(5_000);
    const ids = [...getNode(cluster, 0).ids];
    const keys = [...cluster.platform.objects.keys()];
    expect(keys.filter((key) => key.includes("/head/"))).to.have.length(1);
    expect(keys.filter((key) => key.includes("/part/"))).to.have.length(2);
    expect(keys.filter((key) => key.startsWith("ledger/")).length)
      .to.be.at.most(32);
    cluster.startTakeover(2);
    cluster.run(5_000);
    expect(getNode(cluster, 2).ids).to.deep.equal(ids);
  });
});
