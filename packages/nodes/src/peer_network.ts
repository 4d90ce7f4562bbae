/**
 * The connections of this node to the others, over gRPC.
 */
import type { Server, ServerDuplexStream } from "@grpc/grpc-js";
import { errAsync, ResultAsync } from "neverthrow";
import { EVENTS, type Failure } from "@camphorlock/codes";
import type { LogRecord, PeerMessage, VmId } from "@camphorlock/types";
import type { Frame } from "./generated/peers.ts";
import { createClient, createServer, serveOn } from "./grpc_ends.ts";
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

/** What a peer network is made of. */
export interface PeerNetworkOptions {
  readonly self: PeerIdentity;
  /** `ip:port` to listen on; port 0 lets the system choose. */
  readonly listenAddress: string;
  readonly security: PeerSecurity;
  readonly onMessage: (from: VmId, message: PeerMessage) => void;
  /** The queue of a congested peer is short again: text may go on. */
  readonly onDrained?: (to: VmId) => void;
  /** A stream ended; messages on their way may be lost. */
  readonly onDisconnected?: (peer: VmId, end: StreamEnd) => void;
  readonly log?: (record: LogRecord) => void;
  readonly settings?: Partial<PeerSettings>;
  readonly timers?: PeerTimers;
}

/** Counts of what this node did towards the others. */
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

/** The other nodes, as this one is connected to them. */
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
  readonly #opening = new Set<PeerStream>();
  readonly #toFlush = new Set<Peer>();
  #credentials: PeerCredentials | undefined;
  #server: Server | undefined;
  #cancelTicks: (() => void) | undefined;
  #lastTickMs = 0;

  constructor(options: PeerNetworkOptions) {
    this.#options = options;
    this.#settings = { ...DEFAULT_PEER_SETTINGS, ...options.settings };
    this.#timers = options.timers ?? PROCESS_TIMERS;
  }

  /** Listens; gives the `ip:port` that others reach this node at. */
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
    const at = { address: listenAddress, credentials };
    return serveOn(server, at).map((port) => {
      const { tickPeriodMs } = this.#settings;
      this.#lastTickMs = this.#timers.readNowMs();
      this.#cancelTicks = this.#timers.subscribe(
        tickPeriodMs,
        () => this.#handleTick(),
      );
      return `${getHost(listenAddress)}:${port}`;
    });
  }

  /** Queues a message to a node; it leaves with others of the same turn. */
  send(to: VmId, address: string, message: PeerMessage): SendOutcome {
    if (this.#credentials === undefined) return "dropped";
    const nowMs = this.#timers.readNowMs();
    const peer = this.#getPeer(to);
    peer.recordUse(address, nowMs);
    const bytes = encodeMessage(message);
    const outcome = peer.queue.add(message.kind, { bytes, nowMs });
    if (outcome === "dropped") this.counts.droppedMessages += 1;
    else this.counts.sentMessages += 1;
    this.#startFlush(peer);
    return outcome;
  }

  /** Closes every stream and the listener. */
  stop(): ResultAsync<void, Failure> {
    this.#cancelTicks?.();
    this.#credentials = undefined;
    for (const stream of this.#opening) stream.close("the node stops");
    for (const peer of this.#peers.values()) peer.close("the node stops");
    this.#peers.clear();
    const server = this.#server;
    if (server === undefined) return ResultAsync.fromSafePromise(waitNothing());
    this.#server = undefined;
    server.forceShutdown();
    return ResultAsync.fromSafePromise(waitNothing());
  }

  #openServerStream(call: ServerDuplexStream<Frame, Frame>): void {
    const stream: PeerStream = this.#createStream(createServerCall(call), {
      onOpen: (peer) => this.#getPeer(peer.vmId).setAccepted(stream),
    });
    this.#opening.add(stream);
  }

  #connectStream(vmId: VmId, address: string): PeerStream {
    const credentials = this.#credentials;
    if (credentials === undefined) throw new Error("the network isn't started");
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
    use: {
      dialed?: VmId;
      onOpen: (peer: PeerIdentity) => void;
      onEnd?: () => void;
    },
  ): PeerStream {
    let peerId = use.dialed;
    const handlers: PeerStreamHandlers = {
      onOpen: (peer) => {
        peerId = peer.vmId;
        this.counts.openedStreams += 1;
        this.#opening.delete(stream);
        use.onOpen(peer);
        const { vmId, incarnation } = peer;
        const side = use.dialed === undefined ? "accepted" : "dialed";
        this.#log("PeerConnected", { vmId, incarnation, side });
        this.#startFlush(this.#getPeer(vmId));
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
      onWritable: () => this.#startFlush(this.#getPeer(peerId ?? "")),
      onEnd: (end) => {
        use.onEnd?.();
        this.#opening.delete(stream);
        this.#handleEnd(stream, { peerId, end });
      },
    };
    const { dialed } = use;
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
    ended: { peerId: VmId | undefined; end: StreamEnd },
  ): void {
    const { peerId, end } = ended;
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
    const known = this.#peers.get(vmId);
    if (known !== undefined) return known;
    const peer = new Peer({
      vmId,
      settings: this.#settings,
      dial: (to, address) => this.#connectStream(to, address),
      readFraction: Math.random,
    });
    this.#peers.set(vmId, peer);
    return peer;
  }

  #startFlush(peer: Peer): void {
    if (this.#toFlush.size === 0) setImmediate(() => this.#sendQueued());
    this.#toFlush.add(peer);
  }

  #sendQueued(): void {
    const peers = [...this.#toFlush];
    this.#toFlush.clear();
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
    const sinceMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    const isPaused = sinceMs > this.#settings.pauseGapMs;
    for (const stream of this.#opening) stream.handleTick(nowMs);
    for (const [vmId, peer] of this.#peers) {
      if (isPaused) peer.handlePause(sinceMs);
      peer.handleTick(nowMs);
      this.#removeExpired(vmId, { peer, nowMs });
      if (peer.isForgettable(nowMs)) this.#peers.delete(vmId);
    }
    this.#handleDrained();
  }

  #removeExpired(vmId: VmId, at: { peer: Peer; nowMs: number }): void {
    const count = at.peer.queue.removeExpired(at.nowMs);
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

function waitNothing(): Promise<void> {
  return Promise.resolve();
}
