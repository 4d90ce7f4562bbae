/**
 * Sends messages to other gateways and receives theirs.
 */
import { createServer, type Server, type Socket } from "node:net";
import { EVENTS } from "@camphorlock/codes/events";
import type {
  PeerChange,
  PeerDirectory,
  PeerInfo,
} from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { Address } from "../ports.ts";
import {
  type Frame,
  PeerChannel,
  readFrames,
  writeFrame,
} from "./peer_channel.ts";
import {
  parseAnswer,
  parseEnvelope,
  type PeerAnswer,
  type PeerEnvelope,
  type PeerMessage,
} from "./peer_messages.ts";

/** Twice the way between regions leaves most of this to the peer. */
const CALL_TIMEOUT_MS = 150;

/** What the links work with. */
export interface PeerLinksParts {
  readonly directory: PeerDirectory;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** This gateway as it presents itself. */
  readonly getSelf: () => PeerInfo;
  readonly handleMessage: (envelope: PeerEnvelope) => Promise<PeerAnswer>;
  /** Told of each change of the view. */
  readonly onChange: (peer: PeerInfo, change: PeerChange | "lost") => void;
}

/** The links to all other gateways. */
export class PeerLinks {
  readonly #parts: PeerLinksParts;
  readonly #channels = new Map<string, PeerChannel>();
  readonly #server: Server;
  readonly #accepted = new Set<Socket>();

  constructor(parts: PeerLinksParts) {
    this.#parts = parts;
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#accepted.add(socket);
      socket.on("close", () => this.#accepted.delete(socket));
      readFrames(socket, (frame) => void this.#answer(socket, frame));
    });
  }

  /** Listens; rejects when the address can't be used. */
  serve({ host, port }: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, () => resolve());
    });
  }

  /** Sends a message; absent when the peer doesn't answer. */
  async call(
    peer: PeerInfo,
    message: PeerMessage,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<PeerAnswer | undefined> {
    const answer = await this.callAddress(peer, message, timeoutMs);
    if (answer !== undefined) return answer;
    const known = this.#parts.directory.find(peer.vmId);
    if (known?.bootId === peer.bootId) {
      if (this.#parts.directory.recordSilent(peer.vmId)) {
        this.#parts.log.write(EVENTS.PeerSuspected, { peer: peer.vmId });
        this.#parts.onChange(peer, "lost");
      }
    }
    return undefined;
  }

  /** Sends a message to an address whose process may not be known yet. */
  async callAddress(
    address: Address,
    message: PeerMessage,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<PeerAnswer | undefined> {
    const { getSelf, log } = this.#parts;
    const envelope: PeerEnvelope = { from: getSelf(), message };
    const body = await this.#getChannel(address).call(envelope, timeoutMs);
    this.#parts.metrics.add("peer_calls");
    if (body === undefined) {
      this.#parts.metrics.add("peer_calls_failed");
      return undefined;
    }
    const answer = parseAnswer(body);
    if (answer.isErr()) {
      log.write(EVENTS.PeerMessageUnreadable, { detail: answer.error });
      return undefined;
    }
    this.#recordContact(answer.value.from);
    return answer.value;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#accepted) socket.destroy();
    for (const channel of this.#channels.values()) channel.close();
  }

  async #answer(socket: Socket, { id, body }: Frame): Promise<void> {
    const envelope = parseEnvelope(body);
    if (envelope.isErr()) {
      const detail = envelope.error;
      this.#parts.log.write(EVENTS.PeerMessageUnreadable, { detail });
      socket.destroy();
      return;
    }
    this.#recordContact(envelope.value.from);
    const answer = await this.#parts.handleMessage(envelope.value);
    writeFrame(socket, { id, body: answer });
  }

  #recordContact(info: PeerInfo): void {
    const change = this.#parts.directory.set(info);
    if (change === "none") return;
    this.#parts.log.write(EVENTS.PeerChanged, { peer: info.vmId, change });
    this.#parts.onChange(info, change);
  }

  #getChannel({ host, port }: Address): PeerChannel {
    const key = `${host}:${port}`;
    const known = this.#channels.get(key);
    if (known !== undefined) return known;
    const channel = new PeerChannel({ host, port });
    this.#channels.set(key, channel);
    return channel;
  }
}
