import { NO_CRASHES } from "../crashes/no_crashes_test.ts";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { encodeShardTable, type ShardTable } from "../decisions/shard_table.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { buildPeer, NO_LIMITS } from "../peer_fixture_test.ts";
import type { PeerMessage, PeerResponse } from "../peers/peer_messages.ts";
import { PROTOCOL_VERSION } from "../peers/protocol_version.ts";
import {
  buildTokenAccounting,
  type TokenAccounting,
} from "./account_components.ts";
import {
  type InjectedFault,
  OFTEN,
  PendingSteps,
  SELDOM,
  SimulatedStorage,
  SOMETIMES,
  type Step,
} from "./simulated_storage_test.ts";
import type { TurnGrant } from "./turn_accounts.ts";
import type { VirtualTime } from "./virtual_time_test.ts";

export const BUDGET_TOKENS = 48;

const TURN_TOKENS = 16;
const EVENT_TOKENS = 4;
const MAX_TURNS = 40;
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

/** Time skipped by one step; a few steps end every wait but the longest. */
const TIME_STEP_MS = 20_000;
const EARLY_EVICTION_MS = 10_000_000;

interface Process {
  readonly info: PeerInfo;
  readonly accounting: TokenAccounting;
  readonly directory: PeerDirectory;
  isAlive: boolean;
}

interface OpenTurn {
  readonly at: Process;
  readonly grant: TurnGrant;
}

/**
 * Simulates gateways that account for one program's tokens, a store, and the
 * messages, timers and failures between them, one step at a time.
 */
export class AccountSimulation {
  readonly #time: VirtualTime;
  readonly #fault: InjectedFault;
  readonly #processes = new Map<string, Process>();
  readonly #partitioned = new Set<string>();
  readonly #steps = new PendingSteps();
  #turns: OpenTurn[] = [];
  readonly #endedTurns: OpenTurn[] = [];
  readonly #grants: TurnGrant[] = [];
  #openedTurns = 0;
  #startedProcesses = 0;
  readonly #storage: SimulatedStorage;
  /** Former processes, whose last messages may still arrive. */
  readonly #former: PeerInfo[] = [];
  extraTokens = 0;

  constructor(time: VirtualTime, fault: InjectedFault) {
    this.#time = time;
    this.#fault = fault;
    this.#storage = new SimulatedStorage(this.#steps, fault);
    const infos = ["a", "b", "c"].map((vmId) => this.#buildInfo(vmId));
    const holders = infos.map((each) => ({
      ...each,
      isDoubtful: false,
      isRecorded: true,
    }));
    const table = Array.from({ length: 1_024 }, (_, at) => holders[at % 3]);
    const encoded = encodeShardTable(table as ShardTable);
    const { revision } = this.#storage.put("accountShards main", encoded);
    for (const info of infos) this.#startProcess(info);
    for (const { directory, accounting } of this.#processes.values()) {
      this.#discoverAll(directory, accounting);
      accounting.shards.applyUpdate({ revision, ageMs: 0, table: encoded });
    }
  }

  /** Tokens forwarded to callers. */
  get passedTokens(): number {
    return this.#grants.reduce(
      (sum, { passedTokens }) => sum + passedTokens,
      this.extraTokens,
    );
  }

  /** Ends every partition and outage, so that all tokens left can be spent. */
  heal(): void {
    this.#partitioned.clear();
    this.#storage.isStoreDown = false;
  }

  /** Finds the gateway that holds the program's shard, as another one sees it. */
  findHolder(at: string): string | undefined {
    return this.#processes.get(at)?.accounting.shards.findHolder("p")?.vmId;
  }

  /** Has all other gateways notice that one doesn't respond. */
  suspect(vmId: string): void {
    for (const { info, directory } of this.#processes.values()) {
      if (info.vmId === vmId) continue;
      directory.recordUnresponsive(vmId, this.#time.nowMs);
    }
  }

  /** Cuts a gateway off from the others, which all notice it. */
  separate(vmId: string): void {
    this.#partitioned.add(vmId);
    this.suspect(vmId);
    const { directory } = this.#processes.get(vmId) as Process;
    for (const other of this.#processes.keys()) {
      directory.recordUnresponsive(other, this.#time.nowMs);
    }
  }

  /** Has all other gateways receive a late message of a former process. */
  receiveFormer(vmId: string): void {
    const former = this.#former.find((each) => each.vmId === vmId);
    for (const { info, directory } of this.#processes.values()) {
      if (former !== undefined && info.vmId !== vmId) directory.set(former);
    }
  }

  /** Kills gateways and starts them again; all of them if none is named. */
  killAll(vmIds: readonly string[] = ["a", "b", "c"]): void {
    for (const vmId of vmIds) {
      const process = this.#processes.get(vmId);
      if (process !== undefined) this.#restart(process);
    }
  }

  /** Lists the possible next steps. */
  listSteps(): Step[] {
    const steps = [...this.#steps.list()];
    const timer = this.#time.nextStep;
    if (timer !== undefined) steps.push(timer);
    for (const process of this.#processes.values()) {
      steps.push(...this.#listProcessSteps(process));
    }
    for (const turn of this.#turns) steps.push(...this.#listTurnSteps(turn));
    if (this.#fault === "a turn continues after it was closed") {
      for (const { grant } of this.#endedTurns.splice(0)) {
        steps.push({
          name: "forward after the end",
          weight: OFTEN,
          run: () =>
            this.extraTokens += TURN_TOKENS -
              Math.min(TURN_TOKENS, grant.passedTokens),
        });
      }
    }
    if (this.#fault === "the holder evicts a first allowance too early") {
      for (const { accounting } of this.#processes.values()) {
        accounting.shards.removeExpired(this.#time.nowMs + EARLY_EVICTION_MS);
      }
    }
    steps.push({
      name: "time passes",
      weight: SELDOM,
      run: () => this.#time.advance(TIME_STEP_MS),
    });
    steps.push({
      name: "store unavailable or available",
      weight: SELDOM,
      run: () => this.#storage.isStoreDown = !this.#storage.isStoreDown,
    });
    return steps;
  }

  #listProcessSteps(process: Process): Step[] {
    const { info, accounting, directory } = process;
    const { vmId } = info;
    const steps: Step[] = [
      {
        name: `kill and start ${vmId}`,
        weight: SELDOM,
        run: () => this.#restart(process),
      },
      {
        name: `shut down ${vmId} gracefully`,
        weight: SELDOM,
        run: () => void accounting.group.sendLeaving(),
      },
      {
        name: `partition or heal ${vmId}`,
        weight: SELDOM,
        run: () => this.#togglePartition(vmId),
      },
      {
        name: `check shards ${vmId}`,
        weight: SOMETIMES,
        run: () => void accounting.shards.check(),
      },
      {
        name: `${vmId} discovers the others`,
        weight: SOMETIMES,
        run: () => this.#discoverAll(directory, accounting),
      },
    ];
    const former = this.#former.find((each) => each.vmId !== vmId);
    if (former !== undefined) {
      steps.push({
        name: `late message of ${former.vmId}'s former process to ${vmId}`,
        weight: SELDOM,
        run: () => directory.set(former),
      });
    }
    if (this.#openedTurns < MAX_TURNS) {
      steps.push({
        name: `turn at ${vmId}`,
        weight: SOMETIMES,
        run: () => this.#openTurn(process),
      });
    }
    return steps;
  }

  #listTurnSteps(turn: OpenTurn): Step[] {
    const { grant } = turn;
    const forward: Step = {
      name: "forward",
      weight: OFTEN,
      run: () => {
        if (turn.at.isAlive) grant.addEvent();
      },
    };
    return [
      ...grant.passedTokens < TURN_TOKENS ? [forward] : [],
      {
        name: "end",
        weight: SOMETIMES,
        run: () => {
          this.#turns = this.#turns.filter((each) => each !== turn);
          if (turn.at.isAlive) grant.close();
          this.#endedTurns.push(turn);
        },
      },
    ];
  }

  #openTurn(at: Process): void {
    this.#openedTurns += 1;
    void at.accounting.turns.open({
      programId: "p",
      turnId: `t${this.#openedTurns}`,
      budgetTokens: BUDGET_TOKENS,
      turnTokens: TURN_TOKENS,
      eventTokens: EVENT_TOKENS,
    }).then((opening) => {
      if (opening.kind !== "admitted") return;
      this.#grants.push(opening.grant);
      this.#turns.push({ at, grant: opening.grant });
    });
  }

  #buildInfo(vmId: string): PeerInfo {
    this.#startedProcesses += 1;
    return buildPeer(vmId, {
      bootId: `boot${this.#startedProcesses}`,
      protocol: PROTOCOL_VERSION,
    });
  }

  #startProcess(info: PeerInfo): void {
    const directory = new PeerDirectory(info);
    const process = { info, directory, isAlive: true } as Process;
    const accounting = buildTokenAccounting(
      {
        settings: { seeds: [] },
        store: this.#storage.buildStore(process),
        log: LOG,
        metrics: new GatewayMetrics(),
        getSelf: () => info,
        findCache: () => undefined,
        grants: this.#storage.buildGrants(process),
        ...NO_CRASHES,
        ...NO_LIMITS,
      },
      directory,
      {
        call: (peer, message) => this.#call(process, peer, message),
        callAddress: () => Promise.resolve(undefined),
      },
    );
    Object.assign(process, { accounting });
    this.#processes.set(info.vmId, process);
    for (const other of this.#processes.values()) directory.set(other.info);
    void accounting.group.open();
  }

  #restart(process: Process): void {
    process.isAlive = false;
    this.#turns = this.#turns.filter(({ at }) => at !== process);
    const { vmId, bootId } = process.info;
    this.#former.unshift(process.info);
    const keepsBootId =
      this.#fault === "a restarted shard holder keeps its boot ID";
    this.#startProcess(
      keepsBootId ? { ...process.info, bootId } : this.#buildInfo(vmId),
    );
  }

  #togglePartition(vmId: string): void {
    if (!this.#partitioned.delete(vmId)) this.#partitioned.add(vmId);
  }

  #discoverAll(directory: PeerDirectory, accounting: TokenAccounting): void {
    for (const { info } of this.#processes.values()) {
      const change = directory.set(info);
      accounting.group.handleChange(info, change);
    }
  }

  #call(
    from: Process,
    peer: PeerInfo,
    message: PeerMessage,
  ): Promise<PeerResponse | undefined> {
    return new Promise((resolve) => {
      const delivery = this.#steps.add(
        `${message.kind} to ${peer.vmId}`,
        () => {
          const to = this.#processes.get(peer.vmId);
          if (to === undefined || this.#isPartitioned(from, to)) return;
          if (!from.isAlive) return;
          this.#deliver(from, { to, message }, (response) => {
            this.#steps.add("response", () => {
              this.#steps.remove(noResponse);
              resolve(this.#applyResponseFault(message, response));
            });
          });
          if (
            message.kind === "move_accounts" &&
            this.#fault === "a moved account is delivered twice"
          ) this.#deliver(from, { to, message }, () => {});
        },
      );
      const noResponse = this.#steps.add(
        `no response from ${peer.vmId}`,
        () => {
          // A message may still arrive after its sender has timed out.
          if (message.kind !== "open_turn") this.#steps.remove(delivery);
          if (from.directory.recordUnresponsive(peer.vmId, this.#time.nowMs)) {
            from.accounting.group.handleChange(peer, "lost");
          }
          resolve(undefined);
        },
        SELDOM,
      );
    });
  }

  #deliver(
    from: Process,
    { to, message }: { to: Process; message: PeerMessage },
    handleResponse: (response: PeerResponse) => void,
  ): void {
    const sent = message.kind === "share_shards"
      ? { ...message, shards: this.#storage.removeMarks(message.shards) }
      : message;
    void to.accounting.group.handleMessage({ from: from.info, message: sent })
      .then((response) => {
        const { shards } = response;
        if (!to.isAlive) return;
        handleResponse({
          ...response,
          ...shards === undefined
            ? {}
            : { shards: this.#storage.removeMarks(shards) },
        });
      });
  }

  #applyResponseFault(
    { kind }: PeerMessage,
    response: PeerResponse,
  ): PeerResponse {
    const countsAsEnded = kind === "hello" &&
      this.#fault === "a holder that still runs counts as ended";
    if (!countsAsEnded) return response;
    return { ...response, from: { ...response.from, bootId: "other" } };
  }

  #isPartitioned(from: Process, to: Process): boolean {
    return this.#partitioned.has(from.info.vmId) !==
      this.#partitioned.has(to.info.vmId);
  }
}
