/**
 * The connections of this node to other nodes, over gRPC.
 */
import type { Server, ServerDuplexStream } from "@grpc/grpc-js";
import { errAsync, ResultAsync } from "neverthrow";
import { EVENTS, type Failure } from "@camphorlock/codes";
import type { LogRecord, PeerMessage, VmId } from "@camphorlock/types";
import type { Frame } from "./generated/peers.ts";
import {
  createClient,
  createServer,
  startListening,
} from "./grpc_endpoints.ts";
import { encodeMessage } from "./message_codec.ts";
import { Peer } from "./peer.ts";
import {
  type PeerIdentity,
  PeerStream,
  type PeerStreamHandlers,
  type StreamEnd,
} from "./peer_stream.ts";
import type { SendOutcome } from "./send_queue.ts";
import { DEFAULT_PEER_SETTINGS, type PeerSettings } from "./settings.ts";
import {
  createClientCall,
  createServerCall,
  type StreamCall,
} from "./stream_call.ts";
import { type PeerTimers, PROCESS_TIMERS } from "./timers.ts";
import {
  loadCredentials,
  type PeerCredentials,
  type PeerSecurity,
} from "./tls.ts";

/** The options of a peer network. */
export interface PeerNetworkOptions {
  readonly self: PeerIdentity;
  /** `ip:port` to listen on; port 0 lets the OS choose. */
  readonly listenAddress: string;
  readonly security: PeerSecurity;
  readonly onMessage: (from: VmId, message: PeerMessage) => void;
  /** The queue of a congested peer has drained; sending text may resume. */
  readonly onDrained?: (to: VmId) => void;
  /** A stream ended; messages in flight may be lost. */
  readonly onDisconnected?: (peer: VmId, end: StreamEnd) => void;
  readonly log?: (record: LogRecord) => void;
  readonly settings?: Partial<PeerSettings>;
  readonly timers?: PeerTimers;
}

/** Counters of messages and streams. */
export interface PeerCounts {
  sentMessages: number;
  receivedMessages: number;
  droppedMessages: number;
  unknownMessages: number;
  malformedMessages: number;
  refusedStreams: number;
  silentStreams: number;
  openedStreams: number;
}

/** Sends messages to other nodes and receives theirs. */
export class PeerNetwork {
  readonly counts: PeerCounts = {
    sentMessages: 0,
    receivedMessages: 0,
    droppedMessages: 0,
    unknownMessages: 0,
    malformedMessages: 0,
    refusedStreams: 0,
    silentStreams: 0,
    openedStreams: 0,
  };
  readonly #options: PeerNetworkOptions;
  readonly #settings: PeerSettings;
  readonly #timers: PeerTimers;
  readonly #peers = new Map<VmId, Peer>();
  readonly #openingStreams = new Set<PeerStream>();
  readonly #peersToFlush = new Set<Peer>();
  #credentials: PeerCredentials | undefined;
  #server: Server | undefined;
  #cancelTicks: (() => void) | undefined;
  #lastTickMs = 0;

  constructor(options: PeerNetworkOptions) {
    this.#options = options;
    this.#settings = { ...DEFAULT_PEER_SETTINGS, ...options.settings };
    this.#timers = options.timers ?? PROCESS_TIMERS;
  }

  /** Starts listening; returns the `ip:port` to which other nodes connect. */
  start(): ResultAsync<string, Failure> {
    const loaded = loadCredentials(this.#options.security);
    if (loaded.isErr()) return errAsync(loaded.error);
    this.#credentials = loaded.value;
    const server = createServer(
      this.#settings,
      (call) => this.#openServerStream(call),
    );
    this.#server = server;
    const { listenAddress } = this.#options;
    const { server: credentials } = loaded.value;
    const binding = { address: listenAddress, credentials };
    return startListening(server, binding).map((port) => {
      const { tickPeriodMs } = this.#settings;
      this.#lastTickMs = this.#timers.readNowMs();
      this.#cancelTicks = this.#timers.subscribe(
        tickPeriodMs,
        () => this.#handleTick(),
      );
      return `${getHost(listenAddress)}:${port}`;
    });
  }

  /** Queues a message; messages of one event loop turn are sent together. */
  send(to: VmId, address: string, message: PeerMessage): SendOutcome {
    if (this.#credentials === undefined) return "dropped";
    const nowMs = this.#timers.readNowMs();
    const peer = this.#getPeer(to);
    peer.recordUse(address, nowMs);
    const bytes = encodeMessage(message);
    const outcome = peer.queue.add(message.kind, { bytes, nowMs });
    if (outcome === "dropped") this.counts.droppedMessages += 1;
    else this.counts.sentMessages += 1;
    this.#scheduleFlush(peer);
    return outcome;
  }

  /** Closes every stream and the listener. */
  stop(): ResultAsync<void, Failure> {
    this.#cancelTicks?.();
    this.#credentials = undefined;
    for (const stream of this.#openingStreams) stream.close("node shutdown");
    for (const peer of this.#peers.values()) peer.close("node shutdown");
    this.#peers.clear();
    const server = this.#server;
    if (server === undefined) return ResultAsync.fromSafePromise(getResolved());
    this.#server = undefined;
    server.forceShutdown();
    return ResultAsync.fromSafePromise(getResolved());
  }

  #openServerStream(call: ServerDuplexStream<Frame, Frame>): void {
    const stream: PeerStream = this.#createStream(createServerCall(call), {
      onOpen: (peer) => this.#getPeer(peer.vmId).setAccepted(stream),
    });
    this.#openingStreams.add(stream);
  }

  #connectStream(vmId: VmId, address: string): PeerStream {
    const credentials = this.#credentials;
    if (credentials === undefined) throw new Error("the network isn't running");
    const settings = this.#settings;
    const client = createClient(address, { credentials, settings });
    const call = createClientCall(client.exchange());
    const stream: PeerStream = this.#createStream(call, {
      dialed: vmId,
      onOpen: () => this.#getPeer(vmId).recordOpen(),
      onEnd: () => client.close(),
    });
    return stream;
  }

  #createStream(
    call: StreamCall,
    options: {
      dialed?: VmId;
      onOpen: (peer: PeerIdentity) => void;
      onEnd?: () => void;
    },
  ): PeerStream {
    let peerId = options.dialed;
    const handlers: PeerStreamHandlers = {
      onOpen: (peer) => {
        peerId = peer.vmId;
        this.counts.openedStreams += 1;
        this.#openingStreams.delete(stream);
        options.onOpen(peer);
        const { vmId, incarnation } = peer;
        const side = options.dialed === undefined ? "accepted" : "dialed";
        this.#log("PeerConnected", { vmId, incarnation, side });
        this.#scheduleFlush(this.#getPeer(vmId));
      },
      onMessage: (message) => {
        this.counts.receivedMessages += 1;
        if (peerId !== undefined) this.#options.onMessage(peerId, message);
      },
      onUnknownKind: (kind) => {
        this.counts.unknownMessages += 1;
        this.#log("PeerRefused", { vmId: peerId, unknownKind: kind });
      },
      onMalformed: (failure) => {
        this.counts.malformedMessages += 1;
        this.#log("PeerRefused", { vmId: peerId, detail: failure.detail });
      },
      onWritable: () => this.#scheduleFlush(this.#getPeer(peerId ?? "")),
      onEnd: (end) => {
        options.onEnd?.();
        this.#openingStreams.delete(stream);
        this.#handleEnd(stream, { peerId, end });
      },
    };
    const { dialed } = options;
    const stream = new PeerStream({
      call,
      self: this.#options.self,
      settings: this.#settings,
      handlers,
      readNowMs: () => this.#timers.readNowMs(),
      ...(dialed === undefined ? {} : { dialed }),
    });
    return stream;
  }

  #handleEnd(
    stream: PeerStream,
    options: { peerId: VmId | undefined; end: StreamEnd },
  ): void {
    const { peerId, end } = options;
    const { reason, detail } = end;
    if (reason === "silent") this.counts.silentStreams += 1;
    if (reason === "refused") this.counts.refusedStreams += 1;
    const name = reason === "refused" ? "PeerRefused" : "PeerDisconnected";
    this.#log(name, { vmId: peerId, reason, detail });
    if (peerId === undefined) return;
    const nowMs = this.#timers.readNowMs();
    this.#peers.get(peerId)?.recordEnd(stream, { reason, nowMs });
    this.#options.onDisconnected?.(peerId, end);
  }

  #getPeer(vmId: VmId): Peer {
    const existing = this.#peers.get(vmId);
    if (existing !== undefined) return existing;
    const peer = new Peer({
      vmId,
      settings: this.#settings,
      dial: (to, address) => this.#connectStream(to, address),
      readRandom: Math.random,
    });
    this.#peers.set(vmId, peer);
    return peer;
  }

  #scheduleFlush(peer: Peer): void {
    if (this.#peersToFlush.size === 0) setImmediate(() => this.#sendQueued());
    this.#peersToFlush.add(peer);
  }

  #sendQueued(): void {
    const peers = [...this.#peersToFlush];
    this.#peersToFlush.clear();
    if (this.#credentials === undefined) return;
    const nowMs = this.#timers.readNowMs();
    for (const peer of peers) peer.sendQueued(nowMs);
    this.#handleDrained();
  }

  #handleDrained(): void {
    for (const [vmId, peer] of this.#peers) {
      if (peer.queue.takeDrained()) this.#options.onDrained?.(vmId);
    }
  }

  #handleTick(): void {
    const nowMs = this.#timers.readNowMs();
    const gapMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    const wasPaused = gapMs > this.#settings.pauseGapMs;
    for (const stream of this.#openingStreams) stream.handleTick(nowMs);
    for (const [vmId, peer] of this.#peers) {
      if (wasPaused) peer.handlePause(gapMs);
      peer.handleTick(nowMs);
      this.#removeExpired(vmId, { peer, nowMs });
      if (peer.isEvictable(nowMs)) this.#peers.delete(vmId);
    }
    this.#handleDrained();
  }

  #removeExpired(vmId: VmId, options: { peer: Peer; nowMs: number }): void {
    const count = options.peer.queue.removeExpired(options.nowMs);
    if (count === 0) return;
    this.counts.droppedMessages += count;
    this.#log("PeerMessagesDropped", { vmId, count, reason: "expired" });
  }

  #log(
    name:
      | "PeerConnected"
      | "PeerDisconnected"
      | "PeerRefused"
      | "PeerMessagesDropped",
    fields: LogRecord["fields"],
  ): void {
    this.#options.log?.({ event: EVENTS[name].event, fields });
  }
}

function getHost(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}

function getResolved(): Promise<void> {
  return Promise.resolve();
}
