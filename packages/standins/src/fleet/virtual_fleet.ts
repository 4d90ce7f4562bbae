/**
 * A fleet of complete nodes under virtual time, with a simulated network,
 * platform and targets, for tests of failures.
 */
import {
  EMPTY_CONFIGURATION,
  type NodeNotice,
  type NodeOptions,
} from "@camphorlock/scheduler";
import type {
  CallerRequest,
  CallerResponse,
  ChangeCommand,
  ConfigurationValue,
  LogRecord,
  NodeSpec,
  TargetId,
  TargetSpec,
  VmId,
  VmListing,
} from "@camphorlock/types";
import { FaultPlan } from "../platform/fault_plan.ts";
import { FaultyStore } from "../platform/faulty_store.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { VirtualClock } from "./virtual_clock.ts";
import { VirtualNetwork } from "./virtual_network.ts";
import { type FleetContext, VirtualNode } from "./virtual_node.ts";
import { VirtualTargets } from "./virtual_targets.ts";

const VM_LIST_INTERVAL_MS = 2_000;
const REGIONS = ["marmara", "ege", "ic-anadolu"] as const;

/** The size, limits and seed of a virtual fleet. */
export interface VirtualFleetOptions {
  readonly seed: number;
  readonly nodeCount: number;
  readonly engineCount: number;
  readonly serviceCount: number;
  readonly shardCount: number;
  readonly limits?: Partial<NodeOptions["limits"]>;
}

/** A caller's request and its responses. */
export interface VirtualRequest {
  readonly requestId: string;
  readonly vmId: VmId;
  readonly request: CallerRequest;
  readonly sentAtMs: number;
  readonly responses: CallerResponse[];
  endedAtMs?: number;
}

/** A notice that a node reported. */
export interface ReportedNotice {
  readonly vmId: VmId;
  readonly incarnation: number;
  readonly atMs: number;
  readonly notice: NodeNotice;
}

/** A change that an operator submitted. */
export interface SubmittedChange {
  readonly requestId: string;
  readonly change: ChangeCommand;
  readonly atMs: number;
}

/** The nodes of a fleet, their network, platform, targets and callers. */
export class VirtualFleet implements FleetContext {
  readonly clock = new VirtualClock();
  readonly network: VirtualNetwork;
  readonly targets: VirtualTargets;
  readonly store = new ObjectStore();
  readonly platform: FaultyStore;
  readonly nodes = new Map<VmId, VirtualNode>();
  readonly requests: VirtualRequest[] = [];
  readonly notices: ReportedNotice[] = [];
  readonly logs: LogRecord[] = [];
  readonly #options: VirtualFleetOptions;
  readonly #requestsById = new Map<string, VirtualRequest>();
  readonly changes: SubmittedChange[] = [];
  #onOutcome: ((vmId: VmId) => void) | undefined;
  #startCount = 0;
  #changeCount = 0;

  constructor(options: VirtualFleetOptions) {
    this.#options = options;
    this.network = new VirtualNetwork(this.clock, options.seed);
    this.targets = new VirtualTargets(this.clock);
    const plan = new FaultPlan({ seed: options.seed, faults: [] });
    this.platform = new FaultyStore(this.store, plan);
    for (let vm = 1; vm <= options.nodeCount; vm++) this.startNode(`vm-${vm}`);
    this.#sendVmLists();
  }

  /** Starts a node, or restarts it after its end. */
  startNode(vmId: VmId): void {
    this.#startCount += 1;
    const spec = buildSpec(vmId, this.#startCount);
    const { seed, limits, shardCount } = this.#options;
    const node = new VirtualNode(
      {
        spec,
        seed: seed * 1_000 + this.#startCount,
        limits: {
          ...limits,
          assignment: { ...limits?.assignment, shardCount },
        },
        initial: {
          value: this.#buildConfiguration(),
          by: { partner: "zincir", operator: "installer" },
          atMs: 0,
        },
      },
      this,
      {
        onResponse: ({ requestId, answer: response }) =>
          this.#recordResponse(requestId, response),
        onNotice: (notice) => this.#recordNotice(spec, notice),
        onLog: (record) => this.logs.push(record),
      },
    );
    this.nodes.set(vmId, node);
  }

  /** Lists the engines. */
  listEngines(): TargetId[] {
    return Array.from({ length: this.#options.engineCount }, (_, index) => {
      return `engine-${index + 1}`;
    });
  }

  /** Gets a node by its VM id. */
  getNode(vmId: VmId): VirtualNode {
    const node = this.nodes.get(vmId);
    if (node === undefined) throw new TypeError(`no node ${vmId}`);
    return node;
  }

  /** Ends a node's process immediately, without a shutdown. */
  endNode(vmId: VmId): void {
    this.getNode(vmId).end();
  }

  /** Sends a request to a node as a caller. */
  send(vmId: VmId, request: CallerRequest): VirtualRequest {
    const requestId = `q${this.requests.length + 1}`;
    const sentAtMs = this.clock.nowMs;
    const sent = { requestId, vmId, request, sentAtMs, responses: [] };
    this.requests.push(sent);
    this.#requestsById.set(requestId, sent);
    const input = { kind: "caller_request", requestId, request } as const;
    this.getNode(vmId).handle({ ...input, mayBeRepeat: true });
    return sent;
  }

  /** Submits a change to a node as an operator. */
  sendChange(vmId: VmId, change: ChangeCommand): void {
    this.#changeCount += 1;
    const requestId = `change-${this.#changeCount}`;
    this.changes.push({ requestId, change, atMs: this.clock.nowMs });
    this.getNode(vmId).handle({
      kind: "change",
      requestId,
      change,
      text: change.kind,
      by: { partner: "zincir", operator: "test" },
      atMs: this.clock.nowMs,
    });
  }

  /** Runs until running nodes serve every shard; returns false on timeout. */
  waitServing(timeoutMs: number): boolean {
    return this.clock.runUntil(() => this.#isServing(), timeoutMs);
  }

  /** Runs until a request has ended; returns false on timeout. */
  waitEnded(sent: VirtualRequest, timeoutMs: number): boolean {
    return this.clock.runUntil(() => sent.endedAtMs !== undefined, timeoutMs);
  }

  /** Sets a function to run whenever a node returns an outcome to a caller. */
  setOnOutcome(run: ((vmId: VmId) => void) | undefined): void {
    this.#onOutcome = run;
  }

  #isServing(): boolean {
    let serving = 0;
    for (const node of this.nodes.values()) {
      if (!node.isEnded) serving += node.core.countShards().serving;
    }
    return serving >= this.#options.shardCount;
  }

  #recordResponse(requestId: string, response: CallerResponse): void {
    const sent = this.#requestsById.get(requestId);
    if (sent === undefined) return;
    sent.responses.push(response);
    if (response.kind === "text") return;
    sent.endedAtMs = this.clock.nowMs;
    if (response.kind === "outcome") this.#onOutcome?.(sent.vmId);
  }

  #recordNotice(spec: NodeSpec, notice: NodeNotice): void {
    const { vmId, incarnation } = spec;
    const atMs = this.clock.nowMs;
    this.notices.push({ vmId, incarnation, atMs, notice });
  }

  /** Sends the platform's VM list, which still contains ended VMs. */
  #sendVmLists(): void {
    const vms = [...this.nodes.values()].map(buildListing);
    for (const node of this.nodes.values()) {
      node.handle({ kind: "vm_list", vms });
    }
    this.clock.add(VM_LIST_INTERVAL_MS, () => this.#sendVmLists());
  }

  #buildConfiguration(): ConfigurationValue {
    const { engineCount, serviceCount } = this.#options;
    const engines = buildTargets("engine", engineCount, ["loom"]);
    const services = buildTargets("service", serviceCount, ["stock"]);
    return {
      ...EMPTY_CONFIGURATION,
      targets: [...engines, ...services],
      models: [{
        model: "loom",
        promptMicros: 1_000,
        cachedMicros: 100,
        completionMicros: 4_000,
      }],
      services: [{ service: "stock", callMicros: 500 }],
    };
  }
}

function buildTargets(
  kind: TargetSpec["kind"],
  count: number,
  serves: readonly string[],
): TargetSpec[] {
  return Array.from({ length: count }, (_, index) => {
    const region = REGIONS[index % REGIONS.length] ?? "ege";
    return {
      targetId: `${kind}-${index + 1}`,
      kind,
      serves,
      region,
      failureDomain: `${region}-1`,
      address: "127.0.0.1:1",
      checksFencing: false,
      leaving: false,
    };
  });
}

function buildSpec(vmId: VmId, incarnation: number): NodeSpec {
  const number = Number(vmId.split("-")[1]);
  const region = REGIONS[number % REGIONS.length] ?? "ege";
  return {
    vmId,
    incarnation,
    region,
    failureDomain: `${region}-1`,
    peerAddress: `127.0.0.1:${number}`,
    callerAddress: `127.0.0.1:${number}`,
    hasDisk: false,
  };
}

function buildListing(node: VirtualNode): VmListing {
  const { vmId, peerAddress, region, failureDomain } = node.spec;
  return { vmId, peerAddress, region, failureDomain, state: "live" };
}
