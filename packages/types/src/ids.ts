/**
 * Identifiers that cross module or process boundaries.
 *
 * Each is a string or number with an optional brand: a literal can be assigned
 * to it, but one kind of identifier can't be passed as another.
 */

/** An entry VM, which runs one node process. */
export type VmId = string & { readonly brand?: "VmId" };

/** A back end: a model engine or an instance of a plain service. */
export type TargetId = string & { readonly brand?: "TargetId" };

/** An agent program. The id contains the program's shard, see `shard.ts`. */
export type ProgramId = string & { readonly brand?: "ProgramId" };

/** A call of a program. Derived from the program and the idempotency key. */
export type CallId = string & { readonly brand?: "CallId" };

/** An attempt to run a call on a target. Never reused. */
export type AttemptId = string & { readonly brand?: "AttemptId" };

/** A request of a caller, at the entry VM that received it. */
export type RequestId = string & { readonly brand?: "RequestId" };

/** The number of a program shard, from zero. */
export type ShardId = number & { readonly brand?: "ShardId" };

/** The epoch of a shard. Increases by one with each change of owner. */
export type Epoch = number & { readonly brand?: "Epoch" };

/** The revision of the configuration. Increases by one with each change. */
export type Revision = number & { readonly brand?: "Revision" };

/** A region, from the settings of a VM or target. */
export type Region = string & { readonly brand?: "Region" };

/** A failure domain within a region, from the settings of a VM or target. */
export type FailureDomain = string & { readonly brand?: "FailureDomain" };

/** The partners of the joint venture. They share costs by agreement. */
export const PARTNERS = ["zincir", "okonkwo"] as const;

/** One partner of the joint venture. */
export type Partner = typeof PARTNERS[number];

/** Money in millionths of the accounting currency. Always a safe integer. */
export type Micros = number & { readonly brand?: "Micros" };
