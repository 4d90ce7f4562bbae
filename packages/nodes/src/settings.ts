/**
 * The intervals, timeouts and limits of the protocol between nodes, with their
 * defaults.
 */

/** The settings of `PeerNetwork`. */
export interface PeerSettings {
  /** The lowest and highest protocol version that this release supports. */
  readonly lowestVersion: number;
  readonly highestVersion: number;
  /** Delay after which a received frame is acknowledged separately. */
  readonly ackDelayMs: number;
  /** Time without an acknowledgement after which a stream counts as silent. */
  readonly silenceTimeoutMs: number;
  /** Time in which the handshake of a new stream must complete. */
  readonly openTimeoutMs: number;
  /** Time between heartbeats on a recently used stream. */
  readonly heartbeatPeriodMs: number;
  /** Time between heartbeats on an idle stream. */
  readonly idleHeartbeatPeriodMs: number;
  /** Time after a message for which a stream or peer counts as in use. */
  readonly recentUseMs: number;
  /** Time without messages after which a stream is closed. */
  readonly idleTimeoutMs: number;
  /** Delay before the second attempt to connect; doubles with each attempt. */
  readonly reconnectBaseMs: number;
  /** Longest delay between attempts to connect. */
  readonly reconnectLimitMs: number;
  /** Most bytes of messages in one frame, unless one message exceeds it. */
  readonly frameBytes: number;
  /** Largest message in bytes; a received frame may have twice as many. */
  readonly messageBytes: number;
  /** Queued bytes above which replaceable messages are dropped. */
  readonly queueHighWatermarkBytes: number;
  /** Queued bytes at or below which a congested queue counts as drained. */
  readonly queueLowWatermarkBytes: number;
  /** Queued bytes above which every message is dropped. */
  readonly queueLimitBytes: number;
  /** Longest time that a message waits in the queue. */
  readonly queueTimeoutMs: number;
  /** Time between ticks, which run the timers of the peers. */
  readonly tickPeriodMs: number;
  /** A gap between ticks above which this process counts as paused. */
  readonly pauseGapMs: number;
}

/** The protocol version of this release. */
export const PROTOCOL_VERSION = 1;

/** The default settings. */
export const DEFAULT_PEER_SETTINGS: PeerSettings = {
  lowestVersion: PROTOCOL_VERSION,
  highestVersion: PROTOCOL_VERSION,
  ackDelayMs: 100,
  silenceTimeoutMs: 2_500,
  openTimeoutMs: 2_000,
  heartbeatPeriodMs: 1_000,
  idleHeartbeatPeriodMs: 15_000,
  recentUseMs: 10_000,
  idleTimeoutMs: 300_000,
  reconnectBaseMs: 100,
  reconnectLimitMs: 5_000,
  frameBytes: 256 * 1_024,
  messageBytes: 16 * 1_024 * 1_024,
  queueHighWatermarkBytes: 1_024 * 1_024,
  queueLowWatermarkBytes: 256 * 1_024,
  queueLimitBytes: 8 * 1_024 * 1_024,
  queueTimeoutMs: 5_000,
  tickPeriodMs: 100,
  pauseGapMs: 1_000,
};
