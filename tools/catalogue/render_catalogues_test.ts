import { expect } from "chai";
import { readFileSync } from "node:fs";
import {
  checkNumbers,
  CODE_AREAS,
  EVENT_AREAS,
  listCodeEntries,
  listEventEntries,
  renderCatalogues,
} from "./render_catalogues.ts";

describe("the catalogues", () => {
  for (const { path, text } of renderCatalogues()) {
    it(`are repeated by ${path}; see npm run docs:catalogues`, () => {
      expect(readFileSync(path, "utf8")).to.equal(text);
    });
  }

  it("use each number once and within an area", () => {
    expect(checkNumbers(listCodeEntries(), CODE_AREAS)).to.deep.equal([]);
    expect(checkNumbers(listEventEntries(), EVENT_AREAS)).to.deep.equal([]);
  });

  it("are refused with a number twice, astray or under another name", () => {
    const entries = [
      { key: "First", name: "First", number: 2001 },
      { key: "Second", name: "Second", number: 2001 },
      { key: "Third", name: "Other", number: 1001 },
      { key: "Fourth", name: "Fourth", number: 10_000 },
    ];
    expect(checkNumbers(entries, CODE_AREAS)).to.deep.equal([
      "2001 is used twice",
      "Third is named Other",
      "1001 stands after 2001",
      "10000 lies in no area",
    ]);
  });
});
