/**
 * Opens connections to targets through other gateways.
 */
import { connect, type Socket } from "node:net";
import type { OpenedSocket } from "@camphorlock/http/exchange";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { RelayChoice } from "../decisions/relay_choice.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { Target } from "../model/target.ts";
import {
  findPathAnswer,
  type LeavingNotice,
  type PathAnswer,
  type PathCall,
} from "./path_messages.ts";
import { RelayedConnection } from "./relayed_connection.ts";

/** Gateways that are asked for one connection, one after another. */
const MAX_TRIES = 6;
/** Longest wait for a connection to one of them. */
const CONNECT_TIMEOUT_MS = 120;
/** Longest wait for its answer, for which it may wait for the target itself. */
const TRY_TIMEOUT_MS = 400;
/** Longest wait for all of them. */
const TOTAL_TIMEOUT_MS = 800;
const MAX_LINE_BYTES = 65_536;
const NEWLINE = 10;

/** How an attempt to open a connection ended. */
export type RelayResult =
  | { readonly kind: "open"; readonly opened: OpenedSocket }
  /** A gateway that reaches other targets says what this one does. */
  | Exclude<PathAnswer, { readonly kind: "open" | "unavailable" }>
  /** None of the other gateways can help; there may be none. */
  | { readonly kind: "no_relay"; readonly others: number };

/** Dependencies of the client. */
export interface RelayClientDependencies {
  /** The gateways that aren't suspected or leaving, this one too. */
  readonly getPeers: () => readonly PeerInfo[];
  /** Finds a gateway that isn't suspected. */
  readonly findLive: (vmId: string) => PeerInfo | undefined;
  readonly choice: RelayChoice;
  readonly metrics: GatewayMetrics;
  readonly getSelf: () => PeerInfo;
  /** Sends a message to another gateway. */
  readonly notifyPeer: (peer: PeerInfo, notice: LeavingNotice) => void;
}

/** Asks other gateways for connections to targets. */
export class RelayClient {
  readonly #dependencies: RelayClientDependencies;

  constructor(dependencies: RelayClientDependencies) {
    this.#dependencies = dependencies;
  }

  /** Opens a connection. Never rejects. */
  async open(target: Target): Promise<RelayResult> {
    const { getPeers, choice, metrics } = this.#dependencies;
    const endMs = performance.now() + TOTAL_TIMEOUT_MS;
    const tried = new Set<string>();
    while (tried.size < MAX_TRIES && performance.now() < endMs) {
      const nowMs = performance.now();
      const relay = choice.choose(getPeers(), tried, nowMs);
      if (relay === undefined) break;
      tried.add(relay.vmId);
      metrics.add("paths_asked");
      const result = await this.#callRelay(relay, target);
      if (result !== undefined && result.kind !== "unavailable") return result;
      choice.recordRefused(relay.vmId, performance.now(), result?.relays);
    }
    const { vmId: self } = this.#dependencies.getSelf();
    const others = getPeers().filter(({ vmId }) => vmId !== self).length;
    return { kind: "no_relay", others };
  }

  /** Tells the gateways that relay for this one that a target leaves. */
  reportLeaving({ id, startedAtMs }: Target): void {
    const { choice, findLive, notifyPeer } = this.#dependencies;
    for (const vmId of choice.listProven(performance.now())) {
      const peer = findLive(vmId);
      if (peer === undefined) continue;
      notifyPeer(peer, { kind: "share_leaving", targetId: id, startedAtMs });
    }
  }

  /** Asks one gateway; undefined if it doesn't answer. */
  async #callRelay(
    relay: PeerInfo,
    { id, startedAtMs }: Target,
  ): Promise<
    RelayResult | Extract<PathAnswer, { kind: "unavailable" }> | undefined
  > {
    const { choice, getSelf } = this.#dependencies;
    const call: PathCall = {
      kind: "open_path",
      targetId: id,
      startedAtMs,
    };
    const socket = connect({
      host: relay.host,
      port: relay.port,
      noDelay: true,
    });
    socket.write(
      `${
        JSON.stringify({ id: 1, body: { from: getSelf(), message: call } })
      }\n`,
    );
    const answer = await readAnswer(socket);
    if (answer?.kind !== "open") {
      socket.destroy();
      return answer;
    }
    choice.recordOpened(relay.vmId, performance.now(), answer.relayed);
    socket.on("close", () => choice.recordClosed(relay.vmId));
    const connection = new RelayedConnection(socket);
    return {
      kind: "open",
      opened: {
        socket: connection,
        hasPeerEnded: () => connection.hasPeerEnded,
        countBytesRead: () => connection.bytesRead,
        isUsable: () => this.#isUsable(relay),
      },
    };
  }

  /** A gateway that leaves waits until its relayed connections are closed. */
  #isUsable({ vmId, bootId }: PeerInfo): boolean {
    const live = this.#dependencies.findLive(vmId);
    return live !== undefined && live.bootId === bootId && !live.isLeaving;
  }
}

/** Reads the line that answers the call; undefined if none comes in time. */
function readAnswer(socket: Socket): Promise<PathAnswer | undefined> {
  return new Promise((resolve) => {
    let line: Buffer = Buffer.alloc(0);
    const end = (answer: PathAnswer | undefined) => {
      clearTimeout(timer);
      socket.off("data", handleData);
      socket.off("close", handleClose);
      socket.pause();
      resolve(answer);
    };
    const handleClose = () => end(undefined);
    const handleData = (bytes: Buffer) => {
      line = Buffer.concat([line, bytes]);
      const at = line.indexOf(NEWLINE);
      if (at < 0 && line.length <= MAX_LINE_BYTES) return;
      end(at < 0 ? undefined : parseAnswer(line.subarray(0, at)));
      if (at >= 0 && at + 1 < line.length) {
        socket.unshift(line.subarray(at + 1));
      }
    };
    const timer = setTimeout(handleClose, TRY_TIMEOUT_MS);
    setTimeout(
      () => setImmediate(() => socket.connecting && handleClose()),
      CONNECT_TIMEOUT_MS,
    );
    socket.on("data", handleData);
    socket.on("close", handleClose);
    // The `close` event follows.
    socket.on("error", () => {});
  });
}

function parseAnswer(line: Buffer): PathAnswer | undefined {
  try {
    const frame = JSON.parse(line.toString()) as { body?: unknown } | null;
    return findPathAnswer(frame?.body);
  } catch {
    // A line that isn't JSON is no gateway's answer.
    return undefined;
  }
}
