/**
 * Calls other gateways and serves their calls.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type {
  PeerChange,
  PeerDirectory,
  PeerInfo,
} from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { LeavingNotice } from "../paths/path_messages.ts";
import type { PathRelay } from "../paths/path_relay.ts";
import type { Address } from "../ports.ts";
import {
  ClosureReports,
  type Frame,
  type FrameConnection,
  FrameServer,
  type FrameServerClosure,
  PeerChannel,
} from "@camphorlock/channel";
import { canReceive, isKindOfFirstVersion } from "./protocol_version.ts";
import {
  isObjectCall,
  parseEnvelope,
  parseResponse,
  type PeerEnvelope,
  type PeerMessage,
  type PeerResponse,
} from "./peer_messages.ts";

/** A round trip between regions leaves most of this time to the peer. */
const CALL_TIMEOUT_MS = 150;
/**
 * Extension of a call for objects while they arrive. A configuration of many
 * routes takes most of a second on a small VM's link.
 */
const OBJECT_TRANSFER_MS = 5_000;

/** Dependencies of the links. */
export interface PeerLinksDependencies {
  readonly directory: PeerDirectory;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Builds this gateway's entry, which goes with each message. */
  readonly getSelf: () => PeerInfo;
  readonly handleMessage: (envelope: PeerEnvelope) => Promise<PeerResponse>;
  /** Handles what other gateways ask and tell about ways to targets. */
  readonly relay: Pick<PathRelay, "serve" | "recordLeaving">;
  /** Connections that others may open; the channel's default if absent. */
  readonly maxConnections?: number;
  /** Called on each change of the directory. */
  readonly onChange: (peer: PeerInfo, change: PeerChange | "lost") => void;
}

/** The links to all other gateways. */
export class PeerLinks {
  readonly #dependencies: PeerLinksDependencies;
  readonly #channels = new Map<string, PeerChannel>();
  /** The connection on which each channel's peer has last responded. */
  readonly #greeted = new WeakMap<PeerChannel, number>();
  readonly #server: FrameServer;
  readonly #closures: ClosureReports;

  constructor(dependencies: PeerLinksDependencies) {
    this.#dependencies = dependencies;
    const { log, maxConnections } = dependencies;
    this.#closures = new ClosureReports((report) =>
      log.write(EVENTS.ConnectionsClosed, { ...report })
    );
    this.#server = new FrameServer({
      handleFrame: (connection, frame) =>
        void this.#handleFrame(connection, frame),
      reportClosed: (reason) => this.#reportClosed(reason),
      ...(maxConnections === undefined ? {} : { maxConnections }),
    });
  }

  /** Listens; rejects when the address can't be used. */
  serve({ host, port }: Address): Promise<void> {
    return this.#server.serve({ host, port });
  }

  /**
   * Sends a message; undefined when the peer doesn't respond in time, or when
   * its build doesn't know the kind.
   */
  async call(
    peer: PeerInfo,
    message: PeerMessage,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<PeerResponse | undefined> {
    if (!canReceive(peer, message.kind)) return undefined;
    const isGreeted = await this.#confirmKind(peer, message, timeoutMs);
    const response = isGreeted
      ? await this.callAddress(peer, message, timeoutMs)
      : undefined;
    if (response !== undefined) return response;
    const cached = this.#dependencies.directory.find(peer.vmId);
    if (cached?.bootId === peer.bootId) {
      if (this.#dependencies.directory.recordUnresponsive(peer.vmId)) {
        this.#dependencies.log.write(EVENTS.PeerSuspected, { peer: peer.vmId });
        this.#dependencies.onChange(peer, "lost");
      }
    }
    return undefined;
  }

  /** Sends a message to an address whose gateway may be undiscovered. */
  async callAddress(
    address: Address,
    message: PeerMessage,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<PeerResponse | undefined> {
    const { getSelf, log } = this.#dependencies;
    const envelope: PeerEnvelope = { from: getSelf(), message };
    const transferMs = isObjectCall(message) ? OBJECT_TRANSFER_MS : 0;
    const objects = isObjectCall(message) ? message.objects : "";
    const channel = this.#getChannel(address, objects);
    const called = channel.call(envelope, timeoutMs, transferMs);
    const { connectionId } = channel;
    const body = await called;
    this.#dependencies.metrics.add("peer_calls");
    if (body === undefined) {
      this.#dependencies.metrics.add("peer_calls_failed");
      return undefined;
    }
    const response = parseResponse(body);
    if (response.isErr()) {
      log.write(EVENTS.PeerMessageUnreadable, { detail: response.error });
      return undefined;
    }
    this.#recordContact(response.value.from);
    if (channel.connectionId === connectionId && connectionId !== undefined) {
      this.#greeted.set(channel, connectionId);
    }
    return response.value;
  }

  /**
   * Makes sure that a message is of a kind that the process at the other end of
   * the connection knows: another build may have been started at the address
   * since its entry arrived. Returns false if it doesn't respond or know it.
   */
  async #confirmKind(
    peer: PeerInfo,
    { kind }: PeerMessage,
    timeoutMs: number,
  ): Promise<boolean> {
    if (isKindOfFirstVersion(kind)) return true;
    const channel = this.#getChannel(peer);
    const { connectionId } = channel;
    const isGreeted = connectionId !== undefined &&
      this.#greeted.get(channel) === connectionId;
    if (isGreeted) return true;
    const response = await this.callAddress(peer, {
      kind: "hello",
      known: this.#dependencies.directory.size,
      // The receiver has nothing newer to send.
      shardsRevision: Number.MAX_SAFE_INTEGER,
      blockedRequests: 0,
    }, timeoutMs);
    return response !== undefined && canReceive(response.from, kind);
  }

  /** Sends a notice; the peer acts on it or finds out itself. */
  notify({ host, port }: PeerInfo, message: LeavingNotice): void {
    const envelope = { from: this.#dependencies.getSelf(), message };
    void this.#getChannel({ host, port }).call(envelope, CALL_TIMEOUT_MS);
  }

  close(): void {
    this.#server.close();
    for (const channel of this.#channels.values()) channel.close();
  }

  async #handleFrame(
    connection: FrameConnection,
    { id, body }: Frame,
  ): Promise<void> {
    const { relay, getSelf, handleMessage, log } = this.#dependencies;
    const parsed = parseEnvelope(body);
    if (parsed.isErr()) {
      log.write(EVENTS.PeerMessageUnreadable, { detail: parsed.error });
      connection.socket.destroy();
      return;
    }
    if (parsed.value.kind === "unknown") {
      const { from: peer, detail } = parsed.value;
      this.#recordContact(peer);
      log.write(EVENTS.PeerMessageUnreadable, { detail, peer: peer.vmId });
      // Other calls share the connection, so it stays open.
      const response = { from: getSelf(), error: detail };
      return connection.write({ id, body: response });
    }
    const { from, message } = parsed.value.envelope;
    this.#recordContact(from);
    switch (message.kind) {
      case "open_path":
        connection.stopReading();
        return await relay.serve(connection.socket, message, (path) => {
          connection.write({ id, body: { from: getSelf(), path } });
        });
      case "share_leaving":
        relay.recordLeaving(message);
        return connection.write({ id, body: { from: getSelf() } });
      default: {
        const response = await handleMessage({ from, message });
        connection.write({ id, body: response });
      }
    }
  }

  #reportClosed(reason: FrameServerClosure): void {
    const { metrics, getSelf } = this.#dependencies;
    metrics.add("connections_closed");
    const { host, port } = getSelf();
    this.#closures.record(reason, `${host}:${port}`);
  }

  #recordContact(info: PeerInfo): void {
    const change = this.#dependencies.directory.set(info);
    if (change === "none") return;
    this.#dependencies.log.write(EVENTS.PeerChanged, {
      peer: info.vmId,
      change,
    });
    this.#dependencies.onChange(info, change);
  }

  /**
   * Each kind of objects has a channel of its own, so that neither turns nor
   * changes of targets wait behind a large configuration.
   */
  #getChannel({ host, port }: Address, objects = ""): PeerChannel {
    const key = `${host}:${port} ${objects}`;
    const existing = this.#channels.get(key);
    if (existing !== undefined) return existing;
    const channel = new PeerChannel({ host, port });
    this.#channels.set(key, channel);
    return channel;
  }
}
