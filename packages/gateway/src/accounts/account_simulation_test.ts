import { NO_CRASHES } from "../crashes/no_crashes_test.ts";
import { err, ok, type Result } from "neverthrow";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { encodeShardTable, type ShardTable } from "../decisions/shard_table.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { buildPeer, NO_LIMITS } from "../peer_fixture_test.ts";
import type { PeerMessage, PeerResponse } from "../peers/peer_messages.ts";
import type {
  ObjectKind,
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreWrite,
} from "../ports.ts";
import {
  buildTokenAccounting,
  type TokenAccounting,
} from "./account_components.ts";
import type { TurnGrant } from "./turn_accounts.ts";
import type { VirtualTime } from "./virtual_time_test.ts";

export const BUDGET_TOKENS = 48;

const TURN_TOKENS = 16;
const EVENT_TOKENS = 4;
const MAX_TURNS = 40;
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

/** Faults injected into the protocol, which the search must detect. */
export type InjectedFault =
  | "none"
  | "turns are admitted while the store is unavailable"
  | "a restarted shard holder keeps its boot ID"
  | "the table drops the mark of unverified shards"
  | "a moved account is delivered twice"
  | "the holder evicts a first allowance too early"
  | "writes to the store are unconditional"
  | "a turn continues after it was closed";

/** A possible next step of the simulation. */
export interface Step {
  readonly name: string;
  /** Relative frequency of the step in random runs. */
  readonly weight: number;
  readonly run: () => void;
}

/** Weights of frequent, occasional and rare steps. */
export const OFTEN = 40;
const SOMETIMES = 8;
const SELDOM = 1;
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
  readonly #objects = new Map<string, StoredObject>();
  readonly #partitioned = new Set<string>();
  #pending: Step[] = [];
  #turns: OpenTurn[] = [];
  readonly #endedTurns: OpenTurn[] = [];
  readonly #grants: TurnGrant[] = [];
  #openedTurns = 0;
  #startedProcesses = 0;
  #revision = 1;
  #isStoreDown = false;
  extraTokens = 0;

  constructor(time: VirtualTime, fault: InjectedFault) {
    this.#time = time;
    this.#fault = fault;
    const infos = ["a", "b", "c"].map((vmId) => this.#buildInfo(vmId));
    const holders = infos.map((each) => ({ ...each, isDoubtful: false }));
    const table = Array.from({ length: 1_024 }, (_, at) => holders[at % 3]);
    const encoded = encodeShardTable(table as ShardTable);
    const { revision } = this.#put("accountShards main", encoded);
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
    this.#isStoreDown = false;
  }

  /** Lists the possible next steps. */
  listSteps(): Step[] {
    const steps = [...this.#pending];
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
      run: () => this.#isStoreDown = !this.#isStoreDown,
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
    return buildPeer(vmId, { bootId: `boot${this.#startedProcesses}` });
  }

  #startProcess(info: PeerInfo): void {
    const directory = new PeerDirectory(info);
    const process = { info, directory, isAlive: true } as Process;
    const accounting = buildTokenAccounting(
      {
        settings: { seeds: [] },
        store: this.#buildStore(process),
        log: LOG,
        metrics: new GatewayMetrics(),
        getSelf: () => info,
        findCache: () => undefined,
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
    const keepsBootId =
      this.#fault === "a restarted shard holder keeps its boot ID";
    this.#startProcess(
      keepsBootId ? buildPeer(vmId, { bootId }) : this.#buildInfo(vmId),
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
      const delivery = this.#add(`${message.kind} to ${peer.vmId}`, () => {
        const to = this.#processes.get(peer.vmId);
        if (to === undefined || this.#isPartitioned(from, to)) return;
        if (!from.isAlive) return;
        this.#deliver(from, { to, message }, (response) => {
          this.#add("response", () => {
            this.#remove(noResponse);
            resolve(response);
          });
        });
        if (
          message.kind === "move_accounts" &&
          this.#fault === "a moved account is delivered twice"
        ) this.#deliver(from, { to, message }, () => {});
      });
      const noResponse = this.#add(`no response from ${peer.vmId}`, () => {
        // A message may still arrive after its sender has timed out.
        if (message.kind !== "open_turn") this.#remove(delivery);
        if (from.directory.recordUnresponsive(peer.vmId, this.#time.nowMs)) {
          from.accounting.group.handleChange(peer, "lost");
        }
        resolve(undefined);
      }, SELDOM);
    });
  }

  #deliver(
    from: Process,
    { to, message }: { to: Process; message: PeerMessage },
    handleResponse: (response: PeerResponse) => void,
  ): void {
    void to.accounting.group.handleMessage({ from: from.info, message })
      .then((response) => {
        if (to.isAlive) handleResponse(response);
      });
  }

  #isPartitioned(from: Process, to: Process): boolean {
    return this.#partitioned.has(from.info.vmId) !==
      this.#partitioned.has(to.info.vmId);
  }

  #buildStore(process: Process): ObjectStore {
    const write =
      (isNew: boolean) => (kind: ObjectKind, storeWrite: StoreWrite) =>
        this.#callStore(
          process,
          `${isNew ? "create" : "update"} ${kind}`,
          () => this.#write(`${kind} ${storeWrite.name}`, storeWrite, isNew),
        );
    return {
      list: () => Promise.resolve(ok({ objects: [], revision: 1 })),
      find: (kind: ObjectKind, name: string) =>
        this.#callStore(process, `find ${kind}`, () => {
          const found = this.#objects.get(`${kind} ${name}`);
          return found === undefined ? err({ kind: "absent" }) : ok(found);
        }),
      create: (kind: ObjectKind, storeWrite: StoreWrite) =>
        kind === "gateways"
          ? Promise.resolve(ok({ name: "", revision: 1 }))
          : write(true)(kind, storeWrite),
      update: write(false),
    } as unknown as ObjectStore;
  }

  #callStore<T>(
    process: Process,
    name: string,
    operation: () => Result<T, StoreFailure>,
  ): Promise<Result<T, StoreFailure>> {
    return new Promise((resolve) => {
      if (!process.isAlive) return;
      const applied = this.#add(`store: ${name}`, () => {
        if (this.#isStoreDown) return this.#refuse(name, resolve, noResponse);
        const result = operation();
        this.#add(`store responds: ${name}`, () => {
          this.#remove(noResponse);
          resolve(result);
        });
      });
      // A call without a response may still take effect later.
      const noResponse = this.#add(`store response lost: ${name}`, () => {
        void applied;
        resolve(err({ kind: "uncertain", detail: "lost" }));
      }, SELDOM);
    });
  }

  #refuse<T>(
    name: string,
    resolve: (result: Result<T, StoreFailure>) => void,
    noResponse: Step,
  ): void {
    this.#remove(noResponse);
    const isWrite = name.includes("tokenAccounts");
    if (
      isWrite &&
      this.#fault === "turns are admitted while the store is unavailable"
    ) {
      resolve(ok({ name: "p", revision: this.#revision } as T));
    } else resolve(err({ kind: "refused", detail: "unavailable" }));
  }

  #write(
    key: string,
    { value, revision }: StoreWrite,
    isNew: boolean,
  ): Result<StoredObject, StoreFailure> {
    const current = this.#objects.get(key);
    const isUnconditional =
      this.#fault === "writes to the store are unconditional";
    const matches = isNew
      ? current === undefined
      : current?.revision === revision;
    if (!matches && !isUnconditional) {
      return err({ kind: "conflict", current });
    }
    return ok(this.#put(key, this.#applyFault(key, value)));
  }

  #applyFault(key: string, value: unknown): unknown {
    const isTable = key.startsWith("accountShards");
    if (
      !isTable ||
      this.#fault !== "the table drops the mark of unverified shards"
    ) {
      return value;
    }
    const table = value as ReturnType<typeof encodeShardTable>;
    const holders = table.holders
      .map((each) => ({ ...each, isDoubtful: false }));
    return { ...table, holders };
  }

  #put(key: string, value: unknown): StoredObject {
    this.#revision += 1;
    const object = { name: key, revision: this.#revision, value, status: null };
    this.#objects.set(key, object);
    return object;
  }

  #add(name: string, run: () => void, weight = OFTEN): Step {
    const step: Step = {
      name,
      weight,
      run: () => {
        this.#remove(step);
        run();
      },
    };
    this.#pending.push(step);
    return step;
  }

  #remove(step: Step): void {
    this.#pending = this.#pending.filter((each) => each !== step);
  }
}
