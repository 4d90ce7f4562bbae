/**
 * The periods and bounds of membership, with their defaults.
 */

/** The periods and bounds of the `Membership` role. */
export interface MembershipSettings {
  /** Period in which a node contacts `fanout` others, or all up to the limit. */
  readonly heartbeatPeriodMs: number;
  /** Number of other nodes up to which a node contacts all of them. */
  readonly fullMeshLimit: number;
  /** Nodes contacted in a period above `fullMeshLimit`. */
  readonly fanout: number;
  /** Time without an acknowledgement after which third nodes probe. */
  readonly ackTimeoutMs: number;
  /** Number of third nodes that probe an unresponsive node. */
  readonly probeNodes: number;
  /** Time for the third nodes' probes before the node becomes suspect. */
  readonly probeTimeoutMs: number;
  /** Time in which a suspect node can refute before it's declared dead. */
  readonly suspicionTimeoutMs: number;
  /** Period of heartbeats to a random dead node, to detect its return. */
  readonly deadContactPeriodMs: number;
  /** Time after which a dead node is evicted. */
  readonly deadRetentionMs: number;
  /** Maximum number of updates in one message. */
  readonly digestLimit: number;
  /** Maximum number of updates in a catch-up for a node that lacks some. */
  readonly catchUpLimit: number;
  /** Minimum number of updates in a catch-up. */
  readonly catchUpMinimum: number;
  /** Updates in a catch-up per node that the receiver lacks. */
  readonly catchUpPerNode: number;
  /** Maximum number of processes in a revision report. */
  readonly reportLimit: number;
  /** Transmissions of one update per doubling of the fleet. */
  readonly gossipRepeats: number;
  /** Time without a majority of nodes after which this node is cut off. */
  readonly cutOffAfterMs: number;
  /** A longer gap between ticks means that this process was paused. */
  readonly pauseGapMs: number;
  /** Period of the ticks. */
  readonly tickPeriodMs: number;
}

/** With the defaults a killed node is dead in all views within 3 seconds. */
export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  heartbeatPeriodMs: 500,
  fullMeshLimit: 10,
  fanout: 4,
  ackTimeoutMs: 400,
  probeNodes: 3,
  probeTimeoutMs: 500,
  suspicionTimeoutMs: 1_000,
  deadContactPeriodMs: 1_000,
  deadRetentionMs: 600_000,
  digestLimit: 6,
  catchUpLimit: 40,
  catchUpMinimum: 16,
  catchUpPerNode: 4,
  reportLimit: 32,
  gossipRepeats: 1,
  cutOffAfterMs: 5_000,
  pauseGapMs: 1_000,
  tickPeriodMs: 100,
};
