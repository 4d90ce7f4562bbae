/**
 * A simulated cluster with replicas, owners and recoveries of one shard, over a
 * faulty network and platform, in virtual time and with seeded faults.
 */
import { Packr } from "msgpackr";
import type {
  Effect,
  EntryBody,
  FailureDomain,
  PlatformRequest,
  PlatformResponse,
  PlatformToken,
  ReplicaMessage,
  VmId,
} from "@camphorlock/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FakePlatform } from "./fake_platform_test.ts";
import { LedgerHistory, type RequestEpochs } from "./ledger_history_test.ts";
import {
  DEFAULT_LEDGER_LIMITS,
  type LedgerInput,
  type LedgerLimits,
  type LedgerNotice,
  type RecoveredShard,
  type RecoveryNotice,
  Replica,
  ShardLedger,
  ShardRecovery,
  WritePacer,
} from "./mod.ts";

const SHARD = 7;
const TICK_MS = 25;
const packr = new Packr({ useRecords: false });

/** The rates of injected faults, in percent. */
export interface FaultRates {
  readonly dropped: number;
  readonly duplicated: number;
  readonly lostResponses: number;
  readonly refused: number;
}

export interface FakeClusterOptions {
  readonly seed: number;
  readonly domains: readonly FailureDomain[];
  readonly faults: FaultRates;
  readonly limits?: Partial<LedgerLimits>;
  readonly exposeAfterMs?: number;
}

interface FakeNode {
  readonly vmId: VmId;
  readonly domain: FailureDomain;
  incarnation: number;
  replica: Replica;
  pacer: WritePacer;
  recovery: ShardRecovery | undefined;
  ledger: ShardLedger | undefined;
  epoch: number;
  /** The ids of the shard's entries, as the owner's state. */
  ids: string[];
  durable: number;
  readonly confirmations: Map<number, RequestEpochs>;
  isPaused: boolean;
  isRemoved: boolean;
  /** Inputs that arrived while the process was paused. */
  deferred: (() => void)[];
}

interface TimedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

export class FakeCluster {
  readonly platform = new FakePlatform();
  readonly history = new LedgerHistory();
  readonly nodes: FakeNode[];
  readonly limits: LedgerLimits;
  readonly notices: (LedgerNotice | RecoveryNotice)[] = [];
  faults: FaultRates;
  isPlatformDown = false;
  /** Whether the owners append entries on each tick. */
  isLoaded = true;
  isTakingSnapshots = true;
  cutPairs = new Set<string>();
  nowMs = 0;
  epoch = 0;
  writes = 0;
  readonly #options: FakeClusterOptions;
  readonly #random;
  #events: TimedEvent[] = [];
  #order = 0;
  #nextId = 0;

  constructor(options: FakeClusterOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    this.faults = options.faults;
    this.limits = { ...DEFAULT_LEDGER_LIMITS, ...options.limits };
    this.nodes = options.domains.map((domain, index) =>
      this.#createNode(`vm-${index}`, domain)
    );
  }

  /** Raises the epoch and starts a recovery of the shard on a node. */
  startTakeover(index: number): void {
    const node = this.nodes[index % this.nodes.length];
    if (node === undefined || node.isRemoved || node.isPaused) return;
    if (this.isPlatformDown || node.epoch === this.epoch && this.epoch > 0) {
      return;
    }
    this.epoch += 1;
    node.epoch = this.epoch;
    node.ledger = undefined;
    node.recovery = new ShardRecovery({
      shard: SHARD,
      epoch: this.epoch,
      keepers: this.#chooseReplicas(node),
      limits: this.limits,
      exposeAfterMs: this.#options.exposeAfterMs ?? 3_000,
    });
    this.#tickNode(node);
  }

  /** Restarts the process of a node, which loses the state in its memory. */
  restart(index: number): void {
    const node = this.nodes[index % this.nodes.length];
    if (node === undefined || node.isRemoved) return;
    const incarnation = node.incarnation + 1;
    const fresh = this.#createNode(node.vmId, node.domain);
    const replica = createReplica(incarnation);
    Object.assign(node, { ...fresh, incarnation, replica });
  }

  /** Removes a VM permanently; the other nodes are notified. */
  remove(index: number): void {
    const node = this.nodes[index % this.nodes.length];
    if (node === undefined) return;
    this.restart(index);
    node.isRemoved = true;
  }

  pause(index: number): void {
    const node = this.nodes[index % this.nodes.length];
    if (node !== undefined) node.isPaused = true;
  }

  resume(index: number): void {
    const node = this.nodes[index % this.nodes.length];
    if (node === undefined || !node.isPaused) return;
    node.isPaused = false;
    const deferred = node.deferred;
    node.deferred = [];
    for (const run of deferred) run();
  }

  /** The node that serves the shard under the newest epoch. */
  findOwner(): FakeNode | undefined {
    return this.nodes.find((node) =>
      node.epoch === this.epoch && node.ledger?.isServing
    );
  }

  /** Appends one entry at a node and returns its id. */
  append(node: FakeNode): string {
    this.#nextId += 1;
    const id = `e${node.epoch}-${this.#nextId}`;
    const body: EntryBody = {
      kind: "program_ended",
      programId: id,
      reason: "caller",
    };
    const step = node.ledger?.append([body], this.nowMs);
    if (step === undefined || step.isErr()) return id;
    this.history.recordAppended(id, node.epoch);
    node.ids.push(id);
    this.#applyEffects(node, step.value.effects);
    return id;
  }

  confirm(node: FakeNode): void {
    if (node.ledger === undefined) return;
    const step = node.ledger.confirm(this.nowMs);
    const { servedEpoch } = this.history;
    node.confirmations.set(step.token, { epoch: node.epoch, servedEpoch });
    this.#applyEffects(node, step.effects);
  }

  close(node: FakeNode): void {
    if (node.ledger === undefined) return;
    this.#applyEffects(node, node.ledger.close(this.nowMs));
  }

  /** Advances virtual time. */
  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      const nextMs = Math.min(endMs, this.nowMs + TICK_MS);
      this.#runEvents(nextMs);
      this.nowMs = nextMs;
      for (const node of this.nodes) this.#tickNode(node);
    }
  }

  #createNode(vmId: VmId, domain: FailureDomain): FakeNode {
    const incarnation = 1;
    const replica = createReplica(incarnation);
    const pacer = new WritePacer({ writesPerSecond: 20 });
    return {
      vmId,
      domain,
      incarnation,
      replica,
      pacer,
      recovery: undefined,
      ledger: undefined,
      epoch: 0,
      ids: [],
      durable: 0,
      confirmations: new Map(),
      isPaused: false,
      isRemoved: false,
      deferred: [],
    };
  }

  #chooseReplicas(self: FakeNode): VmId[] {
    const chosen: FakeNode[] = [];
    const peers = this.nodes.filter((each) => each !== self && !each.isRemoved);
    const start = this.#chooseInt(0, peers.length - 1);
    for (const node of [...peers.slice(start), ...peers.slice(0, start)]) {
      const isDomainUsed = chosen.some((each) => each.domain === node.domain);
      if (!isDomainUsed && chosen.length < 3) chosen.push(node);
    }
    const more = peers.filter((each) => !chosen.includes(each));
    return [...chosen, ...more].slice(0, 3).map((each) => each.vmId);
  }

  #tickNode(node: FakeNode): void {
    if (node.isRemoved || node.isPaused) return;
    const { recovery, ledger } = node;
    if (recovery !== undefined) {
      const removed = this.nodes.filter((each) => each.isRemoved);
      const vmIds = removed.map((each) => each.vmId);
      const step = recovery.handle({ kind: "vms_gone", vmIds }, this.nowMs);
      this.#applyRecovery(node, step);
      this.#handleInput(node, { kind: "tick" });
    }
    if (ledger === undefined) return;
    this.#handleInput(node, { kind: "tick" });
    this.#runOwner(node);
  }

  #runOwner(node: FakeNode): void {
    const { ledger } = node;
    if (ledger === undefined) return;
    if (this.isLoaded) {
      if (ledger.usage < 1 && this.#rollPercent(50)) this.append(node);
      if (this.#rollPercent(20)) this.confirm(node);
    }
    if (!this.isTakingSnapshots || !ledger.needsSnapshot) return;
    const throughSequence = ledger.lastSequence;
    const half = Math.ceil(node.ids.length / 2);
    const parts = [node.ids.slice(0, half), node.ids.slice(half)]
      .map((ids) => packr.pack(ids));
    const content = { throughSequence, parts };
    this.#applyEffects(node, ledger.startSnapshot(content, this.nowMs));
  }

  #handleInput(node: FakeNode, input: LedgerInput): void {
    if (node.recovery !== undefined) {
      this.#applyRecovery(node, node.recovery.handle(input, this.nowMs));
    } else if (node.ledger !== undefined) {
      const step = node.ledger.handle(input, this.nowMs);
      this.#applyEffects(node, step.effects);
      for (const notice of step.notices) this.#applyLedger(node, notice);
    }
  }

  #applyLedger(node: FakeNode, notice: LedgerNotice): void {
    this.notices.push(notice);
    if (notice.kind === "durable") {
      for (let each = node.durable + 1; each <= notice.through; each += 1) {
        this.history.recordDurable(each, node.ids[each - 1] ?? "");
      }
      node.durable = notice.through;
    }
    if (notice.kind === "confirmed") {
      const request = node.confirmations.get(notice.token);
      if (request !== undefined) this.history.recordConfirmed(request);
    }
  }

  #applyRecovery(
    node: FakeNode,
    step: {
      readonly effects: readonly Effect[];
      readonly notices: readonly RecoveryNotice[];
    },
  ): void {
    this.#applyEffects(node, step.effects);
    for (const notice of step.notices) {
      this.notices.push(notice);
      if (notice.kind === "damaged") throw new Error(notice.failure.detail);
      if (notice.kind === "superseded") node.recovery = undefined;
      if (notice.kind === "recovered") this.#startLedger(node, notice.shard);
    }
  }

  #startLedger(node: FakeNode, shard: RecoveredShard): void {
    const parts = shard.snapshot?.parts ?? [];
    const stored = parts.flatMap((part) => packr.unpack(part) as string[]);
    const later = shard.entries.map(({ body }) =>
      body.kind === "program_ended" ? body.programId : ""
    );
    node.ids = [...stored, ...later];
    node.durable = node.ids.length;
    node.confirmations.clear();
    node.recovery = undefined;
    const { epoch, ids } = node;
    const { isExposed } = shard;
    this.history.recordRecovered({ epoch, ids: [...ids], isExposed });
    node.ledger = new ShardLedger({
      ...shard.start,
      self: node.vmId,
      shard: SHARD,
      epoch,
      failureDomainOf: (vmId) => this.#findDomain(vmId),
      limits: this.limits,
      pacer: node.pacer,
    });
  }

  #findDomain(vmId: VmId): FailureDomain {
    return this.nodes.find((each) => each.vmId === vmId)?.domain ?? "none";
  }

  #applyEffects(node: FakeNode, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send_peer") {
        this.#send(node, effect.to, effect.message as ReplicaMessage);
      }
      if (effect.kind === "call_platform") {
        this.#callPlatform(node, effect.token, effect.request);
      }
    }
  }

  #send(from: FakeNode, to: VmId, message: ReplicaMessage): void {
    const pair = [from.vmId, to].sort().join();
    const isCut = this.cutPairs.has(pair);
    if (isCut || this.#rollPercent(this.faults.dropped)) return;
    const copies = this.#rollPercent(this.faults.duplicated) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isSlow = this.#rollPercent(this.faults.dropped);
      const delayMs = this.#chooseInt(1, isSlow ? 3_000 : 30);
      this.#schedule(delayMs, () => this.#deliver(from.vmId, to, message));
    }
  }

  #deliver(from: VmId, to: VmId, message: ReplicaMessage): void {
    const node = this.nodes.find((each) => each.vmId === to);
    if (node === undefined || node.isRemoved) return;
    this.#runOnNode(node, () => {
      const isForReplica = message.kind === "keep_entries" ||
        message.kind === "seal_keeper";
      if (isForReplica) {
        this.#applyEffects(node, node.replica.handle(from, message));
      } else this.#handleInput(node, { kind: "peer", from, message });
    });
  }

  #runOnNode(node: FakeNode, run: () => void): void {
    if (node.isPaused) node.deferred.push(run);
    else run();
  }

  #callPlatform(
    node: FakeNode,
    token: PlatformToken,
    request: PlatformRequest,
  ): void {
    const { incarnation } = node;
    const respond = (delayMs: number, response: PlatformResponse): void => {
      this.#schedule(delayMs, () => {
        if (node.incarnation !== incarnation) return;
        const input = { kind: "platform", token, answer: response } as const;
        this.#runOnNode(node, () => this.#handleInput(node, input));
      });
    };
    if (request.kind === "put") this.writes += 1;
    if (this.isPlatformDown) {
      respond(300, { kind: "failed", reason: "refused" });
      return;
    }
    if (this.#rollPercent(this.faults.refused)) {
      respond(5, { kind: "failed", reason: "rate_limited" });
      return;
    }
    const isLost = this.#rollPercent(this.faults.lostResponses);
    const effectMs = this.#chooseInt(1, isLost ? 1_500 : 10);
    const lost: PlatformResponse = { kind: "failed", reason: "lost" };
    if (isLost) respond(200, lost);
    if (isLost && this.#rollPercent(30)) return;
    this.#schedule(effectMs, () => {
      const response = this.platform.handle(request);
      if (!isLost) respond(this.#chooseInt(1, 10), response);
    });
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    const atMs = this.nowMs + delayMs;
    this.#events.push({ atMs, order: this.#order, run });
  }

  #runEvents(untilMs: number): void {
    for (;;) {
      let next: TimedEvent | undefined;
      for (const event of this.#events) {
        if (event.atMs > untilMs) continue;
        const isEarlier = next === undefined || event.atMs < next.atMs ||
          event.atMs === next.atMs && event.order < next.order;
        if (isEarlier) next = event;
      }
      if (next === undefined) return;
      const chosen = next;
      this.#events = this.#events.filter((event) => event !== chosen);
      this.nowMs = Math.max(this.nowMs, chosen.atMs);
      chosen.run();
    }
  }

  #rollPercent(percent: number): boolean {
    return uniformInt(this.#random, 0, 99) < percent;
  }

  #chooseInt(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }
}

function createReplica(incarnation: number): Replica {
  return new Replica({ incarnation, maxBytes: 1_000_000, messageBytes: 400 });
}
