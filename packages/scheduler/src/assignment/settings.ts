/**
 * The periods and bounds of shard assignment, with their defaults.
 */

/** The periods and bounds of a `ShardAssigner`. */
export interface AssignmentSettings {
  /** Shards of the installation; fixed for its lifetime. */
  readonly shardCount: number;
  /** Shards in one object on the platform. */
  readonly groupSize: number;
  /** Time after the start during which the node proposes nothing. */
  readonly startupDelayMs: number;
  /** Range over which nodes that start together spread their first poll. */
  readonly startSpreadMs: number;
  /** Time between checks for changes to propose. */
  readonly planPeriodMs: number;
  /** Time for which a read is fresh enough to base a proposal on. */
  readonly readTtlMs: number;
  /** Range over which the delays of proposals for unowned shards spread. */
  readonly proposalSpreadMs: number;
  /** Further delay of each lower rank in a group's order of proposers. */
  readonly rankDelayMs: number;
  /** Largest rate of conditional updates by one node. */
  readonly proposalsPerSecond: number;
  /** Time that an owner may be missing from the view before a takeover. */
  readonly unknownOwnerGraceMs: number;
  /** Time that a replica may be dead or missing before it's replaced. */
  readonly replicaGraceMs: number;
  /** Period of replica checks; owners check at different offsets in it. */
  readonly replicaCheckPeriodMs: number;
  /** Mean time between offers that rebalance the load. */
  readonly rebalancePeriodMs: number;
  /** Most shards that one owner offers in a rebalancing period. */
  readonly maxRebalanceMoves: number;
  /** Most shards in one offer of a leaving node. */
  readonly maxOfferShards: number;
  /** Most offers of a leaving node in flight at a time. */
  readonly maxOffersInFlight: number;
  /** Time after which an offer that no node has accepted expires. */
  readonly offerTimeoutMs: number;
  /** Time for which confirmed recoveries are batched into one write. */
  readonly recoveryBatchMs: number;
  /** Nodes in each region that watch the platform. */
  readonly watchersPerRegion: number;
  /** Time for which changes reported by a watch are batched. */
  readonly watchBatchMs: number;
  /** Time after which a watch without a response is started again. */
  readonly watchTimeoutMs: number;
  /** Shortest period of polls of all versions, whatever updates arrive. */
  readonly pollPeriodMs: number;
  /** Poll period per node of the fleet, which bounds the fleet's poll rate. */
  readonly pollPeriodPerNodeMs: number;
  /** Shortest time between two reads of one group. */
  readonly minReadIntervalMs: number;
  /** Time after which a platform call counts as lost. */
  readonly callTimeoutMs: number;
  /** Back-off after a failed platform call; doubles with each failure. */
  readonly backoffBaseMs: number;
  /** Longest back-off after failed platform calls. */
  readonly backoffLimitMs: number;
  /** Base of the back-off after write conflicts; doubles with each conflict. */
  readonly conflictBaseMs: number;
  /** Longest back-off after conflicts. */
  readonly conflictLimitMs: number;
  /** Random nodes that receive each update in a round. */
  readonly updateFanout: number;
  /** Rounds in which each node forwards an update. */
  readonly updateRounds: number;
  /** Largest number of assignments in one message. */
  readonly updateLimit: number;
}

export const DEFAULT_ASSIGNMENT_SETTINGS: AssignmentSettings = {
  shardCount: 1_024,
  groupSize: 64,
  startupDelayMs: 3_000,
  startSpreadMs: 2_000,
  planPeriodMs: 250,
  readTtlMs: 1_000,
  proposalSpreadMs: 300,
  rankDelayMs: 1_500,
  proposalsPerSecond: 4,
  unknownOwnerGraceMs: 10_000,
  replicaGraceMs: 20_000,
  replicaCheckPeriodMs: 5_000,
  rebalancePeriodMs: 10_000,
  maxRebalanceMoves: 2,
  maxOfferShards: 8,
  maxOffersInFlight: 4,
  offerTimeoutMs: 2_000,
  recoveryBatchMs: 2_000,
  watchersPerRegion: 2,
  watchBatchMs: 1_000,
  watchTimeoutMs: 60_000,
  pollPeriodMs: 120_000,
  pollPeriodPerNodeMs: 1_000,
  minReadIntervalMs: 250,
  callTimeoutMs: 10_000,
  backoffBaseMs: 500,
  backoffLimitMs: 10_000,
  conflictBaseMs: 50,
  conflictLimitMs: 5_000,
  updateFanout: 4,
  updateRounds: 2,
  updateLimit: 32,
};
