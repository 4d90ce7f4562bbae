import { expect } from "chai";
import { readFileSync } from "node:fs";
import {
  checkEntries,
  CODE_AREAS,
  EVENT_AREAS,
  listCodeEntries,
  listEventEntries,
  renderCatalogues,
} from "./render_catalogues.ts";

describe("the catalogues", () => {
  for (const { path, text } of renderCatalogues()) {
    it(`match ${path}; update it with npm run docs:catalogues`, () => {
      expect(readFileSync(path, "utf8")).to.equal(text);
    });
  }

  it("use ascending, unique numbers within the areas", () => {
    expect(checkEntries(listCodeEntries(), CODE_AREAS)).to.deep.equal([]);
    expect(checkEntries(listEventEntries(), EVENT_AREAS)).to.deep.equal([]);
  });

  it("report repeated, unordered or unassigned numbers and wrong names", () => {
    const entries = [
      { key: "First", name: "First", number: 2001 },
      { key: "Second", name: "Second", number: 2001 },
      { key: "Third", name: "Other", number: 1001 },
      { key: "Fourth", name: "Fourth", number: 10_000 },
    ];
    expect(checkEntries(entries, CODE_AREAS)).to.deep.equal([
      "2001 is used twice",
      "Third has the name Other",
      "1001 comes after 2001",
      "10000 is outside every area",
    ]);
  });
});
