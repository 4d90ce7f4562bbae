/**
 * What the owner of a shard needs of the parts around it.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  Call,
  ConfigurationValue,
  Effect,
  EntryBody,
  Epoch,
  Micros,
  Partner,
  ProgramClass,
  ProgramId,
  ProgramSpec,
  Revision,
  ShardId,
  TargetId,
  VmId,
} from "@camphorlock/types";
import type { Result } from "neverthrow";
import type { EndedCall } from "../agreement/mod.ts";
import type { RetryMeans } from "../retry/mod.ts";

/** The durable ledger of the owned shard. */
export interface OwnerLedger {
  /** Appends entries, or none; a notice tells when they are durable. */
  append(
    bodies: readonly EntryBody[],
    nowMs: number,
  ): Result<LedgerAppend, Failure>;
  /** Asks for a proof, from after this moment, that the epoch still stands. */
  confirm(nowMs: number): LedgerConfirm;
  /** Share of the space for entries that aren't stored yet, from 0 to 1. */
  readonly usage: number;
}

/** The place of appended entries and what has to be done for them. */
export interface LedgerAppend {
  readonly sequence: number;
  readonly effects: readonly Effect[];
}

/** The token that a later notice carries, and what has to be done. */
export interface LedgerConfirm {
  readonly token: number;
  readonly effects: readonly Effect[];
}

/** What a placement decision needs to know of a call. */
export interface PlacementRequest {
  readonly programId: ProgramId;
  readonly partner: Partner;
  readonly programClass: ProgramClass;
  readonly agent: string;
  readonly call: Call;
  readonly promptTokens: number;
  /** Targets that refused or broke during this call. */
  readonly excluded: readonly TargetId[];
}

/** The chosen target, its dispatcher and the log fields of the decision. */
export interface PlacementChoice {
  readonly targetId: TargetId;
  readonly dispatcher: VmId;
  readonly cachedTokens: number;
  readonly effects: readonly Effect[];
}

/** Chooses targets; keeps the record of cached prefixes. */
export interface CallPlacer {
  choose(
    request: PlacementRequest,
    nowMs: number,
  ): Result<PlacementChoice, Failure>;
  recordCached(program: ProgramId, use: CachedUse): void;
  recordReleased(program: ProgramId, target: TargetId): void;
  hasTarget(target: TargetId): boolean;
  /** Whether new work may be sent to a target at this moment. */
  isOpen(target: TargetId): boolean;
  /** Finds the node that dispatches for a target at present. */
  findDispatcher(target: TargetId): VmId | undefined;
  /** Learns from the length of an answer. */
  recordAnswer(agent: string, completionTokens: number): void;
  /** Forgets where an ended program's prefix is. */
  recordProgramEnded(program: ProgramId): void;
  /** Checks whether a new program may begin. Fails with `Overloaded`. */
  checkAdmission(spec: ProgramSpec): Result<void, Failure>;
}

/** What a target holds of a program after an attempt. */
export interface CachedUse {
  readonly targetId: TargetId;
  readonly tokens: number;
  readonly nowMs: number;
}

/** The budgets of teams and partners. */
export interface CallBudgets {
  reserve(
    spec: ProgramSpec,
    micros: Micros,
    nowMs: number,
  ): SharedReservation;
  settle(reservation: HeldReservation, chargeMicros: Micros): void;
}

/** A reservation of shared budgets, or why there is none. */
export type SharedReservation =
  | HeldReservation
  /** More is being drawn; the call may try again soon. */
  | { readonly kind: "waiting" }
  | { readonly kind: "refused"; readonly failure: Failure };

/** What a call holds of shared budgets. */
export interface HeldReservation {
  readonly kind: "reserved";
  readonly parts: readonly {
    readonly key: string;
    readonly reservedMicros: Micros;
  }[];
}

/** Takes the ends of calls, to charge them once they are durable. */
export interface CallCharges {
  recordEnded(sequence: number, ended: EndedCall): void;
}

/** The part of the configuration that an owner uses. */
export interface OwnerConfiguration {
  readonly revision: Revision;
  readonly value: ConfigurationValue;
}

/** Bounds of programs and periods of the owner's work. */
export interface OwnerLimits {
  /** Most calls in one program. */
  readonly maxCallsOfProgram: number;
  /** Share of the ledger's space above which no new call is accepted. */
  readonly maxLedgerUsage: number;
  /** How long a call waits for a target before it ends as not run. */
  readonly placeTimeoutMs: number;
  /** How long a call waits for a draw from a shared budget. */
  readonly budgetTimeoutMs: number;
  /** The same where no target is configured that serves the call. */
  readonly noTargetTimeoutMs: number;
  /** Silence of a dispatcher after which a slot is asked for again. */
  readonly slotTimeoutMs: number;
  readonly renewPeriodMs: number;
  readonly releaseRetryMs: number;
  readonly progressTimeoutMs: number;
  /** Age of a durable intent beyond which the epoch is confirmed again. */
  readonly intentAgeMs: number;
}

/** The bounds and periods used unless the settings say otherwise. */
export const DEFAULT_OWNER_LIMITS: OwnerLimits = {
  maxCallsOfProgram: 1_000,
  maxLedgerUsage: 0.8,
  placeTimeoutMs: 20_000,
  budgetTimeoutMs: 5_000,
  noTargetTimeoutMs: 3_000,
  slotTimeoutMs: 1_000,
  renewPeriodMs: 500,
  releaseRetryMs: 2_000,
  progressTimeoutMs: 10_000,
  intentAgeMs: 1_000,
};

/** Identity and parts of one shard's owner. */
export interface OwnerOptions {
  readonly self: VmId;
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly ledger: OwnerLedger;
  readonly placer: CallPlacer;
  readonly budgets: CallBudgets;
  readonly charges: CallCharges;
  readonly getConfiguration: () => OwnerConfiguration;
  /** Wall-clock time for stored entries, in milliseconds since the epoch. */
  readonly getWallClockMs: () => number;
  readonly limits: OwnerLimits;
  readonly retries: RetryMeans;
}
