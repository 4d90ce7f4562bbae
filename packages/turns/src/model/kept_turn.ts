/**
 * Turns of a conversation that the system keeps, and the chains that they form.
 *
 * A turn never changes after its end, and its id is unique, so copies of a turn
 * are equal and may be read from anywhere.
 */

import type { TurnRunner } from "./turn_owner.ts";

/** One turn that has ended. The target's id is empty if it's unknown. */
export interface KeptTurn extends TurnRunner {
  readonly id: string;
  /** The turn that this one continues; undefined at the start of a chain. */
  readonly parentId: string | undefined;
  /** The body of the caller's request. */
  readonly input: Buffer;
  /** The data of each event of the response, each followed by a line feed. */
  readonly output: Buffer;
  /** How long the turn must be kept after its end. */
  readonly retentionMs: number;
  /** End of the turn on this process's monotonic clock. */
  readonly endedAtMs: number;
}

/** The turns of a chain, the oldest first. Each continues the one before. */
export type TurnChain = readonly KeptTurn[];

/** Counts the bytes of a turn's content. */
export function countTurnBytes({ input, output }: KeptTurn): number {
  return input.length + output.length;
}

/** Counts the bytes of a chain's content. */
export function countChainBytes(chain: TurnChain): number {
  return chain.reduce((sum, turn) => sum + countTurnBytes(turn), 0);
}

/** Builds the body that a target receives for a turn that continues a chain. */
export function buildTargetBody(chain: TurnChain, input: Buffer): Buffer {
  const parts = chain.flatMap((turn) => [turn.input, turn.output]);
  return Buffer.concat([...parts, input]);
}

/** Whether each turn of a chain continues the one before. */
export function isUnbroken(chain: TurnChain): boolean {
  return chain.every((turn, at) => turn.parentId === chain[at - 1]?.id);
}
