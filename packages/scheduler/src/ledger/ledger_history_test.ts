/**
 * Checks that the reports of a shard's owners are consistent.
 */
import { expect } from "chai";
import type { Epoch } from "@camphorlock/types";

/** The epochs at the time of a request to an owner. */
export interface RequestEpochs {
  readonly epoch: Epoch;
  /** The highest epoch that had been served by then. */
  readonly servedEpoch: Epoch;
}

/** A recovered state, as the ids of its entries. */
export interface RecoveredIds {
  readonly epoch: Epoch;
  readonly ids: readonly string[];
  readonly isExposed: boolean;
}

/** The reports of all owners of one shard. */
export class LedgerHistory {
  readonly #appended = new Map<string, RequestEpochs>();
  readonly #durable = new Map<number, string>();
  #latest: RecoveredIds = { epoch: 0, ids: [], isExposed: false };
  #exposedEpoch: Epoch = 0;
  reported = 0;
  confirmed = 0;
  exposed = 0;
  lost = 0;

  get servedEpoch(): Epoch {
    return this.#latest.epoch;
  }

  recordAppended(id: string, epoch: Epoch): void {
    this.#appended.set(id, { epoch, servedEpoch: this.servedEpoch });
  }

  recordDurable(sequence: number, id: string): void {
    const request = this.#appended.get(id);
    expect(request, `append of ${id}`).not.to.equal(undefined);
    if (request === undefined) return;
    expect(request.servedEpoch, `${id} durable, appended under an older epoch`)
      .to.be.at.most(request.epoch);
    if (this.#isLostLate(sequence, id)) {
      expect(this.#exposedEpoch, `${id} durable but missing after a takeover`)
        .to.be.above(request.epoch);
      this.lost += 1;
      return;
    }
    const other = this.#durable.get(sequence) ?? id;
    expect(other, `entries durable at ${sequence}`).to.equal(id);
    this.reported += 1;
    this.#durable.set(sequence, id);
  }

  /** Whether a successor has recovered without the entry. */
  #isLostLate(sequence: number, id: string): boolean {
    const request = this.#appended.get(id);
    const isLate = request !== undefined && request.epoch < this.servedEpoch;
    return isLate && this.#latest.ids[sequence - 1] !== id;
  }

  recordConfirmed(request: RequestEpochs): void {
    expect(request.servedEpoch, "epoch served at a confirmation request")
      .to.be.at.most(request.epoch);
    this.confirmed += 1;
  }

  /** An owner that was paused as it opened the log has a prefix of it. */
  #checkLateRecovery(late: RecoveredIds): void {
    if (this.exposed > 0) return;
    const prefix = this.#latest.ids.slice(0, late.ids.length);
    expect(late.ids, "state of a late recovery").to.deep.equal(prefix);
  }

  recordRecovered(recovered: RecoveredIds): void {
    if (recovered.epoch < this.servedEpoch) {
      this.#checkLateRecovery(recovered);
      return;
    }
    this.#latest = recovered;
    if (recovered.isExposed) {
      this.exposed += 1;
      this.#exposedEpoch = recovered.epoch;
    }
    for (const [sequence, id] of this.#durable) {
      if (recovered.ids[sequence - 1] === id) continue;
      expect(recovered.isExposed, `${id} at ${sequence} is missing`)
        .to.equal(true);
      this.#durable.delete(sequence);
      this.lost += 1;
    }
  }
}

describe("the ledger's history", () => {
  it("finds a durable entry that is missing later", () => {
    const history = new LedgerHistory();
    history.recordRecovered({ epoch: 1, ids: [], isExposed: false });
    history.recordAppended("a", 1);
    history.recordDurable(1, "a");
    const empty = { epoch: 2, ids: [], isExposed: false };
    expect(() => history.recordRecovered(empty)).to.throw("is missing");
  });

  it("finds two entries at one sequence and a late confirmation", () => {
    const history = new LedgerHistory();
    history.recordRecovered({ epoch: 2, ids: [], isExposed: false });
    history.recordAppended("a", 2);
    history.recordAppended("b", 2);
    history.recordDurable(1, "a");
    expect(() => history.recordDurable(1, "b")).to.throw("durable at 1");
    const late = { epoch: 1, servedEpoch: 2 };
    expect(() => history.recordConfirmed(late)).to.throw("confirmation");
  });
});
