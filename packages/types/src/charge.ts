/**
 * Charges for ended calls and their split between the partners.
 */
import type { CostClass } from "./configuration.ts";
import type { CallId, Micros, Partner, ProgramId, Revision } from "./ids.ts";

/** The part of a charge that one partner pays. */
export interface PartnerAmount {
  readonly partner: Partner;
  readonly micros: Micros;
}

/** The charge of one ended call. */
export interface Charge {
  readonly callId: CallId;
  readonly programId: ProgramId;
  /** The partner whose program ran the call. */
  readonly partner: Partner;
  readonly team?: string;
  readonly costClass: CostClass;
  readonly micros: Micros;
  /** The agreement in force when the call ended. */
  readonly agreementRevision: Revision;
  readonly endedAtMs: number;
  /** The amounts sum to `micros`. */
  readonly split: readonly PartnerAmount[];
}
