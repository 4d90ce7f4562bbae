/**
 * The periods and bounds of the protocol between nodes, with their defaults.
 */

/** The periods and bounds that `PeerNetwork` keeps to. */
export interface PeerSettings {
  /** The lowest and highest protocol version that this release speaks. */
  readonly lowestVersion: number;
  readonly highestVersion: number;
  /** Time in which received messages are acknowledged. */
  readonly ackDelayMs: number;
  /** Time without an acknowledgement after which a stream counts as silent. */
  readonly silenceTimeoutMs: number;
  /** Time that a new stream has to open. */
  readonly openTimeoutMs: number;
  /** Time between heartbeats on a stream that was used of late. */
  readonly heartbeatPeriodMs: number;
  /** Time between heartbeats on an idle stream. */
  readonly idleHeartbeatPeriodMs: number;
  /** Time for which a stream counts as used after a message. */
  readonly inUseMs: number;
  /** Time without messages after which a stream is closed. */
  readonly idleTimeoutMs: number;
  /** Wait before the second try to connect; doubles with each try. */
  readonly reconnectBaseMs: number;
  /** Longest wait between tries to connect. */
  readonly reconnectLimitMs: number;
  /** Largest number of bytes of messages in one frame, but for a single one. */
  readonly frameBytes: number;
  /** Largest message and largest frame received. */
  readonly messageBytes: number;
  /** Queued bytes from which messages that are sent again anyway are dropped. */
  readonly queueHighBytes: number;
  /** Queued bytes under which a congested peer counts as drained. */
  readonly queueLowBytes: number;
  /** Queued bytes from which every message is dropped. */
  readonly queueLimitBytes: number;
  /** Time for which a message waits for a connection. */
  readonly queueLifeMs: number;
  /** Time between looks at the peers. */
  readonly tickPeriodMs: number;
  /** A gap between ticks that shows that this process was paused. */
  readonly pauseGapMs: number;
}

/** The protocol version of this release. */
export const PROTOCOL_VERSION = 1;

/** The defaults. */
export const DEFAULT_PEER_SETTINGS: PeerSettings = {
  lowestVersion: PROTOCOL_VERSION,
  highestVersion: PROTOCOL_VERSION,
  ackDelayMs: 100,
  silenceTimeoutMs: 2_500,
  openTimeoutMs: 2_000,
  heartbeatPeriodMs: 1_000,
  idleHeartbeatPeriodMs: 15_000,
  inUseMs: 10_000,
  idleTimeoutMs: 300_000,
  reconnectBaseMs: 100,
  reconnectLimitMs: 5_000,
  frameBytes: 256 * 1_024,
  messageBytes: 16 * 1_024 * 1_024,
  queueHighBytes: 1_024 * 1_024,
  queueLowBytes: 256 * 1_024,
  queueLimitBytes: 8 * 1_024 * 1_024,
  queueLifeMs: 5_000,
  tickPeriodMs: 100,
  pauseGapMs: 1_000,
};
