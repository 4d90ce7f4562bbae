import { EVENTS } from "@camphorlock/codes/events";
import { expect } from "chai";
import { GatewayLog } from "./log.ts";

describe("gateway log", () => {
  it("drops and counts lines while the output is busy, and never waits", () => {
    const texts: string[] = [];
    let handleWritten = () => {};
    const log = new GatewayLog({
      write: (text, done) => {
        texts.push(text);
        handleWritten = done;
      },
    }, "g1");
    log.write(EVENTS.RequestAnswered, { request: "first" });
    log.flush();
    for (let line = 0; line < 2_500; line += 1) {
      log.write(EVENTS.RequestAnswered, { request: String(line) });
    }
    expect(log.flush()).to.equal(0);
    expect(texts).to.have.length(1);
    handleWritten();
    expect(log.flush()).to.equal(500);
    const last = texts[1]?.trim().split("\n").at(-1) ?? "";
    expect(JSON.parse(last)).to.include({
      name: "LogLinesDropped",
      lines: 500,
    });
  });
});
