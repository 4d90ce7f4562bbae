/**
 * Seals the replicas of the last owner that served, collects their entries, and
 * determines what their responses prove.
 *
 * An entry was durable by replication only if two replicas held it. When all
 * but one prove which entries they hold, their copies include every durable
 * entry, and no two replicas are left that accept the former owner's messages.
 */
import type {
  Effect,
  Epoch,
  LedgerEntry,
  ReplicaMessage,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { OpenRecord, ReplicaProcess } from "./segment.ts";

/** The options of a recovery's seals. */
export interface ReplicaSealsOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  /** The last owner that served; none if the shard is new or closed. */
  readonly open: OpenRecord | undefined;
  /** The new owner's replicas, whose incarnations are needed. */
  readonly newReplicas: readonly VmId[];
  /** Entries up to here are on the platform. */
  readonly storedThrough: number;
  readonly resendAfterMs: number;
  readonly maxResendMs: number;
}

/**
 * What the responses so far prove.
 *
 * `proved`: every durable entry was received. `fenced`: the former owner can't
 * continue, but entries that only unresponsive or restarted replicas held may
 * be lost. `unproved`: neither is certain.
 */
export type SealVerdict = "proved" | "fenced" | "unproved";

type SealedMessage = Extract<ReplicaMessage, { kind: "keeper_sealed" }>;

interface SealedReplica {
  readonly vmId: VmId;
  entries: LedgerEntry[];
  incarnation: number;
  answer: SealedMessage | undefined;
  isRemoved: boolean;
  sentAtMs: number;
  sends: number;
}

/** The seals of one recovery. */
export class ReplicaSeals {
  readonly #options: ReplicaSealsOptions;
  readonly #replicas: readonly SealedReplica[];
  #token = 0;

  constructor(options: ReplicaSealsOptions) {
    this.#options = options;
    const former = (options.open?.keepers ?? []).map((each) => each.vmId);
    const all = new Set([...former, ...options.newReplicas]);
    this.#replicas = [...all].map(createSealedReplica);
  }

  /** What the responses prove about the former owner's entries. */
  get verdict(): SealVerdict {
    const former = this.#listFormerReplicas();
    const needed = former.length < 2 ? 0 : former.length - 1;
    const proved = former.filter((each) => this.#isIntact(each));
    if (proved.length >= needed) return "proved";
    const fenced = former.filter((each) => isSettled(each));
    return fenced.length >= needed ? "fenced" : "unproved";
  }

  /** Former replicas that have neither responded nor been removed. */
  get missing(): readonly VmId[] {
    return this.#listFormerReplicas()
      .filter((each) => !isSettled(each))
      .map((each) => each.vmId);
  }

  /** Whether every replica, new ones too, has responded or is removed. */
  get isComplete(): boolean {
    return this.#replicas.every(isSettled);
  }

  /** The new owner's replicas; incarnation 0 if one hasn't responded. */
  get newProcesses(): readonly ReplicaProcess[] {
    return [...new Set(this.#options.newReplicas)].map((vmId) => {
      const replica = this.#replicas.find((each) => each.vmId === vmId);
      return { vmId, incarnation: replica?.answer?.keeperIncarnation ?? 0 };
    });
  }

  /** The former replicas that have responded. */
  get formerProcesses(): readonly ReplicaProcess[] {
    return this.#listFormerReplicas().flatMap(({ vmId, answer }) =>
      answer === undefined
        ? []
        : [{ vmId, incarnation: answer.keeperIncarnation }]
    );
  }

  /** Records that a VM was removed, which loses the entries that it held. */
  setRemoved(vmId: VmId): void {
    const replica = this.#replicas.find((each) => each.vmId === vmId);
    if (replica !== undefined) replica.isRemoved = true;
  }

  /** Sends the seals that are due. */
  sendDue(nowMs: number): Effect[] {
    return this.#replicas
      .filter((each) => !isSettled(each) && this.#isDue(each, nowMs))
      .map((each) => this.#send(each, nowMs));
  }

  /** Applies a response; returns the epoch of a newer seal, if there is one. */
  handle(from: VmId, message: ReplicaMessage): Epoch | undefined {
    if (message.kind === "keep_refused") return message.sealedEpoch;
    if (message.kind !== "keeper_sealed") return undefined;
    const replica = this.#replicas.find((each) => each.vmId === from);
    if (replica === undefined || replica.answer !== undefined) return undefined;
    this.#applyPage(replica, message);
    return undefined;
  }

  /** Merges the replicas' entries that follow the stored ones without gaps. */
  mergeTail(): LedgerEntry[] {
    const entries = new Map<number, LedgerEntry>();
    for (const replica of this.#listFormerReplicas()) {
      for (const entry of replica.entries) entries.set(entry.sequence, entry);
    }
    const tail: LedgerEntry[] = [];
    let next = entries.get(this.#options.storedThrough + 1);
    while (next !== undefined) {
      tail.push(next);
      next = entries.get(next.sequence + 1);
    }
    return tail;
  }

  #listFormerReplicas(): SealedReplica[] {
    const former = this.#options.open?.keepers ?? [];
    return this.#replicas.filter((replica) =>
      former.some((each) => each.vmId === replica.vmId)
    );
  }

  /** Whether the replica has lost no entry that it ever acknowledged. */
  #isIntact(replica: SealedReplica): boolean {
    const { open } = this.#options;
    const { answer } = replica;
    if (open === undefined || answer === undefined) return false;
    if (answer.heldEpoch === open.epoch) return answer.complete;
    if (answer.heldEpoch > open.epoch) return false;
    const recorded = open.keepers.find((each) => each.vmId === replica.vmId);
    return recorded?.incarnation === answer.keeperIncarnation;
  }

  #applyPage(replica: SealedReplica, message: SealedMessage): void {
    if (message.keeperIncarnation < replica.incarnation) return;
    if (message.keeperIncarnation > replica.incarnation) replica.entries = [];
    replica.incarnation = message.keeperIncarnation;
    if (this.#addPage(replica, message)) replica.answer = message;
    replica.sentAtMs = Number.NEGATIVE_INFINITY;
    replica.sends = 0;
  }

  /**
   * Adds the entries of a page; returns whether the copy is complete.
   *
   * A page may respond to an earlier request, so that entries before it are
   * missing.
   */
  #addPage(replica: SealedReplica, message: SealedMessage): boolean {
    if (message.heldEpoch !== this.#options.open?.epoch) return true;
    for (const entry of message.entries) {
      const isNext = entry.sequence === this.#getLastSequence(replica) + 1;
      if (isNext) replica.entries.push(entry);
    }
    return this.#getLastSequence(replica) >= message.keptThrough;
  }

  #getLastSequence(replica: SealedReplica): number {
    const { storedThrough } = this.#options;
    return replica.entries.at(-1)?.sequence ?? storedThrough;
  }

  #isDue(replica: SealedReplica, nowMs: number): boolean {
    const { resendAfterMs, maxResendMs } = this.#options;
    const doublings = Math.min(Math.max(replica.sends - 1, 0), 16);
    const waitMs = Math.min(resendAfterMs * 2 ** doublings, maxResendMs);
    return nowMs - replica.sentAtMs >= waitMs;
  }

  #send(replica: SealedReplica, nowMs: number): Effect {
    replica.sentAtMs = nowMs;
    replica.sends += 1;
    this.#token += 1;
    const message: ReplicaMessage = {
      kind: "seal_keeper",
      shard: this.#options.shard,
      epoch: this.#options.epoch,
      afterSequence: this.#getLastSequence(replica),
      token: this.#token,
    };
    return { kind: "send_peer", to: replica.vmId, message };
  }
}

function createSealedReplica(vmId: VmId): SealedReplica {
  return {
    vmId,
    entries: [],
    incarnation: 0,
    answer: undefined,
    isRemoved: false,
    sentAtMs: Number.NEGATIVE_INFINITY,
    sends: 0,
  };
}

function isSettled(replica: SealedReplica): boolean {
  return replica.answer !== undefined || replica.isRemoved;
}
