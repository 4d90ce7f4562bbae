/**
 * What gateways tell each other of the load of targets. Arrays instead of
 * objects: a report is sent five times a second.
 */

/** A shared part: id, tokens, and 1 while a running request holds it. */
export type PartReport = readonly [id: string, tokens: number, held: 0 | 1];

/** What one sender knows of one target. */
export type TargetReport = readonly [
  id: string,
  /** Requests of the sender that run there. */
  running: number,
  /** Work that they still need, in ms at average speed. */
  remainingMs: number,
  /** Tokens that they hold of their own. */
  ownTokens: number,
  /** Prompt and output tokens sent there since the last report. */
  sentTokens: number,
  /** Samples of speed since the last report: their weights, times 100. */
  samples: number,
  /** The times taken, in hundredths of the expected ones. */
  taken: number,
  /** Shared parts that were sent since the last report or are held. */
  parts: readonly PartReport[],
];

/**
 * The load of all senders at one target. Speeds are decayed sums, and parts
 * those that the target probably has cached.
 */
export type TargetSum = readonly [
  id: string,
  running: number,
  remainingMs: number,
  ownTokens: number,
  samples: number,
  taken: number,
  parts: readonly PartReport[],
];

/** A report to the collector, or the sums of another region's collector. */
export type LoadReport =
  & { readonly kind: "report_load" }
  & (
    | {
      readonly targets: readonly TargetReport[];
      /** Ids of the targets that the answer covers; absent if unchanged. */
      readonly wanted?: readonly string[];
    }
    | { readonly sums: readonly TargetSum[]; readonly ageMs: number }
  );

/** A collector's answer: the load of all other gateways. */
export interface LoadAnswer {
  readonly targets: readonly TargetSum[];
  /** Mean age of the reports that it sums. */
  readonly ageMs: number;
  /** Whether the collector doesn't know which targets the sender uses. */
  readonly needsWanted: boolean;
}
