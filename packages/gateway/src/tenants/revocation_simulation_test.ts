import { err, ok, type Result } from "neverthrow";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { FIXTURE_STORE_CODEC } from "../codec_fixture_test.ts";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { TargetTable } from "../decisions/target_table.ts";
import { buildConfiguration } from "../gateway_fixture_test.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import type { ObjectCall, PeerResponse } from "../peers/peer_messages.ts";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  WatchOptions,
} from "../ports.ts";
import {
  buildObjectSource,
  computeRenewalMs,
} from "../store/build_object_source.ts";
import { answerObjectCall } from "../store/object_relay.ts";
import { StoreWatcher } from "../store/store_watcher.ts";
import { WatchedConfiguration } from "../store/watched_state.ts";
import { TenantKeys } from "./tenant_keys.ts";
import { VmTime } from "./vm_time_test.ts";

/** Mistakes that a run of the simulation has to find. */
export type PlantedFault =
  | "none"
  | "keys never lapse"
  | "only the steady clock counts"
  | "a relay's copy counts as new"
  | "an unknown key is refused whatever the age";

const KIND = "configuration";
const REVOCATION_MS = 5_000;
const CONFIGURATION_MS = 4_000;
const GATEWAYS = 5;
const STORE_TIMEOUT_MS = 1_000;
const WATCH_GRACE_MS = 400;
const LATENCY_MS = 1;
const STEP_MS = 50;
const RENEWAL_CHECK_MS = 100;
const ALWAYS_KEY = "always";
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

interface KeyState {
  isListed: boolean;
  /** When the store acknowledged the latest change of the key. */
  changedAtMs: number;
}

interface SimulatedGateway {
  readonly info: PeerInfo;
  readonly directory: PeerDirectory;
  readonly watcher: StoreWatcher;
  readonly configuration: WatchedConfiguration;
  readonly keys: TenantKeys;
  isCutFromStore: boolean;
  isCutFromPeers: boolean;
  /** Added to the way of each response. */
  delayMs: number;
}

/** Gateways whose links, VMs and keys change by a seed. */
export class RevocationSimulation {
  readonly #time: VmTime;
  readonly #fault: PlantedFault;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #gateways: SimulatedGateway[] = [];
  readonly #keys = new Map<string, KeyState>();
  readonly #versions: StoredObject[] = [];
  #waiters: (() => void)[] = [];
  /** Rules that were broken, as text. */
  readonly broken: string[] = [];
  readonly trace: string[] = [];
  /** Requests with a listed key that were accepted, and all of them. */
  accepted = 0;
  asked = 0;

  constructor(seed: number, fault: PlantedFault) {
    this.#fault = fault;
    this.#random = xoroshiro128plus(seed);
    this.#time = new VmTime({
      hasWallClock: fault !== "only the steady clock counts",
    });
    this.#keys.set(ALWAYS_KEY, { isListed: true, changedAtMs: -Infinity });
    this.#putConfiguration();
    const infos = Array.from(
      { length: GATEWAYS },
      (_, at) => buildPeer(`vm-${at}`),
    );
    for (const info of infos) this.#addGateway(info);
    for (const { directory } of this.#gateways) {
      for (const info of infos) directory.add(info);
    }
  }

  close(): void {
    for (const { watcher } of this.#gateways) watcher.stop();
    this.#time.restore();
  }

  /** Runs random steps, then mends everything and checks that all is served. */
  async run(steps: number): Promise<void> {
    await this.#settle(3_000);
    for (let at = 0; at < steps; at += 1) {
      this.#change();
      await this.#settle(this.#choose(1_200));
    }
    for (const gateway of this.#gateways) this.#mend(gateway);
    await this.#settle(20_000);
    for (const { info, keys } of this.#gateways) {
      const result = this.#time.runOn(
        info.vmId,
        () => keys.check({ key: ALWAYS_KEY, isPublic: false }),
      );
      if (result.isErr()) {
        this.broken.push(`${info.vmId} accepts no key at the end`);
      }
    }
  }

  #change(): void {
    const gateway = this.#gateways[this.#choose(GATEWAYS)];
    if (gateway === undefined) return;
    const { vmId } = gateway.info;
    switch (this.#choose(10)) {
      case 0:
        gateway.isCutFromStore = true;
        return void this.trace.push(`${vmId} loses the store`);
      case 1:
        gateway.isCutFromPeers = true;
        return void this.trace.push(`${vmId} loses its peers`);
      case 2:
        this.trace.push(`${vmId} is mended`);
        return this.#mend(gateway);
      case 3: {
        const durationMs = this.#choose(12_000);
        this.trace.push(`${vmId} is suspended for ${durationMs}`);
        return this.#time.suspend(vmId, durationMs);
      }
      case 4:
        gateway.delayMs = this.#choose(WATCH_GRACE_MS);
        return void this.trace.push(`${vmId} is delayed ${gateway.delayMs}`);
      case 5:
        this.trace.push(`${vmId} is restarted`);
        return this.#restart(gateway);
      default:
        this.#changeKey(`key-${this.#choose(3)}`);
        // Some changes follow each other within a few milliseconds.
        if (this.#choose(3) === 0) this.#changeKey(`key-${this.#choose(3)}`);
    }
  }

  #changeKey(key: string): void {
    const isListed = this.#keys.get(key)?.isListed !== true;
    this.trace.push(`${key} is ${isListed ? "added" : "removed"}`);
    this.#keys.set(key, { isListed, changedAtMs: this.#time.nowMs });
    this.#putConfiguration();
  }

  #putConfiguration(): void {
    const version = this.#versions.length + 1;
    const keys = [...this.#keys].filter(([, { isListed }]) => isListed)
      .map(([key]) => key);
    this.#versions.push({
      name: "main",
      revision: version,
      value: {
        ...buildConfiguration(version),
        tenants: [{ name: "t", keys, priority: undefined, quota: undefined }],
      },
      status: null,
    });
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const endWait of waiters) endWait();
  }

  /** Starts the process again, without a configuration. */
  #restart({ info, watcher, directory }: SimulatedGateway): void {
    watcher.stop();
    const at = this.#gateways.findIndex((each) => each.info === info);
    const [former] = this.#gateways.splice(at, 1);
    this.#addGateway(info);
    const started = this.#find(info.vmId);
    started.isCutFromStore = former?.isCutFromStore === true;
    started.isCutFromPeers = former?.isCutFromPeers === true;
    for (const peer of directory.list()) started.directory.add(peer);
  }

  #mend(gateway: SimulatedGateway): void {
    gateway.isCutFromStore = false;
    gateway.isCutFromPeers = false;
    gateway.delayMs = 0;
    for (const { info } of this.#gateways) gateway.directory.set(info);
    for (const { directory } of this.#gateways) directory.set(gateway.info);
  }

  /** Lets time pass, and sends requests to all gateways meanwhile. */
  async #settle(durationMs: number): Promise<void> {
    const endMs = this.#time.nowMs + durationMs;
    while (this.#time.nowMs < endMs) {
      await this.#time.run(STEP_MS);
      for (const gateway of this.#gateways) this.#sendRequests(gateway);
    }
  }

  #sendRequests({ info, configuration, keys }: SimulatedGateway): void {
    const { vmId } = info;
    if (this.#time.isSuspended(vmId)) return;
    // Without a configuration, requests get 503 before their key is checked.
    if (configuration.inForce === undefined) return;
    const nowMs = this.#time.nowMs;
    for (const [key, { isListed, changedAtMs }] of this.#keys) {
      const result = this.#time.runOn(
        vmId,
        () => keys.check({ key, isPublic: false }),
      );
      const sinceMs = nowMs - changedAtMs;
      if (isListed) this.asked += 1;
      if (isListed && result.isOk()) this.accepted += 1;
      if (!isListed && result.isOk() && sinceMs > REVOCATION_MS) {
        this.broken.push(`${vmId} accepts ${key} ${sinceMs} ms later`);
      }
      const isUnknown = result.isErr() && result.error.code === "KeyUnknown";
      if (isListed && isUnknown && sinceMs > CONFIGURATION_MS) {
        this.broken.push(`${vmId} doesn't know ${key} ${sinceMs} ms later`);
      }
    }
  }

  #addGateway(info: PeerInfo): void {
    const settings = {
      vmId: info.vmId,
      bounds: {
        configurationMs: CONFIGURATION_MS,
        drainMs: 2_500,
        graceMs: 0,
        revocationMs: this.#fault === "keys never lapse"
          ? undefined
          : REVOCATION_MS,
      },
    };
    const directory = new PeerDirectory(info);
    const source = buildObjectSource({
      settings,
      store: this.#connectStore(info.vmId),
      directory,
      links: {
        call: (peer, message, timeoutMs = 0) =>
          this.#callPeer(info.vmId, peer, {
            message: message as ObjectCall,
            timeoutMs,
          }),
      },
      log: LOG,
      metrics: new GatewayMetrics(),
    });
    const configuration = new WatchedConfiguration({
      codec: FIXTURE_STORE_CODEC,
      log: LOG,
      targets: new TargetTable(),
      onConfiguration: () => {},
      onTargetRemoved: () => {},
      getAgeMs: () => watcher.computeAgeMs(),
    });
    const renewalMs = computeRenewalMs(settings);
    const watcher = new StoreWatcher({
      source,
      log: LOG,
      kind: KIND,
      renewal: { afterMs: renewalMs, readList: () => source.renew(KIND) },
      objects: configuration,
      isAgeBound: true,
    });
    const isHasty =
      this.#fault === "an unknown key is refused whatever the age";
    const keys = new TenantKeys({
      bounds: {
        revocationMs: settings.bounds.revocationMs,
        renewalMs: isHasty ? Number.POSITIVE_INFINITY : renewalMs,
      },
      log: LOG,
      metrics: { add: () => {} },
      getDirectory: () => configuration.inForce?.tenants,
      getAgeMs: () => configuration.computeKeysAgeMs(),
    });
    this.#gateways.push({
      info,
      configuration,
      directory,
      watcher,
      keys,
      isCutFromStore: false,
      isCutFromPeers: false,
      delayMs: 0,
    });
    this.#time.runOn(info.vmId, () => {
      void watcher.run();
      const renew = () => {
        void watcher.renewOverdue(performance.now());
        setTimeout(renew, RENEWAL_CHECK_MS);
      };
      renew();
    });
  }

  #find(vmId: string): SimulatedGateway {
    const found = this.#gateways.find(({ info }) => info.vmId === vmId);
    if (found === undefined) throw new Error(`no gateway ${vmId}`);
    return found;
  }

  #connectStore(vmId: string): ObjectStore {
    const list = () =>
      this.#callStore(vmId, STORE_TIMEOUT_MS, (answer) => answer());
    const watch = (_kind: string, { afterRevision, waitMs }: WatchOptions) =>
      this.#callStore(vmId, waitMs + WATCH_GRACE_MS, (answer) => {
        if (this.#versions.length > afterRevision) return answer();
        this.#waiters.push(answer);
        setTimeout(answer, waitMs);
      }).then((result) =>
        result.map(({ objects, revision }) => ({
          changes: objects
            .filter((object) => object.revision > afterRevision)
            .map((object) => ({ object, isRemoved: false })),
          revision,
        }))
      );
    return { list, watch } as Partial<ObjectStore> as ObjectStore;
  }

  #callStore(
    vmId: string,
    timeoutMs: number,
    serve: (answer: () => void) => void,
  ): Promise<
    Result<{ objects: StoredObject[]; revision: number }, StoreFailure>
  > {
    return new Promise((resolve) => {
      const fail = () =>
        resolve(err({ kind: "uncertain" as const, detail: "silent" }));
      setTimeout(fail, timeoutMs);
      if (this.#find(vmId).isCutFromStore) return;
      this.#time.deliver("store", LATENCY_MS, () =>
        serve(() => {
          const object = this.#versions.at(-1);
          const revision = this.#versions.length;
          const objects = object === undefined ? [] : [object];
          const { isCutFromStore, delayMs } = this.#find(vmId);
          if (isCutFromStore) return;
          this.#time.deliver(
            vmId,
            LATENCY_MS + delayMs,
            () => resolve(ok({ objects, revision })),
          );
        }));
    });
  }

  #callPeer(
    vmId: string,
    peer: PeerInfo,
    { message, timeoutMs }: {
      readonly message: ObjectCall;
      readonly timeoutMs: number;
    },
  ): Promise<PeerResponse | undefined> {
    const isCut = () =>
      this.#find(vmId).isCutFromPeers || this.#find(peer.vmId).isCutFromPeers;
    return new Promise((resolve) => {
      setTimeout(() => {
        this.#find(vmId).directory.recordUnresponsive(peer.vmId);
        resolve(undefined);
      }, timeoutMs);
      if (isCut()) return;
      this.#time.deliver(peer.vmId, LATENCY_MS, async () => {
        const answer = await answerObjectCall(
          this.#find(peer.vmId).watcher.cache,
          message,
        );
        if (isCut()) return;
        const { delayMs } = this.#find(vmId);
        const isNew = this.#fault === "a relay's copy counts as new";
        this.#time.deliver(vmId, LATENCY_MS + delayMs, () =>
          resolve({
            from: peer,
            ...answer,
            ...(isNew ? { ageMs: 0 } : {}),
          }));
      });
    });
  }

  #choose(limit: number): number {
    return limit <= 0 ? 0 : uniformInt(this.#random, 0, limit - 1);
  }
}
