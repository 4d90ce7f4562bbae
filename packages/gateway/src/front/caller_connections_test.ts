import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { CallerConnections } from "./caller_connections.ts";
import type { CallerSocket } from "./caller_socket.ts";

class FakeSocket extends EventEmitter {
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}

describe("the connections of callers", () => {
  let text: string;
  let log: GatewayLog;
  let connections: CallerConnections;

  beforeEach(() => {
    text = "";
    log = new GatewayLog({
      write: (lines, handleWritten) => {
        text += lines;
        handleWritten();
      },
    }, "g1");
    connections = new CallerConnections(
      { log, metrics: new GatewayMetrics() },
      { maxConnections: 2, maxRunning: 1 },
    );
  });

  function open(): CallerSocket {
    const socket = new FakeSocket() as unknown as CallerSocket;
    connections.add(socket);
    return socket;
  }

  function build(): ServerResponse {
    return new EventEmitter() as unknown as ServerResponse;
  }

  // A response that waits for an earlier one of its connection doesn't report
  // the close, so that what it held was never released.
  it("end all responses of a connection that closes", async () => {
    const socket = open();
    const responses = [build(), build(), build()];
    const closed = responses.map((response) =>
      connections.openRequest(socket, response)
    );
    responses[0]?.emit("close");
    await closed[0];
    socket.destroy();
    await Promise.all(closed);
    expect(connections.openRequest(socket, build())).to.equal(undefined);
  });

  it("are closed when they send too many requests, and not read further", () => {
    const socket = open();
    for (let at = 0; at < 32; at += 1) {
      expect(connections.openRequest(socket, build())).to.not.equal(undefined);
    }
    expect(connections.openRequest(socket, build())).to.equal(undefined);
    expect(socket.destroyed).to.equal(true);
    expect(connections.openRequest(socket, build())).to.equal(undefined);
  });

  it("are closed for new ones, with one log line a second", () => {
    const sockets = Array.from({ length: 100 }, open);
    expect(sockets.filter(({ destroyed }) => !destroyed))
      .to.deep.equal(sockets.slice(-2));
    log.flush();
    expect(text.trim().split("\n")).to.have.length(1);
  });

  it("run requests up to the bound, also those of callers that left", async () => {
    const socket = open();
    let end = () => {};
    const running = connections.run(
      socket,
      () => new Promise((resolve) => end = resolve),
    );
    expect(connections.canRun).to.equal(false);
    expect(await connections.run(open(), () => expect.fail("ran")))
      .to.equal(false);
    socket.destroy();
    expect(connections.canRun).to.equal(false);
    end();
    expect(await running).to.equal(true);
    expect(connections.canRun).to.equal(true);
  });
});
