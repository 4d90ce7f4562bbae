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

  // Without it, 2,000 lines with ids of 16,000 characters are held at once.
  it("bounds the characters of its lines, and cuts long values", () => {
    const texts: string[] = [];
    const log = new GatewayLog({
      write: (text, done) => {
        texts.push(text);
        done();
      },
    }, "g1");
    const program = "p".repeat(16_000);
    for (let line = 0; line < 2_000; line += 1) {
      log.write(EVENTS.RequestRefused, { program });
    }
    expect(log.flush()).to.be.above(0);
    expect(texts[0]?.length).to.be.below(2_100_000);
    const [line = ""] = texts[0]?.split("\n") ?? [];
    expect(JSON.parse(line).program).to.equal(`${"p".repeat(2_000)}...`);
    log.write(EVENTS.RequestRefused, { program: "short" });
    log.flush();
    expect(JSON.parse(texts[1] ?? "").program).to.equal("short");
  });
});
