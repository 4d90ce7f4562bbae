import { err, ok, type Result } from "neverthrow";
import { FIRST_ALLOWANCE_PARTS } from "../decisions/first_allowances.ts";
import type {
  EncodedShardTable,
  ShardHolder,
} from "../decisions/shard_table.ts";
import type {
  ObjectKind,
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreWrite,
} from "../ports.ts";
import type { GrantRecords } from "./grant_records.ts";

/** Faults injected into the protocol, which the search must detect. */
export type InjectedFault =
  | "none"
  | "turns are admitted while the store is unavailable"
  | "a restarted shard holder keeps its boot ID"
  | "the table drops the mark of unverified shards"
  | "a moved account is delivered twice"
  | "the holder evicts a first allowance too early"
  | "writes to the store are unconditional"
  | "a turn continues after it was closed"
  | "grants are given before they're recorded"
  | "the table drops the mark of silent holders"
  | "a holder that still runs counts as ended";

/** A possible next step of the simulation. */
export interface Step {
  readonly name: string;
  /** Relative frequency of the step in random runs. */
  readonly weight: number;
  readonly run: () => void;
}

/** Weights of frequent, occasional and rare steps. */
export const OFTEN = 40;
export const SOMETIMES = 8;
export const SELDOM = 1;
/** What faults change in each entry of a table. */
const DROPPED_MARKS: ReadonlyMap<InjectedFault, Partial<ShardHolder>> = new Map(
  [
    ["the table drops the mark of unverified shards", { isDoubtful: false }],
    ["the table drops the mark of silent holders", {
      mayHaveSilentHolder: false,
    }],
  ],
);

/** A process that calls the store or the disks. */
interface Writer {
  readonly isAlive: boolean;
}

/** What is in flight, in the order in which it was sent. */
export class PendingSteps {
  #steps: Step[] = [];

  list(): readonly Step[] {
    return this.#steps;
  }

  add(name: string, run: () => void, weight = OFTEN): Step {
    const step: Step = {
      name,
      weight,
      run: () => {
        this.remove(step);
        run();
      },
    };
    this.#steps.push(step);
    return step;
  }

  remove(step: Step): void {
    this.#steps = this.#steps.filter((each) => each !== step);
  }
}

/** A store and disks, whose responses come one step at a time or get lost. */
export class SimulatedStorage {
  isStoreDown = false;
  readonly #steps: PendingSteps;
  readonly #fault: InjectedFault;
  readonly #objects = new Map<string, StoredObject>();
  #revision = 1;
  /** Parts of the program's first allowance that are recorded on disks. */
  #recordedParts = 0;

  constructor(steps: PendingSteps, fault: InjectedFault) {
    this.#steps = steps;
    this.#fault = fault;
  }

  /** A record may become durable although its writer has ended or given up. */
  buildGrants(process: Writer): GrantRecords {
    const record = (parts: number): void => {
      this.#recordedParts = Math.max(this.#recordedParts, parts);
    };
    return {
      canSave: true,
      save: (_programId, parts) =>
        this.#fault === "grants are given before they're recorded"
          ? Promise.resolve(true)
          : this.#callDisks(process, `record part ${parts}`, {
            apply: () => {
              record(parts);
              return true;
            },
            unanswered: false,
          }),
      find: () =>
        this.#callDisks(process, "find parts", {
          apply: (): number | undefined =>
            Math.min(this.#recordedParts, FIRST_ALLOWANCE_PARTS),
          unanswered: undefined,
        }),
    };
  }

  #callDisks<T>(
    process: Writer,
    name: string,
    { apply, unanswered }: {
      readonly apply: () => T;
      readonly unanswered: T;
    },
  ): Promise<T> {
    return new Promise((resolve) => {
      if (!process.isAlive) return;
      this.#steps.add(`disks: ${name}`, () => {
        const result = apply();
        this.#steps.add(`disks respond: ${name}`, () => {
          this.#steps.remove(noResponse);
          resolve(result);
        });
      });
      const noResponse = this.#steps.add(
        `disks don't respond: ${name}`,
        () => resolve(unanswered),
        SELDOM,
      );
    });
  }

  buildStore(process: Writer): ObjectStore {
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
    process: Writer,
    name: string,
    operation: () => Result<T, StoreFailure>,
  ): Promise<Result<T, StoreFailure>> {
    return new Promise((resolve) => {
      if (!process.isAlive) return;
      const applied = this.#steps.add(`store: ${name}`, () => {
        if (this.isStoreDown) return this.#refuse(name, resolve, noResponse);
        const result = operation();
        this.#steps.add(`store responds: ${name}`, () => {
          this.#steps.remove(noResponse);
          resolve(result);
        });
      });
      // A call without a response may still take effect later.
      const noResponse = this.#steps.add(`store response lost: ${name}`, () => {
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
    this.#steps.remove(noResponse);
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
    if (!key.startsWith("accountShards") || !DROPPED_MARKS.has(this.#fault)) {
      return ok(this.put(key, value));
    }
    const { table } = this.removeMarks({ table: value as EncodedShardTable });
    // The writer has to continue with the changed table, too.
    return err({ kind: "conflict", current: this.put(key, table) });
  }

  /** Applies faults that change the table of shards. */
  removeMarks<T extends { readonly table?: EncodedShardTable }>(update: T): T {
    const dropped = DROPPED_MARKS.get(this.#fault);
    const { table } = update;
    if (dropped === undefined || table === undefined) return update;
    const holders = table.holders.map((each) => ({ ...each, ...dropped }));
    return { ...update, table: { ...table, holders } };
  }

  put(key: string, value: unknown): StoredObject {
    this.#revision += 1;
    const object = { name: key, revision: this.#revision, value, status: null };
    this.#objects.set(key, object);
    return object;
  }
}
