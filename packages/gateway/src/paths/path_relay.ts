/**
 * Connects other gateways, which are cut off from the targets, to targets that
 * this one reaches. It passes bytes on and decides nothing about requests.
 *
 * The load: a few gateways relay for most of the installation, beside their own
 * callers. What a relayed connection holds comes out of the process's bytes, as
 * the callers' requests do, and their number has a limit.
 */
import type { Socket } from "node:net";
import { EVENTS } from "@camphorlock/codes/events";
import type { OpenedSocket } from "@camphorlock/http/exchange";
import type { ByteBudget } from "../decisions/byte_budget.ts";
import type { PathMonitor } from "../decisions/path_monitor.ts";
import type { RelayChoice } from "../decisions/relay_choice.ts";
import type { TargetTable } from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { LeavingNotice, PathAnswer, PathCall } from "./path_messages.ts";
import { isRefusal, type TargetPaths } from "./target_paths.ts";
import { encodeBlockLength } from "./relayed_connection.ts";

/** Longest wait for a target; far above the latency between regions. */
const CONNECT_TIMEOUT_MS = 250;
/** Bytes that wait at the sockets of one relayed connection. */
const CONNECTION_BYTES = 32_768;
/** Connections beyond which others are refused; each takes two descriptors. */
const MAX_CONNECTIONS = 512;
/** Longer than any request waits for its first byte. */
const IDLE_MS = 600_000;
/** Finds gateways that were lost without closing their connections. */
const KEEP_ALIVE_MS = 5_000;

/** Dependencies of the relay. */
export interface PathRelayDependencies {
  readonly bytes: ByteBudget;
  readonly monitor: PathMonitor;
  readonly choice: RelayChoice;
  readonly targets: TargetTable;
  readonly paths: Pick<TargetPaths, "openDirectly">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly isStopping: () => boolean;
  /** Whether the process keeps up with what it has accepted. */
  readonly isReady: () => boolean;
}

/** The relayed connections of one gateway. */
export class PathRelay {
  readonly #dependencies: PathRelayDependencies;
  #open = 0;
  /** Whether the last call was refused, so that a series is logged once. */
  #wasRefused = false;

  constructor(dependencies: PathRelayDependencies) {
    this.#dependencies = dependencies;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#open;
  }

  /**
   * Serves a call on its connection: answers with `send`, and relays if that's
   * possible. Never rejects.
   */
  async serve(
    near: Socket,
    call: PathCall,
    send: (answer: PathAnswer) => void,
  ): Promise<void> {
    const { monitor } = this.#dependencies;
    const refusal = this.#findRefusal(call);
    if (refusal !== undefined) return this.#refuse(near, refusal, send);
    const share = this.#dependencies.bytes.open();
    this.#open += 1;
    near.on("close", () => {
      this.#open -= 1;
      share.close();
    });
    if (!share.reserve(CONNECTION_BYTES)) {
      return this.#refuse(near, this.#buildUnavailable("busy"), send);
    }
    const far = await this.#connect(call);
    if ("kind" in far) return this.#refuse(near, far, send);
    if (near.destroyed) return void far.socket.destroy();
    this.#wasRefused = false;
    this.#dependencies.metrics.add("paths_relayed");
    near.setTimeout(IDLE_MS, () => near.destroy());
    near.setKeepAlive(true, KEEP_ALIVE_MS);
    send({ kind: "open", relayed: this.#open });
    far.socket.on("data", () => monitor.recordContact(performance.now()));
    connectSockets(near, far);
  }

  /** Records what another gateway was told by a target through this one. */
  recordLeaving({ targetId, startedAtMs }: LeavingNotice): void {
    const { targets } = this.#dependencies;
    const target = targets.find(targetId)?.target;
    if (target?.startedAtMs !== startedAtMs) return;
    targets.recordLeaving(target, performance.now());
  }

  #findRefusal(
    { targetId, startedAtMs }: PathCall,
  ): PathAnswer | undefined {
    const { monitor, targets, isStopping, isReady } = this.#dependencies;
    if (isStopping()) return this.#buildUnavailable("leaving");
    if (monitor.state === "cut_off") return this.#buildUnavailable("cut_off");
    if (this.#open >= MAX_CONNECTIONS || !isReady()) {
      return this.#buildUnavailable("busy");
    }
    const found = targets.find(targetId);
    return found?.target.startedAtMs === startedAtMs &&
        targets.isReady(targetId, performance.now())
      ? undefined
      : { kind: "target_unusable" };
  }

  async #connect({ targetId }: PathCall): Promise<OpenedSocket | PathAnswer> {
    const { targets, monitor, paths } = this.#dependencies;
    const target = targets.find(targetId)?.target;
    if (target === undefined) return { kind: "target_unusable" };
    const far = await paths.openDirectly(target, CONNECT_TIMEOUT_MS);
    if ("socket" in far) return far;
    if (monitor.state === "cut_off") return this.#buildUnavailable("cut_off");
    return isRefusal(far.error)
      ? { kind: "target_refuses" }
      : { kind: "target_silent" };
  }

  #buildUnavailable(reason: "cut_off" | "busy" | "leaving"): PathAnswer {
    const relays = this.#dependencies.choice.listHints(performance.now());
    return { kind: "unavailable", reason, relays };
  }

  #refuse(
    near: Socket,
    answer: PathAnswer,
    send: (answer: PathAnswer) => void,
  ): void {
    const { log, metrics } = this.#dependencies;
    metrics.add("paths_refused");
    if (!this.#wasRefused) {
      const reason = answer.kind === "unavailable" ? answer.reason : undefined;
      log.write(EVENTS.PathRefused, { answer: answer.kind, reason });
    }
    this.#wasRefused = true;
    send(answer);
    near.end();
  }
}

/** Passes bytes on, at the pace of the slower side, until one side ends. */
function connectSockets(near: Socket, far: OpenedSocket): void {
  const { socket } = far;
  near.pipe(socket);
  socket.on("data", (bytes: Buffer) => {
    const block = Buffer.concat([encodeBlockLength(bytes.length), bytes]);
    if (!near.write(block)) socket.pause();
  });
  near.on("drain", () => socket.resume());
  socket.on("end", () => {
    // Bytes that wait here for the target are unsent as well.
    const isOrderly = far.hasPeerEnded() && near.readableLength === 0;
    if (isOrderly) near.end(encodeBlockLength(0));
    else near.destroy();
  });
  socket.on("error", () => near.destroy());
  near.on("error", () => socket.destroy());
  near.on("close", () => socket.destroy());
}
