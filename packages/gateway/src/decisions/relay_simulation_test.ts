import { expect } from "chai";
import type { PeerInfo } from "./peer_directory.ts";
import { RelayChoice } from "./relay_choice.ts";

const REGIONS = 7;
const MAX_TRIES = 6;
/** Connections that a gateway relays at most. */
const MAX_CONNECTIONS = 512;
/** Connections that each gateway uses at the same time. */
const WANTED = 8;
const TICK_MS = 50;

interface SimulatedGateway {
  readonly info: PeerInfo;
  readonly choice: RelayChoice;
  isCutOff: boolean;
  relayed: number;
  open: string[];
}

/** Gateways of which many are cut off from all targets at the same moment. */
class Fleet {
  readonly gateways: SimulatedGateway[];
  tries = 0;
  missed = 0;

  constructor(size: number, isCutOff: (at: number) => boolean) {
    this.gateways = Array.from({ length: size }, (_, at) => {
      const info: PeerInfo = {
        vmId: `gateway-${at}`,
        host: "10.0.0.1",
        port: 1,
        region: `region-${at % REGIONS}`,
        bootId: "1",
        isLeaving: false,
      };
      return {
        info,
        choice: new RelayChoice(info),
        isCutOff: isCutOff(at),
        relayed: 0,
        open: [],
      };
    });
  }

  /** Opens connections until each gateway has as many as it uses. */
  run(nowMs: number): void {
    for (const gateway of this.gateways) {
      if (!gateway.isCutOff) continue;
      if (gateway.open.length >= WANTED) this.#closeOldest(gateway);
      for (let at = gateway.open.length; at < WANTED; at += 1) {
        if (!this.#open(gateway, nowMs)) this.missed += 1;
      }
    }
  }

  countServed(): number {
    return this.gateways.filter(({ open }) => open.length > 0).length;
  }

  #open(gateway: SimulatedGateway, nowMs: number): boolean {
    const infos = this.gateways.map(({ info }) => info);
    const tried = new Set<string>();
    while (tried.size < MAX_TRIES) {
      const relay = gateway.choice.choose(infos, tried, nowMs);
      if (relay === undefined) return false;
      tried.add(relay.vmId);
      this.tries += 1;
      const asked = this.#get(relay.vmId);
      if (asked.isCutOff || asked.relayed >= MAX_CONNECTIONS) {
        const hints = asked.choice.listHints(nowMs);
        gateway.choice.recordRefused(relay.vmId, nowMs, hints);
        continue;
      }
      asked.relayed += 1;
      gateway.choice.recordOpened(relay.vmId, nowMs, asked.relayed);
      gateway.open.push(relay.vmId);
      return true;
    }
    return false;
  }

  #closeOldest(gateway: SimulatedGateway): void {
    const vmId = gateway.open.shift();
    if (vmId === undefined) return;
    gateway.choice.recordClosed(vmId);
    this.#get(vmId).relayed -= 1;
  }

  #get(vmId: string): SimulatedGateway {
    const found = this.gateways.find(({ info }) => info.vmId === vmId);
    if (found === undefined) throw new Error(vmId);
    return found;
  }
}

describe("the choice of gateways that relay, simulated", () => {
  for (
    const { size, sound } of [
      { size: 60, sound: 6 },
      { size: 430, sound: 22 },
      { size: 430, sound: 215 },
    ]
  ) {
    it(`finds the ${sound} of ${size} that aren't cut off within a second`, () => {
      const each = Math.floor(size / sound);
      const fleet = new Fleet(
        size,
        (at) => at % each !== 0 || at / each >= sound,
      );
      const cutOff = fleet.gateways.filter(({ isCutOff }) => isCutOff).length;
      for (let nowMs = 0; nowMs < 1_000; nowMs += TICK_MS) fleet.run(nowMs);
      expect(fleet.countServed()).to.equal(cutOff);
      fleet.missed = 0;
      for (let nowMs = 1_000; nowMs < 6_000; nowMs += TICK_MS) fleet.run(nowMs);
      expect(fleet.missed).to.equal(0);
      // None of them carries many times its part.
      const loads = fleet.gateways.filter(({ isCutOff }) => !isCutOff)
        .map(({ relayed }) => relayed);
      const mean = cutOff * WANTED / sound;
      expect(Math.max(...loads)).to.be.lessThan(Math.max(40, mean * 4));
    });
  }

  it("leaves one alone that's cut off later, too", () => {
    const fleet = new Fleet(60, (at) => at >= 10);
    for (let nowMs = 0; nowMs < 2_000; nowMs += TICK_MS) fleet.run(nowMs);
    for (const gateway of fleet.gateways.slice(0, 8)) {
      gateway.isCutOff = true;
      gateway.relayed = 0;
    }
    for (const gateway of fleet.gateways) {
      for (const vmId of gateway.open.splice(0)) {
        gateway.choice.recordClosed(vmId);
      }
      gateway.relayed = 0;
    }
    for (let nowMs = 2_000; nowMs < 4_000; nowMs += TICK_MS) fleet.run(nowMs);
    expect(fleet.countServed()).to.equal(58);
  });
});
