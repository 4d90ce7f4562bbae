/**
 * Interfaces of the components that the owner of a shard depends on.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  Call,
  CallId,
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
import type { RetryContext } from "../retry/mod.ts";

/** The durable ledger of the owned shard. */
export interface OwnerLedger {
  /** Appends all entries or none; an input reports when they are durable. */
  append(
    bodies: readonly EntryBody[],
    nowMs: number,
  ): Result<LedgerAppend, Failure>;
  /** Starts a check, from this moment on, that the epoch isn't superseded. */
  confirm(nowMs: number): LedgerConfirm;
  /** Used share of the space for entries that aren't stored, from 0 to 1. */
  readonly usage: number;
}

/** The sequence of the last appended entry, and the effects to carry out. */
export interface LedgerAppend {
  readonly sequence: number;
  readonly effects: readonly Effect[];
}

/** The token that the confirmation carries, and the effects to carry out. */
export interface LedgerConfirm {
  readonly token: number;
  readonly effects: readonly Effect[];
}

/** The data of a call for a placement decision. */
export interface PlacementRequest {
  readonly callId: CallId;
  readonly programId: ProgramId;
  readonly partner: Partner;
  readonly programClass: ProgramClass;
  readonly agent: string;
  readonly call: Call;
  readonly promptTokens: number;
  /** Targets at which an earlier attempt of this call failed. */
  readonly excluded: readonly TargetId[];
}

/** The chosen target, its dispatcher and the log effects of the decision. */
export interface PlacementChoice {
  readonly targetId: TargetId;
  readonly dispatcher: VmId;
  readonly cachedTokens: number;
  readonly effects: readonly Effect[];
}

/** Chooses targets and records which targets have cached prefixes. */
export interface CallPlacer {
  choose(
    request: PlacementRequest,
    nowMs: number,
  ): Result<PlacementChoice, Failure>;
  recordCached(program: ProgramId, use: CachedUse): void;
  recordReleased(program: ProgramId, target: TargetId): void;
  hasTarget(target: TargetId): boolean;
  /** Whether a target accepts new attempts at this moment. */
  isOpen(target: TargetId): boolean;
  /** Finds the node that currently dispatches for a target. */
  findDispatcher(target: TargetId): VmId | undefined;
  /** Updates the expected length of an agent's completions. */
  recordCompletion(agent: string, completionTokens: number): void;
  /** Removes the record of an ended program's prefix. */
  recordProgramEnded(program: ProgramId): void;
  /** Checks whether a new program is admitted. Fails with `Overloaded`. */
  checkAdmission(spec: ProgramSpec): Result<void, Failure>;
}

/** The tokens of a program that a target has cached after an attempt. */
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

/** A reservation of shared budgets, or the reason why there is none. */
export type SharedReservation =
  | HeldReservation
  /** A further portion is being drawn; the call may retry soon. */
  | { readonly kind: "waiting" }
  | { readonly kind: "refused"; readonly failure: Failure };

/** The amounts that a call has reserved of shared budgets. */
export interface HeldReservation {
  readonly kind: "reserved";
  readonly parts: readonly {
    readonly key: string;
    readonly reservedMicros: Micros;
  }[];
}

/** Receives the ends of calls and charges them once they are durable. */
export interface CallCharges {
  recordEnded(sequence: number, ended: EndedCall): void;
}

/** The part of the configuration that an owner uses. */
export interface OwnerConfiguration {
  readonly revision: Revision;
  readonly value: ConfigurationValue;
}

/** Limits of programs, and the owner's timeouts and periods. */
export interface OwnerLimits {
  /** Maximum number of calls in one program. */
  readonly maxCallsOfProgram: number;
  /** Share of the ledger's space above which no new call is accepted. */
  readonly maxLedgerUsage: number;
  /** How long a call waits for a target before it ends as not run. */
  readonly placeTimeoutMs: number;
  /** How long a call waits for a portion of a shared budget. */
  readonly budgetTimeoutMs: number;
  /** Like `placeTimeoutMs`, if no configured target serves the call. */
  readonly noTargetTimeoutMs: number;
  /** Time without a dispatcher's response before a slot request is repeated. */
  readonly slotTimeoutMs: number;
  readonly renewPeriodMs: number;
  readonly releaseRetryMs: number;
  readonly progressTimeoutMs: number;
  /** Age of a durable intent from which the epoch is confirmed again. */
  readonly intentAgeMs: number;
}

/** The default limits, which the settings may override. */
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

/** Identity, dependencies and limits of one shard's owner. */
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
  readonly retries: RetryContext;
}
