import { expect } from "chai";
import {
  countOutcomes,
  filterLines,
  formatLine,
  parseLogLines,
} from "./read_log.ts";

const TEXT = `
  1.25 edge-1 {"at":"2026-01-01T00:00:02Z","name":"RequestFailed","vm":"a","request":"r1","program":"p","code":4003,"detail":"reset after 20 ms"}
{"at":"2026-01-01T00:00:01Z","name":"SendFailed","vm":"a","request":"r1","program":"p","outcome":"broken","detail":"reset after 10 ms","next":"send"}
{"at":"2026-01-01T00:00:03Z","name":"RequestFailed","vm":"b","request":"r2","program":"q","code":4003,"detail":"reset after 7 ms"}
not a line
{"at":"2026-01-01T00:00:04Z","name":"Req`;

describe("reading a log", () => {
  const lines = parseLogLines(TEXT);

  it("sorts a request's lines by time", () => {
    const found = filterLines(lines, { request: "r1" });
    expect(found.map(({ name }) => name))
      .to.deep.equal(["SendFailed", "RequestFailed"]);
    expect(found.map(formatLine).join()).to.include("code=4003");
  });

  it("counts outcomes by name and reason", () => {
    expect(countOutcomes(lines).map(({ name, count }) => [name, count]))
      .to.deep.equal([["RequestFailed", 2], ["SendFailed", 1]]);
  });
});
