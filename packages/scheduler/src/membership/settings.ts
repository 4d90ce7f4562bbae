/**
 * The periods and bounds of membership, with their defaults.
 */

/** The periods and bounds that `Membership` keeps to. */
export interface MembershipSettings {
  /** Time in which a node contacts `fanout` others, or all in a small fleet. */
  readonly heartbeatPeriodMs: number;
  /** Other nodes up to which each node contacts every other one directly. */
  readonly fullMeshLimit: number;
  /** Nodes contacted in a period where the fleet is larger. */
  readonly fanout: number;
  /** Time after which an unanswered heartbeat is followed by probes. */
  readonly ackTimeoutMs: number;
  /** Third nodes that are asked to probe. */
  readonly probeNodes: number;
  /** Time that third nodes have before the node becomes suspect. */
  readonly probeTimeoutMs: number;
  /** Time that a suspect node has to refute before it counts as dead. */
  readonly suspicionTimeoutMs: number;
  /** Time between heartbeats to one of the dead nodes, to find it again. */
  readonly deadContactPeriodMs: number;
  /** Time after which a dead node is forgotten. */
  readonly deadRetentionMs: number;
  /** Largest number of rumours in one message. */
  readonly digestLimit: number;
  /** Largest number of rumours in one message to a node that knows few. */
  readonly catchUpLimit: number;
  /** Smallest number of rumours in such a message. */
  readonly catchUpLeast: number;
  /** Rumours for each node that another one lacks. */
  readonly catchUpPerNode: number;
  /** Largest number of processes in a report of revisions. */
  readonly reportLimit: number;
  /** Sends of one rumour for each doubling of the fleet. */
  readonly rumourRepeats: number;
  /** Time without most of the other nodes after which this one is cut off. */
  readonly cutOffAfterMs: number;
  /** A gap between ticks that shows that this process was paused. */
  readonly pauseGapMs: number;
  /** Time between ticks that the node's timer service gives. */
  readonly tickPeriodMs: number;
}

/** The defaults: a killed node is dead in all views within three seconds. */
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
  catchUpLeast: 16,
  catchUpPerNode: 4,
  reportLimit: 32,
  rumourRepeats: 1,
  cutOffAfterMs: 5_000,
  pauseGapMs: 1_000,
  tickPeriodMs: 100,
};
