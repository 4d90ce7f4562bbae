/**
 * Sends messages to other gateways and receives theirs.
 */
import { createServer, type Server } from "node:http";
import { EVENTS } from "@camphorlock/codes/events";
import { PeerConnection, runWhole } from "@camphorlock/http/exchange";
import type {
  PeerChange,
  PeerDirectory,
  PeerInfo,
} from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { Address } from "../ports.ts";
import {
  parseAnswer,
  parseEnvelope,
  type PeerAnswer,
  type PeerEnvelope,
  type PeerMessage,
} from "./peer_messages.ts";

/** Twice the way between regions leaves most of this to the peer. */
const CALL_TIMEOUT_MS = 150;
const CONNECT_TIMEOUT_MS = 120;
const IDLE_MS = 30_000;
/** Peers keep connections longer than their callers use them. */
const SERVER_IDLE_MS = 60_000;
const MAX_ANSWER_BYTES = 8 * 1_024 * 1_024;
const MAX_MESSAGE_BYTES = 8 * 1_024 * 1_024;

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
  readonly #connections = new Map<string, PeerConnection>();
  readonly #server: Server;

  constructor(parts: PeerLinksParts) {
    this.#parts = parts;
    this.#server = createServer({ keepAliveTimeout: SERVER_IDLE_MS }, (
      request,
      response,
    ) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > MAX_MESSAGE_BYTES) request.destroy();
        else chunks.push(chunk);
      });
      request.on("end", async () => {
        const { status, body } = await this.#answer(Buffer.concat(chunks));
        response.writeHead(status, { "content-type": "application/json" });
        response.end(body);
      });
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
    const whole = await runWhole(this.#getConnection(address), {
      method: "POST",
      path: `/${message.kind}`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(envelope),
      silenceTimeoutMs: timeoutMs,
      freshConnection: false,
    }, { totalTimeoutMs: timeoutMs, maxBytes: MAX_ANSWER_BYTES });
    this.#parts.metrics.add("peer_calls");
    if (whole.kind !== "answered" || whole.status !== 200) {
      this.#parts.metrics.add("peer_calls_failed");
      return undefined;
    }
    const answer = parseAnswer(whole.body);
    if (answer.isErr()) {
      log.write(EVENTS.PeerMessageUnreadable, { detail: answer.error });
      return undefined;
    }
    this.#recordContact(answer.value.from);
    return answer.value;
  }

  async close(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    const all = [...this.#connections.values()];
    await Promise.allSettled(all.map((each) => each.close()));
  }

  async #answer(
    bytes: Buffer,
  ): Promise<{ readonly status: number; readonly body: string }> {
    const envelope = parseEnvelope(bytes);
    if (envelope.isErr()) {
      this.#parts.log.write(EVENTS.PeerMessageUnreadable, {
        detail: envelope.error,
      });
      return { status: 400, body: "{}" };
    }
    this.#recordContact(envelope.value.from);
    const answer = await this.#parts.handleMessage(envelope.value);
    return { status: 200, body: JSON.stringify(answer) };
  }

  #recordContact(info: PeerInfo): void {
    const change = this.#parts.directory.set(info);
    if (change === "none") return;
    this.#parts.log.write(EVENTS.PeerChanged, { peer: info.vmId, change });
    this.#parts.onChange(info, change);
  }

  #getConnection({ host, port }: Address): PeerConnection {
    const baseUrl = `http://${host}:${port}`;
    const known = this.#connections.get(baseUrl);
    if (known !== undefined) return known;
    const connection = new PeerConnection({
      baseUrl,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      idleMs: IDLE_MS,
    });
    this.#connections.set(baseUrl, connection);
    return connection;
  }
}
