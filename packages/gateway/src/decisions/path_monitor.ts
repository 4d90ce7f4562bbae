/**
 * Decides whether this gateway reaches the targets by itself.
 *
 * The load: most gateways of a failure domain, or of the installation, lose
 * their links to all targets at the same moment, while callers, the store and
 * the other gateways still reach them. Connections hang or are reset, or live
 * on while new ones are refused. The end of one target, and one that is silent
 * for a second, look the same on a single connection. So this gateway counts as
 * cut off once several targets can't be connected to and nothing has arrived
 * from any target since. A single target that can't be connected to is reached
 * through other gateways for a while.
 */

/** Targets that can't be connected to before all count as unreached. */
const MIN_UNREACHED = 3;
/** The same where there are fewer; a single one may have ended. */
const FEWEST_UNREACHED = 2;
/** How long no direct connection is opened to a target after a failed one. */
const AVOID_DIRECT_MS = 1_000;
/** Silence of all targets, with an exchange under way, that calls for a probe. */
const SILENT_MS = 500;
/** Shortest time between probes while it isn't known which targets are reached. */
const DOUBT_PROBE_MS = 250;
/** Shortest time between probes while this gateway is cut off. */
const CUT_OFF_PROBE_MS = 500;
const MAX_TRACKED = 4_096;

/** Whether this gateway reaches targets directly. */
export type PathState = "direct" | "cut_off";

/** Observes direct connections to targets. Addresses are HOST:PORT. */
export class PathMonitor {
  #state: PathState = "direct";
  /** When the last bytes or connection of any target arrived. */
  #lastContactMs = Number.NEGATIVE_INFINITY;
  /** Last failure to connect, by address. */
  readonly #unreachedAtMs = new Map<string, number>();
  /** Starts of the exchanges under way, oldest first. */
  readonly #exchanges = new Map<object, number>();
  #nextProbeMs = 0;
  #nextIndex = 0;

  get state(): PathState {
    return this.#state;
  }

  /** Addresses that couldn't be connected to since the last contact. */
  get unreached(): string[] {
    return [...this.#unreachedAtMs]
      .filter(([, atMs]) => atMs > this.#lastContactMs)
      .map(([address]) => address);
  }

  /** Whether a target is connected to directly, if it is at all. */
  isDirect(address: string, nowMs: number): boolean {
    if (this.#state === "cut_off") return false;
    const atMs = this.#unreachedAtMs.get(address) ?? Number.NEGATIVE_INFINITY;
    return nowMs - atMs >= AVOID_DIRECT_MS;
  }

  /** Records that an exchange with a target began. */
  recordStart(exchange: object, nowMs: number): void {
    this.#exchanges.set(exchange, nowMs);
  }

  recordEnd(exchange: object): void {
    this.#exchanges.delete(exchange);
  }

  /** Records that bytes arrived on a direct connection. */
  recordContact(nowMs: number): void {
    this.#lastContactMs = nowMs;
  }

  /** Records a new direct connection; true if this gateway was cut off. */
  recordConnected(address: string, nowMs: number): boolean {
    this.#lastContactMs = nowMs;
    this.#unreachedAtMs.delete(address);
    const wasCutOff = this.#state === "cut_off";
    if (wasCutOff) this.#unreachedAtMs.clear();
    this.#state = "direct";
    return wasCutOff;
  }

  /**
   * Records that a target can't be connected to; true if this gateway counts as
   * cut off from now on.
   */
  recordUnreached(address: string, nowMs: number, targets: number): boolean {
    // Kept in the order of the failures.
    this.#unreachedAtMs.delete(address);
    this.#unreachedAtMs.set(address, nowMs);
    const [oldest] = this.#unreachedAtMs.keys();
    if (this.#unreachedAtMs.size > MAX_TRACKED && oldest !== undefined) {
      this.#unreachedAtMs.delete(oldest);
    }
    if (this.#state === "cut_off") return false;
    const needed = Math.min(MIN_UNREACHED, Math.max(FEWEST_UNREACHED, targets));
    if (this.unreached.length < needed) return false;
    this.#state = "cut_off";
    return true;
  }

  /** Whether it has to be found out now which targets are reached. */
  needsProbe(nowMs: number): boolean {
    if (nowMs < this.#nextProbeMs) return false;
    return this.#state === "cut_off" || this.#isSilent(nowMs) ||
      this.unreached.length > 0;
  }

  /** Plans which of the targets' addresses to connect to now, to find out. */
  planProbes(addresses: readonly string[], nowMs: number): string[] {
    if (!this.needsProbe(nowMs)) return [];
    if (this.#state === "cut_off") {
      this.#nextProbeMs = nowMs + CUT_OFF_PROBE_MS;
      return this.#takeNext(addresses, 1);
    }
    const unreached = this.unreached;
    this.#nextProbeMs = nowMs + DOUBT_PROBE_MS;
    const others = addresses.filter((each) => !unreached.includes(each));
    return this.#takeNext(others, MIN_UNREACHED);
  }

  #isSilent(nowMs: number): boolean {
    const [oldestMs = nowMs] = this.#exchanges.values();
    return nowMs - Math.max(oldestMs, this.#lastContactMs) >= SILENT_MS;
  }

  #takeNext(addresses: readonly string[], count: number): string[] {
    const taken: string[] = [];
    for (let at = 0; at < Math.min(count, addresses.length); at += 1) {
      const address = addresses[this.#nextIndex % addresses.length];
      this.#nextIndex += 1;
      if (address !== undefined) taken.push(address);
    }
    return taken;
  }
}
