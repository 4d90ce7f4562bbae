/**
 * Identifiers that cross module or process borders.
 *
 * Each is a string or number with an optional brand: a literal can be assigned
 * to it, but one kind of identifier can't be passed for another.
 */

/** One entry VM, that is, one node process. */
export type VmId = string & { readonly brand?: "VmId" };

/** One back end: a model engine or a plain service instance. */
export type TargetId = string & { readonly brand?: "TargetId" };

/** One agent program. Its shard is part of it, see `shard.ts`. */
export type ProgramId = string & { readonly brand?: "ProgramId" };

/** One call of a program. Derived from the program and the idempotency key. */
export type CallId = string & { readonly brand?: "CallId" };

/** One try to run a call on a target. Never used twice. */
export type AttemptId = string & { readonly brand?: "AttemptId" };

/** One request of a caller at the entry VM that received it. */
export type RequestId = string & { readonly brand?: "RequestId" };

/** The number of a program shard, from zero. */
export type ShardId = number & { readonly brand?: "ShardId" };

/** The epoch of a shard's owner. Rises by one with each change of owner. */
export type Epoch = number & { readonly brand?: "Epoch" };

/** The revision of the configuration. Rises by one with each change. */
export type Revision = number & { readonly brand?: "Revision" };

/** A region, from the settings of a VM or target. */
export type Region = string & { readonly brand?: "Region" };

/** A failure domain within a region, from the settings of a VM or target. */
export type FailureDomain = string & { readonly brand?: "FailureDomain" };

/** The partners of the joint venture, who share costs by agreement. */
export const PARTNERS = ["zincir", "okonkwo"] as const;

/** One partner of the joint venture. */
export type Partner = typeof PARTNERS[number];

/** Money in millionths of the accounting currency. Always a safe integer. */
export type Micros = number & { readonly brand?: "Micros" };
