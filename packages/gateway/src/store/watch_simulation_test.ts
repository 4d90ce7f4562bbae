import { err, ok, type Result } from "neverthrow";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import type {
  ObjectCall,
  PeerMessage,
  PeerResponse,
} from "../peers/peer_messages.ts";
import type {
  ObjectKind,
  ObjectStore,
  StoredChange,
  StoredChanges,
  StoredList,
  StoredObject,
  StoreFailure,
  WatchOptions,
} from "../ports.ts";
import { buildObjectSource, computeRenewalMs } from "./build_object_source.ts";
import { answerObjectCall } from "./object_relay.ts";
import { StoreWatcher } from "./store_watcher.ts";

const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");
const KIND: ObjectKind = "configuration";
const LATENCY_MS = 1;
const RENEWAL_CHECK_MS = 100;
const BITS_PER_BYTE = 8;
const BYTES_PER_MEGABIT = 1_000_000 / BITS_PER_BYTE;
/** Real turns of the event loop in which settled promises run. */
const SETTLE_TURNS = 8;

/** What a simulated region looks like. */
export interface RegionOptions {
  readonly gateways: number;
  /** Bandwidth of each gateway's own link. */
  readonly linkMbps: number;
  readonly configurationBytes: number;
  /** Time within which a change must be in force. */
  readonly boundMs: number;
}

/** A gateway that got a change later than the bound. */
export interface LateGateway {
  readonly vmId: string;
  readonly version: number;
  readonly due: number;
}

interface SimulatedGateway {
  readonly info: PeerInfo;
  readonly watcher: StoreWatcher;
  readonly directory: PeerDirectory;
  version: number;
  isFrozen: boolean;
  /** When the own link has sent all that was written to it. */
  linkFreeAtMs: number;
  /** Calls that arrived while the VM was frozen. */
  held: (() => void)[];
}

/**
 * One region's gateways that watch a configuration at the store or at each
 * other, over links of limited bandwidth, in virtual time.
 */
export class WatchSimulation {
  readonly #options: RegionOptions;
  readonly #time = new VirtualTime();
  readonly #gateways = new Map<string, SimulatedGateway>();
  readonly #confirmed: { version: number; atMs: number }[] = [];
  readonly #store: SimulatedStore;
  readonly late: LateGateway[] = [];

  constructor(options: RegionOptions) {
    this.#options = options;
    this.#store = new SimulatedStore(
      options.configurationBytes,
      (vmId, bytes) => this.#transfer(vmId, bytes),
    );
    const infos = Array.from(
      { length: options.gateways },
      (_, index) => buildPeer(`vm-${index}`),
    );
    for (const info of infos) this.#addGateway(info);
    for (const { directory } of this.#gateways.values()) {
      for (const info of infos) directory.add(info);
    }
  }

  /** Ids of the gateways, best relay first. */
  get ranked(): string[] {
    const [first] = this.#gateways.values();
    return first?.directory.sortRelays().map(({ vmId }) => vmId) ?? [];
  }

  get store(): SimulatedStore {
    return this.#store;
  }

  /** Calls that gateways made to the store. */
  get storeCalls(): number {
    return this.#store.calls;
  }

  close(): void {
    for (const { watcher } of this.#gateways.values()) watcher.stop();
    this.#time.restore();
  }

  /** Stores the next version of the configuration. */
  change(): void {
    const version = (this.#confirmed.at(-1)?.version ?? 0) + 1;
    this.#store.put(version);
    this.#confirmed.push({ version, atMs: this.#time.nowMs });
  }

  /** Suspends a VM: it answers nothing and checks of it are left out. */
  freeze(vmId: string): void {
    const gateway = this.#gateways.get(vmId);
    if (gateway !== undefined) gateway.isFrozen = true;
  }

  /** Runs for a time, and records each gateway that is late meanwhile. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.#time.nowMs + durationMs;
    for (;;) {
      await settle();
      this.#recordLate();
      const step = this.#time.nextStep;
      if (step === undefined || this.#time.nextAtMs > endMs) break;
      step.run();
    }
    this.#time.advance(endMs - this.#time.nowMs);
  }

  #recordLate(): void {
    const dueMs = this.#time.nowMs - this.#options.boundMs;
    const due = this.#confirmed.findLast(({ atMs }) => atMs < dueMs)?.version;
    if (due === undefined) return;
    for (const { info, version, isFrozen } of this.#gateways.values()) {
      if (isFrozen || version >= due) continue;
      this.late.push({ vmId: info.vmId, version, due });
    }
  }

  #addGateway(info: PeerInfo): void {
    const directory = new PeerDirectory(info);
    const { boundMs } = this.#options;
    const store = this.#store.connect(info.vmId);
    const settings = {
      vmId: info.vmId,
      bounds: {
        configurationMs: boundMs,
        drainMs: boundMs,
        graceMs: 0,
        revocationMs: undefined,
      },
    };
    const source = buildObjectSource({
      settings,
      store,
      directory,
      links: {
        call: (peer, message, timeoutMs) =>
          this.#call(directory, peer, { message, timeoutMs }),
      },
      log: LOG,
      metrics: new GatewayMetrics(),
    });
    const apply = ({ value }: StoredObject) => {
      gateway.version = Math.max(gateway.version, Number(value));
    };
    const watcher = new StoreWatcher({
      source,
      log: LOG,
      kind: KIND,
      renewal: {
        afterMs: computeRenewalMs(settings),
        readList: () => source.renew(KIND),
      },
      objects: {
        setAll: (objects) => objects.forEach(apply),
        applyChange: ({ object }) => apply(object),
      },
    });
    const gateway: SimulatedGateway = {
      info,
      watcher,
      directory,
      version: 0,
      isFrozen: false,
      linkFreeAtMs: 0,
      held: [],
    };
    this.#gateways.set(info.vmId, gateway);
    void watcher.run();
    const renew = () => {
      if (!gateway.isFrozen) void watcher.renewOverdue(this.#time.nowMs);
      setTimeout(renew, RENEWAL_CHECK_MS);
    };
    renew();
  }

  /** Calls another gateway; ends without a response at the time limit. */
  #call(
    directory: PeerDirectory,
    peer: PeerInfo,
    call: { message: PeerMessage; timeoutMs: number | undefined },
  ): Promise<PeerResponse | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        directory.recordUnresponsive(peer.vmId);
        resolve(undefined);
      }, call.timeoutMs ?? 150);
      const message = call.message as ObjectCall;
      // The time limit doesn't apply while the response arrives.
      const stopTimer = () => clearTimeout(timer);
      void this.#answer(peer, message, stopTimer).then(resolve);
    });
  }

  async #answer(
    peer: PeerInfo,
    message: ObjectCall,
    handleStart: () => void,
  ): Promise<PeerResponse> {
    await waitFor(LATENCY_MS);
    const gateway = this.#gateways.get(peer.vmId);
    // A frozen VM never wakes in this simulation.
    if (gateway === undefined || gateway.isFrozen) return await never();
    const answer = await answerObjectCall(gateway.watcher.cache, message);
    const { configurationBytes } = this.#options;
    const objects = answer.changes?.changes.length ??
      answer.listed?.objects.length ?? 0;
    if (!gateway.isFrozen) handleStart();
    await this.#transfer(peer.vmId, objects * configurationBytes);
    return gateway.isFrozen ? await never() : { from: peer, ...answer };
  }

  /** Waits until a gateway's own link has carried the bytes. */
  async #transfer(vmId: string, bytes: number): Promise<void> {
    const gateway = this.#gateways.get(vmId);
    if (gateway === undefined) return;
    const durationMs = bytes * 1_000 /
      (this.#options.linkMbps * BYTES_PER_MEGABIT);
    const startMs = Math.max(this.#time.nowMs, gateway.linkFreeAtMs);
    gateway.linkFreeAtMs = startMs + durationMs;
    await waitFor(gateway.linkFreeAtMs + LATENCY_MS - this.#time.nowMs);
  }
}

/** A store that answers each gateway over that gateway's own link. */
export class SimulatedStore {
  calls = 0;
  /** Gateways whose next call ends without an answer, as on a reset. */
  readonly resets = new Set<string>();
  readonly #changes: StoredChange[] = [];
  readonly #transfer: (vmId: string, bytes: number) => Promise<void>;
  readonly #bytes: number;
  #waiters: (() => void)[] = [];

  constructor(
    bytes: number,
    transfer: (vmId: string, bytes: number) => Promise<void>,
  ) {
    this.#bytes = bytes;
    this.#transfer = transfer;
  }

  get #revision(): number {
    return this.#changes.at(-1)?.object.revision ?? 1;
  }

  put(version: number): void {
    const object = {
      name: "main",
      revision: this.#revision + 1,
      value: version,
      status: null,
    };
    this.#changes.push({ object, isRemoved: false });
    this.endWaits();
  }

  endWaits(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const endWait of waiters) endWait();
  }

  connect(vmId: string): ObjectStore {
    const list = async (): Promise<Result<StoredList, StoreFailure>> => {
      this.calls += 1;
      await waitFor(LATENCY_MS);
      const last = this.#changes.at(-1)?.object;
      const objects = last === undefined ? [] : [last];
      const revision = this.#revision;
      await this.#transfer(vmId, objects.length * this.#bytes);
      return ok({ objects, revision });
    };
    const watch = async (
      _kind: ObjectKind,
      { afterRevision, waitMs }: WatchOptions,
    ): Promise<Result<StoredChanges, StoreFailure>> => {
      this.calls += 1;
      await waitFor(LATENCY_MS);
      if (this.#revision <= afterRevision) {
        await new Promise<void>((resolve) => {
          this.#waiters.push(resolve);
          setTimeout(resolve, waitMs);
        });
      }
      if (this.resets.delete(vmId)) {
        return err({ kind: "uncertain", detail: "the connection was reset" });
      }
      const changes = this.#changes
        .filter(({ object }) => object.revision > afterRevision);
      const revision = this.#revision;
      await this.#transfer(vmId, changes.length * this.#bytes);
      return ok({ changes, revision });
    };
    return { list, watch } as Partial<ObjectStore> as ObjectStore;
  }
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function never(): Promise<never> {
  return new Promise(() => {});
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
