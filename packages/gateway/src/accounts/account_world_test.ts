import { err, ok, type Result } from "neverthrow";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { encodeShardTable, type ShardTable } from "../decisions/shard_table.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import type { PeerAnswer, PeerMessage } from "../peers/peer_messages.ts";
import type {
  ObjectKind,
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreWrite,
} from "../ports.ts";
import { buildCountingParts, type CountingParts } from "./account_parts.ts";
import type { TurnGrant } from "./turn_accounts.ts";
import type { VirtualTime } from "./virtual_time_test.ts";

export const BUDGET_TOKENS = 48;
const TURN_TOKENS = 16;
const EVENT_TOKENS = 4;
const MAX_TURNS = 40;
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

/** Faults of the protocol that the search has to find. */
export type PlantedFault =
  | "none"
  | "admits while the store is away"
  | "a restarted holder goes on as the same process"
  | "doubt about an earlier holder is dropped"
  | "a moved account arrives twice"
  | "a first allowance is forgotten"
  | "writes have no condition"
  | "a turn goes on after its end was told";

/** One thing that may happen next. */
export interface Step {
  readonly name: string;
  /** How often random runs choose it beside others. */
  readonly weight: number;
  readonly run: () => void;
}

/** Weights of what happens often, now and then, and seldom. */
export const OFTEN = 40;
const SOMETIMES = 8;
const SELDOM = 1;
/** Time that may pass at once; a few of it end every wait but the longest. */
const PASSING_MS = 20_000;
const FORGOTTEN_AFTER_MS = 10_000_000;

interface Process {
  readonly info: PeerInfo;
  readonly parts: CountingParts;
  readonly directory: PeerDirectory;
  isAlive: boolean;
}

interface OpenTurn {
  readonly at: Process;
  readonly grant: TurnGrant;
}

/**
 * Gateways that count one program's tokens, a store, and everything that may
 * happen between them, one step at a time.
 */
export class AccountWorld {
  readonly #time: VirtualTime;
  readonly #fault: PlantedFault;
  readonly #processes = new Map<string, Process>();
  readonly #objects = new Map<string, StoredObject>();
  readonly #cut = new Set<string>();
  #pending: Step[] = [];
  #turns: OpenTurn[] = [];
  readonly #ended: OpenTurn[] = [];
  readonly #grants: TurnGrant[] = [];
  #begun = 0;
  #starts = 0;
  #revision = 1;
  #isStoreAway = false;
  extraTokens = 0;

  constructor(time: VirtualTime, fault: PlantedFault) {
    this.#time = time;
    this.#fault = fault;
    const infos = ["a", "b", "c"].map((vmId) => this.#buildInfo(vmId));
    const holders = infos.map((each) => ({ ...each, isDoubtful: false }));
    const table = Array.from({ length: 1_024 }, (_, at) => holders[at % 3]);
    const encoded = encodeShardTable(table as ShardTable);
    const { revision } = this.#put("accountShards main", encoded);
    for (const info of infos) this.#startProcess(info);
    for (const { directory, parts } of this.#processes.values()) {
      this.#meetAll(directory, parts);
      parts.shards.applyNews({ revision, ageMs: 0, table: encoded });
    }
  }

  /** Tokens that callers got. */
  get passedTokens(): number {
    return this.#grants.reduce(
      (sum, { passedTokens }) => sum + passedTokens,
      this.extraTokens,
    );
  }

  /** Ends every cut and outage, so that what is left can be spent. */
  heal(): void {
    this.#cut.clear();
    this.#isStoreAway = false;
  }

  /** Lists what may happen next. */
  listSteps(): Step[] {
    const steps = [...this.#pending];
    const timer = this.#time.nextStep;
    if (timer !== undefined) steps.push(timer);
    for (const process of this.#processes.values()) {
      steps.push(...this.#listProcessSteps(process));
    }
    for (const turn of this.#turns) steps.push(...this.#listTurnSteps(turn));
    if (this.#fault === "a turn goes on after its end was told") {
      for (const { grant } of this.#ended.splice(0)) {
        steps.push({
          name: "pass after the end",
          weight: OFTEN,
          run: () =>
            this.extraTokens += TURN_TOKENS -
              Math.min(TURN_TOKENS, grant.passedTokens),
        });
      }
    }
    if (this.#fault === "a first allowance is forgotten") {
      for (const { parts } of this.#processes.values()) {
        parts.shards.removeOld(this.#time.nowMs + FORGOTTEN_AFTER_MS);
      }
    }
    steps.push({
      name: "time passes",
      weight: SELDOM,
      run: () => this.#time.pass(PASSING_MS),
    });
    steps.push({
      name: "store away or back",
      weight: SELDOM,
      run: () => this.#isStoreAway = !this.#isStoreAway,
    });
    return steps;
  }

  #listProcessSteps(process: Process): Step[] {
    const { info, parts, directory } = process;
    const { vmId } = info;
    const steps: Step[] = [
      {
        name: `kill and start ${vmId}`,
        weight: SELDOM,
        run: () => this.#restart(process),
      },
      {
        name: `stop ${vmId} as planned`,
        weight: SELDOM,
        run: () => void parts.group.sendLeaving(),
      },
      {
        name: `cut or heal ${vmId}`,
        weight: SELDOM,
        run: () => this.#changeCut(vmId),
      },
      {
        name: `check shards ${vmId}`,
        weight: SOMETIMES,
        run: () => void parts.shards.check(),
      },
      {
        name: `${vmId} hears of the others`,
        weight: SOMETIMES,
        run: () => this.#meetAll(directory, parts),
      },
    ];
    if (this.#begun < MAX_TURNS) {
      steps.push({
        name: `turn at ${vmId}`,
        weight: SOMETIMES,
        run: () => this.#begin(process),
      });
    }
    return steps;
  }

  #listTurnSteps(turn: OpenTurn): Step[] {
    const { grant } = turn;
    const pass: Step = {
      name: "pass",
      weight: OFTEN,
      run: () => {
        if (turn.at.isAlive) grant.addEvent();
      },
    };
    return [
      ...grant.passedTokens < TURN_TOKENS ? [pass] : [],
      {
        name: "end",
        weight: SOMETIMES,
        run: () => {
          this.#turns = this.#turns.filter((each) => each !== turn);
          if (turn.at.isAlive) grant.close();
          this.#ended.push(turn);
        },
      },
    ];
  }

  #begin(at: Process): void {
    this.#begun += 1;
    void at.parts.turns.open({
      programId: "p",
      turnId: `t${this.#begun}`,
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
    this.#starts += 1;
    return buildPeer(vmId, { bootId: `boot${this.#starts}` });
  }

  #startProcess(info: PeerInfo): void {
    const directory = new PeerDirectory(info);
    const process = { info, directory, isAlive: true } as Process;
    const parts = buildCountingParts(
      {
        settings: { seeds: [] },
        store: this.#buildStore(process),
        log: LOG,
        metrics: new GatewayMetrics(),
        getSelf: () => info,
        findCache: () => undefined,
      },
      directory,
      {
        call: (peer, message) => this.#call(process, peer, message),
        callAddress: () => Promise.resolve(undefined),
      },
    );
    Object.assign(process, { parts });
    this.#processes.set(info.vmId, process);
    for (const other of this.#processes.values()) directory.set(other.info);
    void parts.group.open();
  }

  #restart(process: Process): void {
    process.isAlive = false;
    this.#turns = this.#turns.filter(({ at }) => at !== process);
    const { vmId, bootId } = process.info;
    const isSame =
      this.#fault === "a restarted holder goes on as the same process";
    this.#startProcess(
      isSame ? buildPeer(vmId, { bootId }) : this.#buildInfo(vmId),
    );
  }

  #changeCut(vmId: string): void {
    if (!this.#cut.delete(vmId)) this.#cut.add(vmId);
  }

  #meetAll(directory: PeerDirectory, parts: CountingParts): void {
    for (const { info } of this.#processes.values()) {
      const change = directory.set(info);
      parts.group.handleChange(info, change);
    }
  }

  #call(
    from: Process,
    peer: PeerInfo,
    message: PeerMessage,
  ): Promise<PeerAnswer | undefined> {
    return new Promise((resolve) => {
      const sent = this.#add(`${message.kind} to ${peer.vmId}`, () => {
        const to = this.#processes.get(peer.vmId);
        if (to === undefined || this.#isCut(from, to)) return;
        if (!from.isAlive) return;
        this.#deliver(from, { to, message }, (answer) => {
          this.#add("answer", () => {
            this.#remove(lost);
            resolve(answer);
          });
        });
        if (
          message.kind === "move_accounts" &&
          this.#fault === "a moved account arrives twice"
        ) this.#deliver(from, { to, message }, () => {});
      });
      const lost = this.#add(`no answer from ${peer.vmId}`, () => {
        // A message whose sender has given up may still arrive.
        if (message.kind !== "open_turn") this.#remove(sent);
        if (from.directory.recordSilent(peer.vmId, this.#time.nowMs)) {
          from.parts.group.handleChange(peer, "lost");
        }
        resolve(undefined);
      }, SELDOM);
    });
  }

  #deliver(
    from: Process,
    { to, message }: { to: Process; message: PeerMessage },
    handleAnswer: (answer: PeerAnswer) => void,
  ): void {
    void to.parts.group.handleMessage({ from: from.info, message })
      .then((answer) => {
        if (to.isAlive) handleAnswer(answer);
      });
  }

  #isCut(from: Process, to: Process): boolean {
    return this.#cut.has(from.info.vmId) !== this.#cut.has(to.info.vmId);
  }

  #buildStore(process: Process): ObjectStore {
    const write = (isNew: boolean) => (kind: ObjectKind, what: StoreWrite) =>
      this.#callStore(
        process,
        `${isNew ? "create" : "update"} ${kind}`,
        () => this.#write(`${kind} ${what.name}`, what, isNew),
      );
    return {
      list: () => Promise.resolve(ok({ objects: [], revision: 1 })),
      find: (kind: ObjectKind, name: string) =>
        this.#callStore(process, `find ${kind}`, () => {
          const found = this.#objects.get(`${kind} ${name}`);
          return found === undefined ? err({ kind: "absent" }) : ok(found);
        }),
      create: (kind: ObjectKind, what: StoreWrite) =>
        kind === "gateways"
          ? Promise.resolve(ok({ name: "", revision: 1 }))
          : write(true)(kind, what),
      update: write(false),
    } as unknown as ObjectStore;
  }

  #callStore<T>(
    process: Process,
    name: string,
    act: () => Result<T, StoreFailure>,
  ): Promise<Result<T, StoreFailure>> {
    return new Promise((resolve) => {
      if (!process.isAlive) return;
      const done = this.#add(`store: ${name}`, () => {
        if (this.#isStoreAway) return this.#refuse(name, resolve, lost);
        const result = act();
        this.#add(`store answers: ${name}`, () => {
          this.#remove(lost);
          resolve(result);
        });
      });
      // Without an answer, a call may still be done later.
      const lost = this.#add(`store's answer is lost: ${name}`, () => {
        void done;
        resolve(err({ kind: "uncertain", detail: "lost" }));
      }, SELDOM);
    });
  }

  #refuse<T>(
    name: string,
    resolve: (result: Result<T, StoreFailure>) => void,
    lost: Step,
  ): void {
    this.#remove(lost);
    const isWrite = name.includes("tokenAccounts");
    if (isWrite && this.#fault === "admits while the store is away") {
      resolve(ok({ name: "p", revision: this.#revision } as T));
    } else resolve(err({ kind: "refused", detail: "away" }));
  }

  #write(
    key: string,
    { value, revision }: StoreWrite,
    isNew: boolean,
  ): Result<StoredObject, StoreFailure> {
    const current = this.#objects.get(key);
    const isFree = this.#fault === "writes have no condition";
    const matches = isNew
      ? current === undefined
      : current?.revision === revision;
    if (!matches && !isFree) {
      return err({ kind: "conflict", current });
    }
    return ok(this.#put(key, this.#spoil(key, value)));
  }

  #spoil(key: string, value: unknown): unknown {
    const isTable = key.startsWith("accountShards");
    if (
      !isTable || this.#fault !== "doubt about an earlier holder is dropped"
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
