/**
 * The periods and bounds of shard assignment, with their defaults.
 */

/** The periods and bounds that `ShardAssigner` keeps to. */
export interface AssignmentSettings {
  /** Shards of the installation; fixed for its life. */
  readonly shardCount: number;
  /** Shards in one object on the platform. */
  readonly groupSize: number;
  /** Time after the start in which the node proposes nothing. */
  readonly settleMs: number;
  /** Time over which nodes that start together spread their first read. */
  readonly startSpreadMs: number;
  /** Time between looks at what has to change. */
  readonly planPeriodMs: number;
  /** Age up to which a read is fresh enough to propose on. */
  readonly freshMs: number;
  /** Time over which the first proposers of groups spread their proposals. */
  readonly proposalSpreadMs: number;
  /** Time that each further proposer of a group waits for the one before. */
  readonly backupDelayMs: number;
  /** Largest rate of conditional updates by one node. */
  readonly proposalsPerSecond: number;
  /** Time for which an owner that the view doesn't know is left alone. */
  readonly unknownGraceMs: number;
  /** Time for which a dead keeper is left in place. */
  readonly keeperGraceMs: number;
  /** Time over which owners spread the replacement of a dead keeper. */
  readonly keeperSpreadMs: number;
  /** Time between moves that even out the load. */
  readonly rebalancePeriodMs: number;
  /** Shards that one owner gives away in a period. */
  readonly rebalanceMoves: number;
  /** Shards in one offer of a node that is leaving. */
  readonly offerSize: number;
  /** Offers of a node that is leaving that wait at a time. */
  readonly offersInFlight: number;
  /** Time after which an offer goes to another node. */
  readonly offerTimeoutMs: number;
  /** Time for which confirmations of recovery are gathered into one write. */
  readonly recoveredDelayMs: number;
  /** Nodes in each region that wait for changes at the platform. */
  readonly watchersPerRegion: number;
  /** Time for which changes that a watch tells of are gathered. */
  readonly watchGatherMs: number;
  /** Time after which a watch without an answer is asked again. */
  readonly watchTimeoutMs: number;
  /** Shortest time between looks at all versions, whatever the news say. */
  readonly pollPeriodMs: number;
  /** The same for each node of the fleet, so that the rate has a bound. */
  readonly pollPeriodPerNodeMs: number;
  /** Shortest time between two reads of one group. */
  readonly readGapMs: number;
  /** Time after which a platform call counts as lost. */
  readonly callTimeoutMs: number;
  /** Wait after a failed platform call; doubles with each failure. */
  readonly backoffBaseMs: number;
  /** Longest wait after failed platform calls. */
  readonly backoffLimitMs: number;
  /** Wait after a conflict with another node's write; doubles with each. */
  readonly conflictBaseMs: number;
  /** Longest wait after conflicts. */
  readonly conflictLimitMs: number;
  /** Nodes that each piece of news is passed to in a round. */
  readonly newsFanout: number;
  /** Rounds in which each node passes a piece of news on. */
  readonly newsRounds: number;
  /** Largest number of assignments in one message. */
  readonly newsLimit: number;
}

/** The defaults. */
export const DEFAULT_ASSIGNMENT_SETTINGS: AssignmentSettings = {
  shardCount: 1_024,
  groupSize: 64,
  settleMs: 3_000,
  startSpreadMs: 2_000,
  planPeriodMs: 250,
  freshMs: 1_000,
  proposalSpreadMs: 300,
  backupDelayMs: 1_500,
  proposalsPerSecond: 4,
  unknownGraceMs: 10_000,
  keeperGraceMs: 20_000,
  keeperSpreadMs: 5_000,
  rebalancePeriodMs: 10_000,
  rebalanceMoves: 2,
  offerSize: 8,
  offersInFlight: 4,
  offerTimeoutMs: 2_000,
  recoveredDelayMs: 2_000,
  watchersPerRegion: 2,
  watchGatherMs: 1_000,
  watchTimeoutMs: 60_000,
  pollPeriodMs: 120_000,
  pollPeriodPerNodeMs: 1_000,
  readGapMs: 250,
  callTimeoutMs: 10_000,
  backoffBaseMs: 500,
  backoffLimitMs: 10_000,
  conflictBaseMs: 50,
  conflictLimitMs: 5_000,
  newsFanout: 4,
  newsRounds: 2,
  newsLimit: 32,
};
