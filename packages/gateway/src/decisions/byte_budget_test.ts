import { expect } from "chai";
import { ByteBudget, SMALL_BYTES } from "./byte_budget.ts";

const MB = 1_000_000;

describe("the bytes that a process may hold", () => {
  it("go to large exchanges up to a part, and to small ones beyond it", () => {
    const budget = new ByteBudget(40 * MB);
    const large = Array.from({ length: 60 }, () => budget.open());
    const admitted = large.filter((share) => share.reserve(4 * MB));
    expect(admitted).to.have.length(7);
    const small = Array.from({ length: 150 }, () => budget.open());
    expect(small.every((share) => share.reserve(SMALL_BYTES))).to.equal(true);
    expect(budget.usedBytes).to.be.at.most(40 * MB);
    for (const share of [...large, ...small]) share.close();
    expect(budget.usedBytes).to.equal(0);
  });

  it("are given in turn to those that wait, and to none that has left", () => {
    const budget = new ByteBudget(8 * MB);
    const shares = Array.from({ length: 4 }, () => budget.open());
    const order: number[] = [];
    shares.forEach((share, at) => share.wait(5 * MB, () => order.push(at)));
    expect(order).to.deep.equal([0]);
    shares[1]?.close();
    shares[0]?.close();
    expect(order).to.deep.equal([0, 2]);
    shares[2]?.close();
    expect(order).to.deep.equal([0, 2, 3]);
    shares[3]?.close();
    shares[3]?.close();
    expect(budget.usedBytes).to.equal(0);
  });

  it("are never more than the limit, whatever comes and goes", () => {
    const budget = new ByteBudget(20 * MB);
    let state = 1;
    const draw = (below: number) => {
      state = (Math.imul(state, 1_103_515_245) + 12_345) >>> 0;
      return Math.floor(state / 2 ** 32 * below);
    };
    let open = Array.from({ length: 50 }, () => budget.open());
    for (let step = 0; step < 5_000; step += 1) {
      const share = open[draw(open.length)];
      if (draw(3) === 0) {
        share?.close();
        open = open.map((each) => each === share ? budget.open() : each);
      } else if (draw(2) === 0) share?.wait(draw(MB), () => {});
      else share?.reserve(draw(4 * MB));
      expect(budget.usedBytes).to.be.within(0, 20 * MB);
    }
    for (const share of open) share.close();
    expect(budget.usedBytes).to.equal(0);
  });
});
