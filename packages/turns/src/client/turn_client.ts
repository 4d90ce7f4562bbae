/**
 * The gateways' client of the turn store: saves turns and reads chains.
 *
 * A chain's disks are ranked by the program that it belongs to. Any disk may
 * hold a turn that another program continues, so all are asked before a turn
 * counts as missing.
 */
import { type AbsenceAnswer, isAbsenceProven } from "../decisions/absence.ts";
import { hasEnoughCopies, sortDisks } from "../decisions/disk_choice.ts";
import { decodeTurns, type DiskResponse } from "../messages.ts";
import { isUnbroken, type TurnChain } from "../model/kept_turn.ts";
import type { DiskInfo, LossTolerance } from "../model/turn_disk.ts";
import type { DiskCaller } from "./disk_links.ts";
import { TurnSaver } from "./turn_saver.ts";

/** A near disk usually answers within this time; then all are asked. */
const HEDGE_MS = 25;
const CALL_TIMEOUT_MS = 500;
/** Pause before the disks are asked again. */
const ROUND_PAUSE_MS = 60;

/** The result of reading a chain. */
export type LoadedChain =
  | { readonly kind: "found"; readonly chain: TurnChain }
  /** No such turn exists or is still kept. */
  | { readonly kind: "absent" }
  /** The disks that could tell don't respond or aren't complete. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Dependencies of the client. */
export interface TurnClientDependencies {
  readonly caller: DiskCaller;
  readonly region: string;
  readonly tolerance: LossTolerance;
  /** The registered disks, as last watched. */
  readonly listDisks: () => readonly DiskInfo[];
  /** Reads the registered disks from the store; undefined if it's away. */
  readonly loadDisks: () => Promise<readonly DiskInfo[] | undefined>;
}

/** What a call is about. */
export interface ChainOptions {
  /** Ranks the disks; the same for all turns of a program. */
  readonly key: string;
  readonly deadlineMs: number;
}

/** Saves and reads kept turns. */
export class TurnClient {
  readonly #dependencies: TurnClientDependencies;

  constructor(dependencies: TurnClientDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether enough disks are registered to keep a turn. */
  get canSave(): boolean {
    return hasEnoughCopies(
      this.#dependencies.listDisks().filter(isTaking),
      this.#dependencies.tolerance,
    );
  }

  /**
   * Saves the last turn of a chain. True once enough copies are durable; false
   * if that isn't known by the deadline.
   */
  save(chain: TurnChain, { key, deadlineMs }: ChainOptions): Promise<boolean> {
    const { caller, tolerance, region } = this.#dependencies;
    return new TurnSaver(chain, {
      caller,
      tolerance,
      deadlineMs,
      listDisks: () =>
        sortDisks(this.#dependencies.listDisks().filter(isTaking), {
          key,
          region,
        }),
    }).run();
  }

  /** Reads a turn and its ancestors. */
  async load(turnId: string, options: ChainOptions): Promise<LoadedChain> {
    let result: LoadedChain;
    do {
      result = await this.#loadOnce(turnId, options);
      if (result.kind !== "unknown") return result;
      await new Promise((resolve) => setTimeout(resolve, ROUND_PAUSE_MS));
    } while (performance.now() < options.deadlineMs);
    return result;
  }

  async #loadOnce(
    turnId: string,
    { key, deadlineMs }: ChainOptions,
  ): Promise<LoadedChain> {
    const { region, tolerance } = this.#dependencies;
    const disks = sortDisks(this.#dependencies.listDisks(), { key, region });
    const answers: AbsenceAnswer[] = [];
    const limitMs = Math.min(CALL_TIMEOUT_MS, deadlineMs - performance.now());
    const question = { turnId, limitMs: Math.max(1, limitMs), answers };
    const found = await this.#callInOrder(disks, question);
    if (found !== undefined) return { kind: "found", chain: found };
    const current = await this.#dependencies.loadDisks();
    if (current === undefined) {
      return { kind: "unknown", detail: "the disks' registry can't be read" };
    }
    const asked = new Set(answers.map(({ diskId }) => diskId));
    const further = current.filter(({ diskId }) => !asked.has(diskId));
    const late = await this.#callAll(further, question);
    if (late !== undefined) return { kind: "found", chain: late };
    if (isAbsenceProven(answers, { disks: current, tolerance })) {
      return { kind: "absent" };
    }
    const detail = `${answers.length} of ${current.length} disks don't hold it`;
    return { kind: "unknown", detail };
  }

  /** Asks the nearest disk, and soon after all others. */
  async #callInOrder(
    disks: readonly DiskInfo[],
    question: Question,
  ): Promise<TurnChain | undefined> {
    const [first, ...others] = disks;
    if (first === undefined) return undefined;
    const near = this.#callOne(first, question);
    const early = await Promise.race([near, waitFor(HEDGE_MS)]);
    if (early !== undefined) return early;
    return await findFirst([
      near,
      ...others.map((disk) => this.#callOne(disk, question)),
    ]);
  }

  #callAll(
    disks: readonly DiskInfo[],
    question: Question,
  ): Promise<TurnChain | undefined> {
    return findFirst(disks.map((disk) => this.#callOne(disk, question)));
  }

  async #callOne(
    disk: DiskInfo,
    { turnId, limitMs, answers }: Question,
  ): Promise<TurnChain | undefined> {
    const message = { kind: "load_chain", turnId } as const;
    const response = await this.#dependencies.caller
      .call(disk, message, limitMs);
    if (response === undefined) return undefined;
    if (response.answer.kind === "absent") answers.push(response);
    return decodeChain(response, turnId);
  }
}

interface Question {
  readonly turnId: string;
  readonly limitMs: number;
  /** Collects the answers of disks that don't hold the turn. */
  readonly answers: AbsenceAnswer[];
}

/** Decodes a chain that ends with the turn; undefined if it's anything else. */
function decodeChain(
  { answer }: DiskResponse,
  turnId: string,
): TurnChain | undefined {
  if (answer.kind !== "found") return undefined;
  const turns = decodeTurns(answer.turns, performance.now());
  if (turns.isErr() || turns.value.at(-1)?.id !== turnId) return undefined;
  return isUnbroken(turns.value) ? turns.value : undefined;
}

/** Resolves to the first value, or undefined once all promises have none. */
function findFirst<T>(
  promises: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const all = promises.map(async (promise) => {
      const value = await promise;
      if (value !== undefined) resolve(value);
    });
    void Promise.all(all).then(() => resolve(undefined));
  });
}

function isTaking({ isRetiring }: DiskInfo): boolean {
  return !isRetiring;
}

function waitFor(durationMs: number): Promise<undefined> {
  return new Promise((resolve) =>
    setTimeout(() => resolve(undefined), durationMs)
  );
}
