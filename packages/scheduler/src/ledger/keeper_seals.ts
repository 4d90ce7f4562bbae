/**
 * Seals the keepers of the last owner that served, collects the entries that
 * they hold, and judges what their answers prove.
 *
 * An entry was durable by keepers only if two of them held it. When all but
 * one prove what they hold, each such entry is among their copies, and no two
 * keepers are left that would accept the former owner's messages.
 */
import type {
  Effect,
  Epoch,
  KeeperMessage,
  LedgerEntry,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { KeeperProcess, OpenRecord } from "./segment.ts";

/** The options of a round of seals. */
export interface KeeperSealsOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  /** The last owner that served; none when the shard is new. */
  readonly open: OpenRecord | undefined;
  /** The keepers of the new owner, whose processes are to be known. */
  readonly newKeepers: readonly VmId[];
  /** Entries up to here are on the platform. */
  readonly storedThrough: number;
  readonly resendAfterMs: number;
  readonly resendAtMostMs: number;
}

/**
 * What the answers so far prove.
 *
 * `proved`: every durable entry is known. `fenced`: the former owner can't go
 * on, but entries may be lost that only silent or restarted keepers held.
 * `unproved`: neither is sure.
 */
export type SealVerdict = "proved" | "fenced" | "unproved";

type SealedMessage = Extract<KeeperMessage, { kind: "keeper_sealed" }>;

interface SealedKeeper {
  readonly vmId: VmId;
  entries: LedgerEntry[];
  incarnation: number;
  answer: SealedMessage | undefined;
  isGone: boolean;
  sentAtMs: number;
  sends: number;
}

/** The seals of one recovery. */
export class KeeperSeals {
  readonly #options: KeeperSealsOptions;
  readonly #keepers: readonly SealedKeeper[];
  #token = 0;

  constructor(options: KeeperSealsOptions) {
    this.#options = options;
    const former = (options.open?.keepers ?? []).map((each) => each.vmId);
    const all = new Set([...former, ...options.newKeepers]);
    this.#keepers = [...all].map(createSealedKeeper);
  }

  /** What the answers prove about the former owner's entries. */
  get verdict(): SealVerdict {
    const former = this.#listFormer();
    const needed = former.length < 2 ? 0 : former.length - 1;
    const proved = former.filter((each) => this.#isProof(each));
    if (proved.length >= needed) return "proved";
    const fenced = former.filter((each) => isSettled(each));
    return fenced.length >= needed ? "fenced" : "unproved";
  }

  /** Former keepers that neither answered nor are gone for good. */
  get missing(): readonly VmId[] {
    return this.#listFormer()
      .filter((each) => !isSettled(each))
      .map((each) => each.vmId);
  }

  /** Whether every keeper, the new ones too, has answered or is gone. */
  get isComplete(): boolean {
    return this.#keepers.every(isSettled);
  }

  /** The processes of the new owner's keepers, as far as they answered. */
  get newProcesses(): readonly KeeperProcess[] {
    return [...new Set(this.#options.newKeepers)].map((vmId) => {
      const keeper = this.#keepers.find((each) => each.vmId === vmId);
      return { vmId, incarnation: keeper?.answer?.keeperIncarnation ?? 0 };
    });
  }

  /** The processes of the former keepers, as far as they answered. */
  get formerProcesses(): readonly KeeperProcess[] {
    return this.#listFormer().flatMap(({ vmId, answer }) =>
      answer === undefined
        ? []
        : [{ vmId, incarnation: answer.keeperIncarnation }]
    );
  }

  /** Notes that a VM was taken away, with whatever it held. */
  setGone(vmId: VmId): void {
    const keeper = this.#keepers.find((each) => each.vmId === vmId);
    if (keeper !== undefined) keeper.isGone = true;
  }

  /** Sends the seals that are due. */
  sendDue(nowMs: number): Effect[] {
    return this.#keepers
      .filter((each) => !isSettled(each) && this.#isDue(each, nowMs))
      .map((each) => this.#send(each, nowMs));
  }

  /** Applies an answer; gives the epoch of another owner that sealed first. */
  handle(from: VmId, message: KeeperMessage): Epoch | undefined {
    if (message.kind === "keep_refused") return message.sealedEpoch;
    if (message.kind !== "keeper_sealed") return undefined;
    const keeper = this.#keepers.find((each) => each.vmId === from);
    if (keeper === undefined || keeper.answer !== undefined) return undefined;
    this.#applyPage(keeper, message);
    return undefined;
  }

  /** Merges the keepers' entries that follow the stored ones without gaps. */
  mergeTail(): LedgerEntry[] {
    const entries = new Map<number, LedgerEntry>();
    for (const keeper of this.#listFormer()) {
      for (const entry of keeper.entries) entries.set(entry.sequence, entry);
    }
    const tail: LedgerEntry[] = [];
    let next = entries.get(this.#options.storedThrough + 1);
    while (next !== undefined) {
      tail.push(next);
      next = entries.get(next.sequence + 1);
    }
    return tail;
  }

  #listFormer(): SealedKeeper[] {
    const former = this.#options.open?.keepers ?? [];
    return this.#keepers.filter((keeper) =>
      former.some((each) => each.vmId === keeper.vmId)
    );
  }

  /** Whether the keeper has forgotten nothing that it ever acknowledged. */
  #isProof(keeper: SealedKeeper): boolean {
    const { open } = this.#options;
    const { answer } = keeper;
    if (open === undefined || answer === undefined) return false;
    if (answer.heldEpoch === open.epoch) return answer.complete;
    if (answer.heldEpoch > open.epoch) return false;
    const recorded = open.keepers.find((each) => each.vmId === keeper.vmId);
    return recorded?.incarnation === answer.keeperIncarnation;
  }

  #applyPage(keeper: SealedKeeper, message: SealedMessage): void {
    if (message.keeperIncarnation < keeper.incarnation) return;
    if (message.keeperIncarnation > keeper.incarnation) keeper.entries = [];
    keeper.incarnation = message.keeperIncarnation;
    if (this.#hasAll(keeper, message)) keeper.answer = message;
    keeper.sentAtMs = Number.NEGATIVE_INFINITY;
    keeper.sends = 0;
  }

  /**
   * Adds the entries of a page and tells whether the keeper's copy is whole.
   *
   * A page may answer an earlier round, so that entries before it are missing.
   */
  #hasAll(keeper: SealedKeeper, message: SealedMessage): boolean {
    if (message.heldEpoch !== this.#options.open?.epoch) return true;
    for (const entry of message.entries) {
      const isNext = entry.sequence === this.#computeAfter(keeper) + 1;
      if (isNext) keeper.entries.push(entry);
    }
    return this.#computeAfter(keeper) >= message.keptThrough;
  }

  #computeAfter(keeper: SealedKeeper): number {
    const { storedThrough } = this.#options;
    return keeper.entries.at(-1)?.sequence ?? storedThrough;
  }

  #isDue(keeper: SealedKeeper, nowMs: number): boolean {
    const { resendAfterMs, resendAtMostMs } = this.#options;
    const doublings = Math.min(Math.max(keeper.sends - 1, 0), 16);
    const waitMs = Math.min(resendAfterMs * 2 ** doublings, resendAtMostMs);
    return nowMs - keeper.sentAtMs >= waitMs;
  }

  #send(keeper: SealedKeeper, nowMs: number): Effect {
    keeper.sentAtMs = nowMs;
    keeper.sends += 1;
    this.#token += 1;
    const message: KeeperMessage = {
      kind: "seal_keeper",
      shard: this.#options.shard,
      epoch: this.#options.epoch,
      afterSequence: this.#computeAfter(keeper),
      token: this.#token,
    };
    return { kind: "send_peer", to: keeper.vmId, message };
  }
}

function createSealedKeeper(vmId: VmId): SealedKeeper {
  return {
    vmId,
    entries: [],
    incarnation: 0,
    answer: undefined,
    isGone: false,
    sentAtMs: Number.NEGATIVE_INFINITY,
    sends: 0,
  };
}

function isSettled(keeper: SealedKeeper): boolean {
  return keeper.answer !== undefined || keeper.isGone;
}
