import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { VirtualTime } from "../accounts/virtual_time_test.ts";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { GatewayLog } from "../log.ts";
import type { Quota, TenantEntry } from "../model/tenant.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import type { PeerMessage, PeerResponse } from "../peers/peer_messages.ts";
import { canReceive, PROTOCOL_VERSION } from "../peers/protocol_version.ts";
import type { QuotaBounds } from "../ports.ts";
import { PROBE_TICK_MS } from "./group_prober.ts";
import {
  buildQuotaComponents,
  type QuotaComponents,
} from "./quota_components.ts";

export const BOUNDS: QuotaBounds = { windowMs: 5_000, overrun: 0.1, slack: 20 };
const REGIONS = 3;
const NEAR_MS = 1.4;
const FAR_MS = 8;
const CALL_TIMEOUT_MS = 150;
const SETTLE_TURNS = 24;
/** Time from the admission until a request is sent, at most. */
const MAX_QUEUE_MS = 30;
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

/** Seeded random values. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  takeFloat(): number {
    return uniformFloat64(this.#generator);
  }

  takeIndex(count: number): number {
    return Math.floor(this.takeFloat() * count);
  }
}

/** One simulated gateway. */
export interface Member {
  readonly info: PeerInfo;
  readonly directory: PeerDirectory;
  readonly quotas: QuotaComponents;
  readonly random: RandomSource;
  /** Gateways of other groups don't get its messages. */
  group: number;
  isAlive: boolean;
  isOld: boolean;
  /** Until when the VM is suspended. */
  suspendedUntilMs: number;
  version: number;
  tenants: readonly TenantEntry[];
}

/** What became of the requests of one tenant. */
export class TenantCounts {
  readonly sentAtMs: number[] = [];
  offered = 0;
  denied = 0;
  undecided = 0;
  waitedMs: number[] = [];

  /** The most requests in any window that begins at `fromMs` or later. */
  countMost(windowMs: number, fromMs = 0): number {
    const sorted = this.sentAtMs.filter((atMs) => atMs >= fromMs)
      .sort((left, right) => left - right);
    let most = 0;
    let first = 0;
    for (const [index, atMs] of sorted.entries()) {
      while (atMs - (sorted[first] ?? 0) >= windowMs) first += 1;
      most = Math.max(most, index - first + 1);
    }
    return most;
  }
}

/** The number of requests that a window may hold. */
export function computeBound({ ratePerS, burst }: Quota): number {
  const { windowMs, overrun, slack } = BOUNDS;
  return (ratePerS * windowMs / 1_000 + burst) * (1 + overrun) + slack;
}

/** Builds a tenant of a configuration. */
export function buildTenant(name: string, quota: Quota): TenantEntry {
  return { name, keys: [], priority: undefined, quota };
}

/** Gateways that keep quotas together, without a network. */
export class QuotaInstallation {
  readonly counts = new Map<string, TenantCounts>();
  /** Messages of kinds that the receiver doesn't know. */
  unknownKinds = 0;
  calls = 0;
  probes = 0;
  /** Part of the messages that get lost. */
  lossRate = 0;
  /** Until then no target takes requests, which wait at the gateways. */
  targetsFullUntilMs = 0;
  readonly #time: VirtualTime;
  readonly #random: RandomSource;
  readonly #members = new Map<string, Member>();
  #starts = 0;

  constructor(
    time: VirtualTime,
    { gateways, tenants, seed }: {
      readonly gateways: number;
      readonly tenants: readonly TenantEntry[];
      readonly seed: number;
    },
  ) {
    this.#time = time;
    this.#random = new RandomSource(seed);
    const infos = Array.from(
      { length: gateways },
      (_, index) =>
        buildPeer(`vm-${index}`, {
          region: `region-${index % REGIONS}`,
          protocol: PROTOCOL_VERSION,
        }),
    );
    for (const info of infos) this.#addMember(info, tenants);
    for (const { directory } of this.members) {
      for (const info of infos) directory.add(info);
    }
  }

  get members(): Member[] {
    return [...this.#members.values()];
  }

  /** The gateways that run a build with quotas. */
  get live(): Member[] {
    return this.members.filter(({ isAlive, isOld }) => isAlive && !isOld);
  }

  findCounts(tenant: string): TenantCounts {
    const counts = this.counts.get(tenant) ?? new TenantCounts();
    this.counts.set(tenant, counts);
    return counts;
  }

  /** The home of a tenant in the view of the first live gateway. */
  findHome(tenant: string): Member | undefined {
    const [first] = this.live;
    const homes = first?.directory.sortHomes(`quota ${tenant}`, {
      kind: "take_credits",
    }) ?? [];
    return homes.map(({ vmId }) => this.#members.get(vmId))
      .find((member) => member?.isAlive === true);
  }

  /** Replaces a gateway by a build without quotas, as in a rollback. */
  replaceByOld(member: Member): void {
    member.isOld = true;
    const { protocol: _protocol, ...info } = member.info;
    for (const { directory } of this.members) {
      directory.set({ ...info, bootId: "old" });
    }
  }

  /** Starts the process of a gateway again, with a new memory. */
  restart(member: Member): void {
    this.#starts += 1;
    const info = { ...member.info, bootId: `start-${this.#starts}` };
    const started = this.#addMember(info, member.tenants);
    started.group = member.group;
    for (const other of this.live) {
      if (other !== started) started.directory.add(other.info);
    }
  }

  suspend(member: Member, durationMs: number): void {
    member.suspendedUntilMs = this.#time.nowMs + durationMs;
  }

  /** Sends a tenant's requests at random gateways, with exponential gaps. */
  offer(
    tenant: string,
    { perS, durationMs, choose = () => this.live }: {
      readonly perS: number;
      readonly durationMs: number;
      readonly choose?: () => readonly Member[];
    },
  ): void {
    const endMs = this.#time.nowMs + durationMs;
    const next = () => {
      const gapMs = -Math.log(1 - this.#random.takeFloat()) / perS * 1_000;
      if (this.#time.nowMs + gapMs > endMs) return;
      setTimeout(() => {
        const members = choose();
        const member = members[this.#random.takeIndex(members.length)];
        if (member !== undefined) void this.send(member, tenant);
        next();
      }, gapMs);
    };
    next();
  }

  /** Sends a tenant's requests as fast as its quota permits. */
  offerWithinQuota(tenant: string, quota: Quota, durationMs: number): void {
    let tokens = quota.burst;
    let atMs = 0;
    while (atMs < durationMs) {
      const burst = this.#random.takeIndex(Math.max(1, quota.burst)) + 1;
      const waitMs = Math.max(0, burst - tokens) / quota.ratePerS * 1_000;
      atMs += waitMs;
      tokens = Math.max(
        0,
        Math.min(quota.burst, tokens + waitMs * quota.ratePerS / 1_000) - burst,
      );
      for (let count = 0; count < burst; count += 1) {
        setTimeout(() => {
          const members = this.live;
          const member = members[this.#random.takeIndex(members.length)];
          if (member !== undefined) void this.send(member, tenant);
        }, atMs);
      }
    }
  }

  /** Runs until `durationMs` have passed. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.#time.nowMs + durationMs;
    const tick = () => {
      if (this.#time.nowMs >= endMs) return;
      setTimeout(tick, PROBE_TICK_MS);
      for (const member of this.live) {
        if (member.suspendedUntilMs <= this.#time.nowMs) member.quotas.runDue();
      }
    };
    tick();
    for (;;) {
      for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
        await Promise.resolve();
      }
      const step = this.#time.nextStep;
      if (step === undefined || this.#time.nextAtMs > endMs) break;
      step.run();
    }
    this.#time.advance(Math.max(0, endMs - this.#time.nowMs));
  }

  /** Sends one request of a tenant to a gateway. */
  async send(member: Member, tenant: string): Promise<void> {
    const counts = this.findCounts(tenant);
    const entry = member.tenants.find(({ name }) => name === tenant);
    if (member.suspendedUntilMs > this.#time.nowMs) return;
    counts.offered += 1;
    const startedAtMs = this.#time.nowMs;
    const admission = await member.quotas.requests.acquire({
      tenant: entry,
      configurationVersion: member.version,
    });
    counts.waitedMs.push(this.#time.nowMs - startedAtMs);
    if (admission.kind === "refused") {
      return this.#countRefusal(counts, admission.refusal.code);
    }
    await waitFor(member.random.takeFloat() * MAX_QUEUE_MS);
    await waitFor(Math.max(0, this.targetsFullUntilMs - this.#time.nowMs));
    await this.#waitWhileSuspended(member);
    const refusal = await admission.credit?.confirm();
    if (refusal !== undefined) return this.#countRefusal(counts, refusal.code);
    await this.#waitWhileSuspended(member);
    admission.credit?.recordSent();
    counts.sentAtMs.push(this.#time.nowMs);
    admission.credit?.release();
  }

  #countRefusal(counts: TenantCounts, code: string): void {
    if (code === "QuotaExceeded") counts.denied += 1;
    else counts.undecided += 1;
  }

  async #waitWhileSuspended(member: Member): Promise<void> {
    const leftMs = member.suspendedUntilMs - this.#time.nowMs;
    if (leftMs > 0) await waitFor(leftMs);
  }

  #addMember(info: PeerInfo, tenants: readonly TenantEntry[]): Member {
    const directory = new PeerDirectory(info);
    const random = new RandomSource(this.#random.takeIndex(2 ** 31));
    const call = (peer: PeerInfo, message: PeerMessage, timeoutMs?: number) =>
      this.#call(member, { peer, message, timeoutMs });
    const quotas = buildQuotaComponents({
      settings: { vmId: info.vmId, quota: BOUNDS },
      directory,
      links: { call },
      log: LOG,
      metrics: { add: () => {} },
      probe: async (peers) => {
        await Promise.all(peers.map((peer) =>
          call(peer, {
            kind: "hello",
            known: 0,
            shardsRevision: 0,
            blockedRequests: 0,
          })
        ));
      },
      getConfiguration: () => member,
      clock: { readMs: () => this.#time.nowMs },
      takeRandom: () => random.takeFloat(),
    });
    const member: Member = {
      info,
      directory,
      quotas,
      random,
      group: 0,
      isAlive: true,
      isOld: false,
      suspendedUntilMs: 0,
      version: 1,
      tenants,
    };
    this.#members.set(info.vmId, member);
    return member;
  }

  async #call(
    member: Member,
    { peer, message, timeoutMs = CALL_TIMEOUT_MS }: {
      readonly peer: PeerInfo;
      readonly message: PeerMessage;
      readonly timeoutMs: number | undefined;
    },
  ): Promise<PeerResponse | undefined> {
    if (!canReceive(peer, message.kind)) return undefined;
    if (message.kind === "hello") this.probes += 1;
    else this.calls += 1;
    const answered = this.#answer(member, peer, message);
    const response = await Promise.race([answered, waitFor(timeoutMs)]);
    if (response === undefined) {
      const known = member.directory.find(peer.vmId);
      if (known?.bootId === peer.bootId) {
        member.directory.recordUnresponsive(peer.vmId);
      }
      return undefined;
    }
    member.directory.set(response.from);
    return response;
  }

  async #answer(
    member: Member,
    { vmId, bootId }: PeerInfo,
    message: PeerMessage,
  ): Promise<PeerResponse | undefined> {
    const receiver = this.#members.get(vmId);
    if (receiver === undefined) return undefined;
    await this.#travel(member, receiver);
    receiver.directory.set(member.info);
    if (receiver.isOld) {
      // A connection to another process begins with a greeting.
      const isGreeting = bootId !== "old";
      if (message.kind === "take_credits" && !isGreeting) {
        this.unknownKinds += 1;
      }
      const { protocol: _protocol, ...from } = receiver.info;
      await this.#travel(receiver, member);
      return { from: { ...from, bootId: "old" } };
    }
    const credits = message.kind === "take_credits"
      ? await receiver.quotas.answer(message, member.info.vmId)
      : undefined;
    await this.#travel(receiver, member);
    const from = receiver.info;
    return credits === undefined ? { from } : { from, credits };
  }

  /** Resolves when a message has arrived; never if it doesn't. */
  async #travel(from: Member, to: Member): Promise<void> {
    const isNear = from.info.region === to.info.region;
    await this.#waitWhileSuspended(from);
    await waitFor((isNear ? NEAR_MS : FAR_MS) * (1 + this.#random.takeFloat()));
    await this.#waitWhileSuspended(to);
    const isLost = this.#random.takeFloat() < this.lossRate;
    const isCut = from.group !== to.group || !to.isAlive || !from.isAlive;
    if (isLost || isCut) await new Promise<void>(() => {});
  }
}

/** Waits by the simulated clock. */
export function waitFor(durationMs: number): Promise<undefined> {
  return new Promise((resolve) =>
    setTimeout(() => resolve(undefined), durationMs)
  );
}
