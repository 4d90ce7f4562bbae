/**
 * Takes over one shard for the owner of a new epoch.
 *
 * The steps are: read the snapshot and the log to its end, write a seal to the
 * next slot, seal the replicas of the last owner that served, write the entries
 * that only they held, and open the log under the new epoch. The shard may be
 * served only after the notice `recovered`.
 */
import { createFailure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformResponse,
  type PlatformToken,
  type ReplicaMessage,
  type VmId,
} from "@camphorlock/types";
import type { LedgerStart } from "./ledger_types.ts";
import { createRecoveryRecord } from "./recovery_log.ts";
import { type ReadProgress, RecoveryReader } from "./recovery_reader.ts";
import type {
  RecoveryInput,
  RecoveryNotice,
  RecoveryStep,
  ShardRecoveryOptions,
} from "./recovery_types.ts";
import { RecoveryWriter, type WriteOutcome } from "./recovery_writer.ts";
import { ReplicaSeals } from "./replica_seals.ts";
import type { ReplicaProcess } from "./segment.ts";

type Phase =
  | "reading"
  | "sealing_log"
  | "sealing_keepers"
  | "writing_tail"
  | "ended";

const MAX_CONCURRENT_READS = 8;
/** Time after which unresponsive replicas are reported. */
const REPORT_WAITING_AFTER_MS = 2_000;
/** Longest wait for the incarnations of the new epoch's replicas. */
const NEW_REPLICA_WAIT_MS = 200;

/** The takeover of one shard. */
export class ShardRecovery {
  readonly #options: ShardRecoveryOptions;
  readonly #reader: RecoveryReader;
  readonly #writer: RecoveryWriter;
  readonly #removedVms = new Set<VmId>();
  #phase: Phase = "reading";
  #seals: ReplicaSeals | undefined;
  #sealsStartedAtMs = 0;
  #processes: readonly ReplicaProcess[] = [];
  #hasParts = false;
  #hasReported = false;
  #isExposed = false;

  constructor(options: ShardRecoveryOptions) {
    const { shard, epoch, limits } = options;
    const { ringSize, platformTimeoutMs } = limits;
    this.#options = options;
    this.#writer = new RecoveryWriter({ shard, epoch, limits });
    this.#reader = new RecoveryReader({
      shard,
      epoch,
      ringSize,
      maxConcurrentReads: MAX_CONCURRENT_READS,
      platformTimeoutMs,
    });
  }

  /** Sends the first reads. */
  start(nowMs: number): RecoveryStep {
    return this.handle({ kind: "tick" }, nowMs);
  }

  /** Applies one input. */
  handle(input: RecoveryInput, nowMs: number): RecoveryStep {
    if (this.#phase === "ended") return { effects: [], notices: [] };
    const notices = this.#applyInput(input, nowMs);
    const progress = this.#checkSeals(nowMs);
    const effects = this.#sendDue(nowMs);
    const all = [...notices, ...progress];
    return { effects: [...effects, ...this.#logNotices(all)], notices: all };
  }

  #applyInput(input: RecoveryInput, nowMs: number): RecoveryNotice[] {
    switch (input.kind) {
      case "tick":
        this.#writer.checkTimeout(nowMs);
        return [];
      case "vms_gone":
        for (const vmId of input.vmIds) this.#removedVms.add(vmId);
        return [];
      case "peer":
        return this.#applyPeer(input.from, input.message);
      case "platform":
        return this.#applyPlatform(input, nowMs);
      default:
        return checkNever(input);
    }
  }

  #applyPeer(from: VmId, message: ReplicaMessage): RecoveryNotice[] {
    const { shard, epoch } = this.#options;
    if (message.shard !== shard || message.epoch !== epoch) return [];
    const sealedEpoch = this.#seals?.handle(from, message);
    return sealedEpoch === undefined ? [] : this.#endSuperseded(sealedEpoch);
  }

  #applyPlatform(
    input: { readonly token: PlatformToken; readonly answer: PlatformResponse },
    nowMs: number,
  ): RecoveryNotice[] {
    if (this.#writer.isWaitingFor(input.token)) {
      return this.#applyWriter(this.#writer.handle(input.answer, nowMs), nowMs);
    }
    return this.#applyReader(this.#reader.handle(input, nowMs), nowMs);
  }

  #applyReader(progress: ReadProgress, nowMs: number): RecoveryNotice[] {
    switch (progress.kind) {
      case "reading":
        return [];
      case "end_reached":
        return this.#startLogSeal(progress.version, nowMs);
      case "snapshot_read":
        this.#hasParts = true;
        return [];
      case "superseded":
        return this.#endSuperseded(progress.epoch);
      case "damaged":
        this.#phase = "ended";
        return [progress];
      default:
        return checkNever(progress);
    }
  }

  #applyWriter(outcome: WriteOutcome, nowMs: number): RecoveryNotice[] {
    switch (outcome.kind) {
      case "pending":
        return [];
      case "taken":
        return this.#applyTaken(outcome.epoch);
      case "sealed":
        this.#reader.log.append(outcome.segment);
        this.#startReplicaSeals(nowMs);
        return [];
      case "opened":
        return this.#endRecovered(outcome.extents);
      default:
        return checkNever(outcome);
    }
  }

  /** The former owner wrote another segment, which belongs to the log. */
  #applyTaken(epoch: Epoch): RecoveryNotice[] {
    if (epoch >= this.#options.epoch) return this.#endSuperseded(epoch);
    this.#phase = "reading";
    this.#reader.resumeReading();
    return [];
  }

  #startLogSeal(version: number, nowMs: number): RecoveryNotice[] {
    const { log } = this.#reader;
    this.#writer.setPosition(log.nextSegment, version);
    if (log.sealedBy === this.#options.epoch) {
      this.#startReplicaSeals(nowMs);
      return [];
    }
    this.#phase = "sealing_log";
    this.#writer.startSeal();
    return this.#checkRing(1);
  }

  #startReplicaSeals(nowMs: number): void {
    const { shard, epoch, keepers, limits } = this.#options;
    const { log } = this.#reader;
    this.#phase = "sealing_keepers";
    this.#sealsStartedAtMs = nowMs;
    this.#hasParts = (this.#reader.head?.partCount ?? 0) === 0;
    this.#reader.readParts();
    this.#seals = new ReplicaSeals({
      shard,
      epoch,
      open: log.isClosed ? undefined : log.open,
      newReplicas: keepers,
      storedThrough: log.lastSequence,
      resendAfterMs: limits.resendAfterMs,
      maxResendMs: limits.maxResendMs,
    });
  }

  /** Writes the tail once enough replicas have responded. */
  #checkSeals(nowMs: number): RecoveryNotice[] {
    const seals = this.#seals;
    if (this.#phase !== "sealing_keepers" || seals === undefined) return [];
    if (!this.#hasParts) return [];
    for (const vmId of this.#removedVms) seals.setRemoved(vmId);
    const waitedMs = nowMs - this.#sealsStartedAtMs;
    switch (seals.verdict) {
      case "proved":
        if (!seals.isComplete && waitedMs < NEW_REPLICA_WAIT_MS) return [];
        return this.#writeTail(seals);
      case "fenced":
        return this.#checkExposure(seals, waitedMs);
      case "unproved":
        return this.#checkWaiting(seals, waitedMs);
      default:
        return checkNever(seals.verdict);
    }
  }

  #checkExposure(seals: ReplicaSeals, waitedMs: number): RecoveryNotice[] {
    const { missing } = seals;
    const isWaitOver = missing.length === 0 ||
      waitedMs >= this.#options.exposeAfterMs;
    if (!isWaitOver) return this.#checkWaiting(seals, waitedMs);
    this.#isExposed = true;
    return [{ kind: "exposed", missing }, ...this.#writeTail(seals)];
  }

  #checkWaiting(seals: ReplicaSeals, waitedMs: number): RecoveryNotice[] {
    if (this.#hasReported || waitedMs < REPORT_WAITING_AFTER_MS) return [];
    this.#hasReported = true;
    return [{ kind: "waiting", missing: seals.missing }];
  }

  #writeTail(seals: ReplicaSeals): RecoveryNotice[] {
    const { log } = this.#reader;
    const tail = seals.mergeTail();
    const storedThrough = log.lastSequence;
    this.#processes = seals.newProcesses;
    this.#phase = "writing_tail";
    log.appendTail(tail);
    this.#writer.startTail(tail, { keepers: this.#processes, storedThrough });
    return this.#checkRing(this.#writer.plannedCount);
  }

  /** Fails if a new segment would overwrite one that no snapshot covers. */
  #checkRing(added: number): RecoveryNotice[] {
    const live = this.#reader.log.extents.length + added;
    const { ringSize } = this.#options.limits;
    if (live <= ringSize) return [];
    this.#phase = "ended";
    const detail = `${live} live segments exceed the ring of ${ringSize}`;
    const failure = createFailure("LedgerFull", detail);
    return [{ kind: "damaged", failure }];
  }

  #endRecovered(extents: LedgerStart["extents"]): RecoveryNotice[] {
    this.#phase = "ended";
    const { log, head, parts } = this.#reader;
    const snapshot = head === undefined || parts === undefined
      ? {}
      : { snapshot: { throughSequence: head.throughSequence, parts } };
    const start: LedgerStart = {
      keepers: this.#processes,
      formerReplicas: this.#seals?.formerProcesses ?? [],
      firstSequence: log.lastSequence + 1,
      nextSegment: this.#writer.nextSegment,
      extents: [...log.extents, ...extents],
    };
    const { entries } = log;
    const isExposed = this.#isExposed;
    const shard = { ...snapshot, entries, start, isExposed };
    return [{ kind: "recovered", shard }];
  }

  #endSuperseded(epoch: Epoch): RecoveryNotice[] {
    this.#phase = "ended";
    return [{ kind: "superseded", epoch }];
  }

  #sendDue(nowMs: number): Effect[] {
    if (this.#phase === "ended") return [];
    const seals = this.#phase === "sealing_keepers" ? this.#seals : undefined;
    return [
      ...this.#reader.sendDue(nowMs),
      ...this.#writer.sendDue(nowMs),
      ...(seals?.sendDue(nowMs) ?? []),
    ];
  }

  #logNotices(notices: readonly RecoveryNotice[]): Effect[] {
    const { shard, epoch } = this.#options;
    return notices.map((notice) => {
      const record = createRecoveryRecord(notice, { shard, epoch });
      return { kind: "log", record };
    });
  }
}
