/**
 * Opens connections to targets: directly, or through another gateway while this
 * one doesn't reach them itself.
 *
 * Requests, permits and accounts stay here whatever the way, so that everything
 * that's decided about a request holds on both. A request that hasn't been sent
 * takes the other way without a loss; one that was sent is handled as after any
 * broken connection.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { OpenedSocket, SocketOpener } from "@camphorlock/http/exchange";
import type { PathMonitor } from "../decisions/path_monitor.ts";
import { getAddress, type TargetTable } from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { Target } from "../model/target.ts";
import type { RelayClient, RelayResult } from "./relay_client.ts";

/** Time without a direct connection after which the other way is tried, too. */
const TRY_RELAY_AFTER_MS = 100;
/** Longest wait for a direct connection that only finds out whether one opens. */
const PROBE_TIMEOUT_MS = 250;
/** Pause between searches for a gateway that relays, while none is known. */
const SEARCH_MS = 300;
const REFUSED_CODE = "ECONNREFUSED";

/** Dependencies of the paths. */
export interface TargetPathsDependencies {
  readonly monitor: PathMonitor;
  readonly relays: Pick<RelayClient, "open" | "reportLeaving">;
  readonly targets: TargetTable;
  readonly openSocket: SocketOpener;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Called when this gateway has lost its direct connections. */
  readonly onCutOff: () => void;
}

/** Why a direct connection wasn't opened. */
export interface FailedOpening {
  readonly error: Error;
}

/** The ways to all targets. */
export class TargetPaths {
  readonly #dependencies: TargetPathsDependencies;
  /** Grows whenever direct connections from before can't be relied on. */
  #generation = 0;
  #hasRelay = true;
  #nextSearchMs = 0;
  #isSearching = false;

  constructor(dependencies: TargetPathsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether any way to the targets is known, or may be. */
  get canReachTargets(): boolean {
    return this.#dependencies.monitor.state === "direct" || this.#hasRelay;
  }

  /** Whether new connections to the target are opened directly. */
  isDirect(target: Target): boolean {
    const { monitor } = this.#dependencies;
    return monitor.isDirect(getAddress(target), performance.now());
  }

  /** Opens a connection; rejects if there's none within `timeoutMs`. */
  async open(target: Target, timeoutMs: number): Promise<OpenedSocket> {
    if (!this.isDirect(target)) return await this.#openRelayed(target);
    const direct = this.openDirectly(target, timeoutMs);
    const first = await Promise.race([direct, waitToTryRelay()]);
    if (first !== undefined && "socket" in first) {
      return this.#watchContact(first);
    }
    const relayed = await this.#callRelays(target);
    if (relayed.kind === "open") {
      // A direct connection that comes late isn't needed any more.
      void direct.then((late) => "socket" in late && late.socket.destroy());
      return this.#buildRelayed(target, relayed.opened);
    }
    const opened = await direct;
    if ("socket" in opened) return this.#watchContact(opened);
    throw opened.error;
  }

  /** Opens a direct connection, and records what that shows. Never rejects. */
  async openDirectly(
    target: Target,
    timeoutMs: number,
  ): Promise<OpenedSocket | FailedOpening> {
    const { monitor, openSocket, targets } = this.#dependencies;
    const address = getAddress(target);
    const generation = this.#generation;
    try {
      const opened = await openSocket(target, timeoutMs);
      if (monitor.recordConnected(address, performance.now())) {
        this.#recordState(address);
      }
      return { ...opened, isUsable: () => generation === this.#generation };
    } catch (caught) {
      const error = caught instanceof Error
        ? caught
        : new Error(String(caught));
      const nowMs = performance.now();
      if (monitor.recordUnreached(address, nowMs, targets.size)) {
        this.#generation += 1;
        this.#hasRelay = true;
        this.#recordState(error.message);
        this.#dependencies.onCutOff();
      }
      return { error };
    }
  }

  /**
   * Whether a target that refuses this gateway's connections refuses another
   * one's, too, so that its process has ended.
   */
  async confirmRefusal(target: Target): Promise<boolean> {
    const { monitor } = this.#dependencies;
    const result = await this.#callRelays(target);
    switch (result.kind) {
      case "open":
        result.opened.socket.destroy();
        return false;
      case "target_refuses":
        return true;
      case "target_silent":
      case "target_unusable":
        return false;
      case "no_relay":
        if (result.others === 0) return true;
        // Several targets that end at once are rather a lost link.
        return monitor.state === "direct" && monitor.unreached.length < 2;
    }
  }

  /** Tells the gateways that relay for this one that a target leaves. */
  reportLeaving(target: Target): void {
    this.#dependencies.relays.reportLeaving(target);
  }

  /** Finds out which ways work, while that isn't known. */
  runDue(nowMs: number): void {
    if (this.#dependencies.monitor.needsProbe(nowMs)) this.#probeTargets(nowMs);
    if (this.canReachTargets || this.#isSearching) return;
    if (nowMs < this.#nextSearchMs) return;
    this.#nextSearchMs = nowMs + SEARCH_MS;
    void this.#probeRelays();
  }

  #probeTargets(nowMs: number): void {
    const { monitor, targets } = this.#dependencies;
    const byAddress = new Map(
      targets.listAll().map((each) => [getAddress(each), each]),
    );
    for (const address of monitor.planProbes([...byAddress.keys()], nowMs)) {
      const target = byAddress.get(address);
      if (target !== undefined) void this.#probe(target);
    }
  }

  async #probe(target: Target): Promise<void> {
    const opened = await this.openDirectly(target, PROBE_TIMEOUT_MS);
    if ("socket" in opened) opened.socket.destroy();
  }

  /** Looks for a gateway that relays, without a caller who waits for it. */
  async #probeRelays(): Promise<void> {
    this.#isSearching = true;
    const targets = this.#dependencies.targets.listAll();
    const target = targets[Math.floor(Math.random() * targets.length)];
    const result = target === undefined
      ? undefined
      : await this.#callRelays(target);
    if (result?.kind === "open") result.opened.socket.destroy();
    this.#isSearching = false;
  }

  async #openRelayed(target: Target): Promise<OpenedSocket> {
    const result = await this.#callRelays(target);
    if (result.kind === "open") {
      return this.#buildRelayed(target, result.opened);
    }
    throw new Error(`no connection through another gateway: ${result.kind}`);
  }

  /** Records whatever arrives on a direct connection. */
  #watchContact(opened: OpenedSocket): OpenedSocket {
    const { monitor } = this.#dependencies;
    opened.socket.on(
      "readable",
      () => monitor.recordContact(performance.now()),
    );
    return opened;
  }

  /** A relayed connection isn't used again once there's a shorter way. */
  #buildRelayed(target: Target, opened: OpenedSocket): OpenedSocket {
    return {
      ...opened,
      isUsable: () => opened.isUsable() && !this.isDirect(target),
    };
  }

  async #callRelays(target: Target): Promise<RelayResult> {
    const { relays, log, metrics } = this.#dependencies;
    const result = await relays.open(target);
    const hasRelay = result.kind !== "no_relay";
    metrics.add(hasRelay ? "paths_found" : "paths_missing");
    if (hasRelay !== this.#hasRelay) {
      this.#hasRelay = hasRelay;
      log.write(EVENTS.RelaysChanged, { usable: hasRelay });
    }
    return result;
  }

  #recordState(detail: string): void {
    const { monitor, log } = this.#dependencies;
    log.write(EVENTS.PathsChanged, {
      state: monitor.state,
      unreached: monitor.unreached.slice(0, 5),
      detail,
    });
  }
}

/** Whether an error says that the VM refuses the connection. */
export function isRefusal(error: unknown): boolean {
  return (error as NodeJS.ErrnoException | undefined)?.code === REFUSED_CODE;
}

function waitToTryRelay(): Promise<undefined> {
  return new Promise((resolve) =>
    // After a pause of this process, a connection may be established and its
    // event still due.
    setTimeout(
      () => setImmediate(() => resolve(undefined)),
      TRY_RELAY_AFTER_MS,
    )
  );
}
