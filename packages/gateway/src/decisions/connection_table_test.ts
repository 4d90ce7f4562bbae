import { expect } from "chai";
import {
  computeConnectionBounds,
  computePeerBound,
  ConnectionTable,
} from "./connection_table.ts";

interface Connection {
  readonly name: string;
}

function build(name: string | number): Connection {
  return { name: `${name}` };
}

// Callers took every descriptor, so that none was left for targets.
describe("the table of callers' connections", () => {
  let table: ConnectionTable<Connection>;

  beforeEach(() => {
    table = new ConnectionTable({ maxConnections: 4, maxRunning: 3 });
  });

  it("closes the one that has waited longest without a complete request", () => {
    const [first, second, third, fourth] = ["1", "2", "3", "4"].map((name) => {
      const connection = build(name);
      expect(table.add(connection)).to.equal(undefined);
      return connection;
    }) as [Connection, Connection, Connection, Connection];
    expect(table.startRun(first)).to.equal(true);
    expect(table.openRequest(second)).to.equal(true);
    expect(table.add(build(5))).to.equal(third);
    expect(table.add(build(6))).to.equal(fourth);
    table.endRun(first);
    expect(table.add(build(7))).to.equal(second);
    expect(table.size).to.equal(4);
  });

  it("lets an ordinary caller in, whatever the others do", () => {
    for (let at = 0; at < 5_000; at += 1) {
      table.add(build(at));
      if (at % 100 !== 0) continue;
      const ordinary = build("ordinary");
      table.add(ordinary);
      expect(table.openRequest(ordinary)).to.equal(true);
      expect(table.startRun(ordinary)).to.equal(true);
      table.add(build(`${at} later`));
      table.endRun(ordinary);
      table.closeRequest(ordinary);
      expect([...table.list()]).to.include(ordinary);
    }
    expect(table.size).to.equal(4);
  });

  it("keeps connections on which requests beyond the bound are refused", () => {
    for (let at = 0; at < 3; at += 1) {
      const connection = build(at);
      table.add(connection);
      expect(table.startRun(connection)).to.equal(true);
    }
    const refused = build("refused");
    expect(table.add(refused)).to.equal(undefined);
    expect(table.canRun).to.equal(false);
    expect(table.startRun(refused)).to.equal(false);
    expect(table.add(build("next"))).to.equal(refused);
  });

  it("counts requests that run after their caller has left", () => {
    const left = [build(1), build(2), build(3)];
    for (const connection of left) {
      table.add(connection);
      table.startRun(connection);
      table.remove(connection);
    }
    expect(table.canRun).to.equal(false);
    for (const connection of left) table.endRun(connection);
    expect(table.canRun).to.equal(true);
    expect(table.size).to.equal(0);
  });

  it("bounds the requests that a connection sends without waiting", () => {
    const connection = build(1);
    table.add(connection);
    for (let at = 0; at < 32; at += 1) {
      expect(table.openRequest(connection)).to.equal(true);
    }
    expect(table.openRequest(connection)).to.equal(false);
    table.closeRequest(connection);
    expect(table.openRequest(connection)).to.equal(true);
    expect(table.openRequest(build("unknown"))).to.equal(false);
  });

  // Streams that stay open took all requests that may run.
  it("leaves a part of the running requests to those that aren't streams", () => {
    const large = new ConnectionTable<Connection>({
      maxConnections: 100,
      maxRunning: 80,
    });
    const connections = Array.from({ length: 100 }, (_, at) => build(at));
    connections.forEach((each, at) => large.add(each, `address-${at}`));
    const streams = connections.filter((each) => large.startRun(each, "long"));
    expect(streams).to.have.length(70);
    for (const each of connections.slice(70, 80)) {
      expect(large.startRun(each)).to.equal(true);
    }
    expect(large.canRun).to.equal(false);
    large.endRun(streams[0] as Connection, "long");
    expect(large.startRun(streams[0] as Connection, "long")).to.equal(true);
  });

  // One client with many requests took all that may run.
  it("leaves the last free places to addresses that run few", () => {
    const large = new ConnectionTable<Connection>({
      maxConnections: 200,
      maxRunning: 180,
    });
    const crowd = Array.from({ length: 180 }, (_, at) => build(at));
    for (const each of crowd) large.add(each, "crowd");
    const running = crowd.filter((each) => large.startRun(each));
    expect(running).to.have.length(160);
    const others = Array.from({ length: 20 }, (_, at) => build(at));
    others.forEach((each, at) => large.add(each, `other-${at}`));
    for (const each of others) expect(large.startRun(each)).to.equal(true);
    for (const each of running) {
      large.remove(each);
      large.endRun(each);
    }
    expect(crowd.slice(160).every((each) => large.startRun(each)))
      .to.equal(true);
  });

  // One client with many connections had those of others closed.
  it("closes a connection of the address that has the most", () => {
    const large = new ConnectionTable<Connection>({
      maxConnections: 50,
      maxRunning: 40,
    });
    const ordinary = [build("a"), build("b")];
    ordinary.forEach((each, at) => large.add(each, `ordinary-${at}`));
    const first = build("first");
    large.add(first, "crowd");
    const closed: (Connection | undefined)[] = [];
    for (let at = 0; at < 1_000; at += 1) {
      closed.push(large.add(build(at), "crowd"));
    }
    expect(closed.find((each) => each !== undefined)).to.equal(first);
    expect(large.size).to.equal(50);
    expect([...large.list()]).to.include.members(ordinary);
  });

  it("leaves descriptors for targets, and memory for requests", () => {
    const bounds = computeConnectionBounds({
      memoryBytes: 178_000_000,
      maxDescriptors: 3_900,
    });
    expect(bounds).to.deep.equal({ maxConnections: 543, maxRunning: 475 });
    const few = computeConnectionBounds({
      memoryBytes: 602_000_000,
      maxDescriptors: 200,
    });
    expect(few).to.deep.equal({ maxConnections: 90, maxRunning: 78 });
    expect(few.maxConnections + few.maxRunning).to.be.below(200);
    expect(few.maxConnections + few.maxRunning + computePeerBound(200, few))
      .to.be.below(200);
    expect(computePeerBound(3_900, bounds)).to.be.at.least(430);
  });
});
