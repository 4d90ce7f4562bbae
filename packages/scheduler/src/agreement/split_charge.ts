/**
 * The charge of a call and its split between the partners.
 *
 * Amounts are in whole micros. Shares are rounded down, and the partner named
 * by the agreement pays the remainder, so that the parts add up to the charge.
 */
import {
  type Charge,
  checkNever,
  type ConfigurationValue,
  type CostClass,
  type CostSplit,
  type Micros,
  type Partner,
  type PartnerAmount,
  PARTNERS,
  type ProgramSpec,
  type Revision,
  TOKENS_PER_PRICE,
  type Usage,
  WHOLE_PPM,
} from "@camphorlock/types";

/** What a charge is for. */
export type ChargedCall =
  | { readonly kind: "model"; readonly model: string; readonly usage: Usage }
  | { readonly kind: "service"; readonly service: string };

/**
 * Computes the charge of a call from the prices in force, rounded up to whole
 * micros. A model or service without a price costs nothing.
 */
export function computeCharge(
  value: ConfigurationValue,
  call: ChargedCall,
): Micros {
  switch (call.kind) {
    case "model":
      return computeModelCharge(value, call);
    case "service": {
      const price = value.services.find((each) => {
        return each.service === call.service;
      });
      return price?.callMicros ?? 0;
    }
    default:
      return checkNever(call);
  }
}

function computeModelCharge(
  value: ConfigurationValue,
  call: Extract<ChargedCall, { readonly kind: "model" }>,
): Micros {
  const price = value.models.find((each) => each.model === call.model);
  if (price === undefined) return 0;
  const { promptTokens, cachedTokens, completionTokens } = call.usage;
  const cached = Math.min(cachedTokens, promptTokens);
  const sum = (promptTokens - cached) * price.promptMicros +
    cached * price.cachedMicros +
    completionTokens * price.completionMicros;
  return Math.ceil(sum / TOKENS_PER_PRICE);
}

/** Chooses the cost class of a program's calls. */
export function chooseCostClass(
  value: ConfigurationValue,
  spec: Pick<ProgramSpec, "partner" | "team">,
): CostClass {
  const team = value.teams.find((each) => each.team === spec.team);
  return team?.sharedWork === true ? "shared" : spec.partner;
}

/**
 * Finds the split of a class of costs that was in force at a revision.
 *
 * Without an agreement, each partner pays for its own work, and both pay equal
 * shares of shared costs.
 */
export function findSplit(
  value: ConfigurationValue,
  options: { readonly costClass: CostClass; readonly revision: Revision },
): CostSplit {
  const { costClass, revision } = options;
  const ofClass = [...value.costSplits, ...value.pastSplits].filter((each) => {
    return each.costClass === costClass && each.since <= revision;
  });
  const latest = ofClass.reduce<CostSplit | undefined>((best, each) => {
    return best === undefined || each.since > best.since ? each : best;
  }, undefined);
  return latest ?? buildDefaultSplit(costClass);
}

function buildDefaultSplit(costClass: CostClass): CostSplit {
  const shares = PARTNERS.map((partner) => ({
    partner,
    sharePpm: computeDefaultShare(costClass, partner),
  }));
  const remainderTo = costClass === "shared" ? PARTNERS[0] : costClass;
  return { costClass, shares, remainderTo, since: 0 };
}

function computeDefaultShare(costClass: CostClass, partner: Partner): number {
  if (costClass === "shared") return WHOLE_PPM / PARTNERS.length;
  return costClass === partner ? WHOLE_PPM : 0;
}

/** Splits an amount; the parts add up to it. */
export function splitMicros(
  micros: Micros,
  split: CostSplit,
): readonly PartnerAmount[] {
  const parts = split.shares.map(({ partner, sharePpm }) => ({
    partner,
    micros: computeShare(micros, sharePpm),
  }));
  const allotted = parts.reduce((sum, part) => sum + part.micros, 0);
  const remainder = micros - allotted;
  return parts.map((part) => {
    const paysRemainder = part.partner === split.remainderTo;
    return paysRemainder ? { ...part, micros: part.micros + remainder } : part;
  });
}

/** Computes a share, rounded down; exact even beyond a double's precision. */
function computeShare(micros: Micros, sharePpm: number): Micros {
  return Number(BigInt(micros) * BigInt(sharePpm) / BigInt(WHOLE_PPM));
}

/** An ended call, as needed to build its charge. */
export interface EndedCall {
  readonly callId: Charge["callId"];
  readonly spec: ProgramSpec;
  readonly micros: Micros;
  readonly endedAtMs: number;
  /** The revision in force on the owner when the call ended. */
  readonly revision: Revision;
}

/**
 * Builds the charge of an ended call under the agreement in force at the call's
 * revision, even if `value` is of a later one. The charge contains the revision
 * that introduced the agreement.
 */
export function buildCharge(
  value: ConfigurationValue,
  ended: EndedCall,
): Charge {
  const { callId, spec, micros, endedAtMs, revision } = ended;
  const costClass = chooseCostClass(value, spec);
  const split = findSplit(value, { costClass, revision });
  const charge = {
    callId,
    programId: spec.programId,
    partner: spec.partner,
    costClass,
    micros,
    agreementRevision: split.since,
    endedAtMs,
    split: splitMicros(micros, split),
  };
  return spec.team === undefined ? charge : { ...charge, team: spec.team };
}
