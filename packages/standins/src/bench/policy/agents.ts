/**
 * The agents in the workloads of the two partners, and a generator of their
 * programs.
 */
import type { Partner, ProgramClass } from "@camphorlock/types";
import type { RandomSource } from "@camphorlock/scheduler";
import type { PlannedCall, PlannedProgram } from "./workload.ts";

/** A range of integers, inclusive at both ends. */
export type Range = readonly [low: number, high: number];

/** The distribution from which an agent's programs are generated. */
export interface AgentShape {
  readonly agent: string;
  readonly partner: Partner;
  readonly programClass: ProgramClass;
  readonly sharedTokens: number;
  readonly turns: Range;
  readonly firstTurnTokens: Range;
  readonly turnTokens: Range;
  readonly completionTokens: Range;
  readonly pauseMs: Range;
  /** Share of programs whose turns are multiplied by `stragglerTurns`. */
  readonly stragglerShare: number;
  readonly stragglerTurns: number;
  readonly subAgent?: AgentShape;
  /** Number of turns that end in a fan-out to sub-agents. */
  readonly fanOuts: Range;
  /** Sub-agents in each fan-out. */
  readonly fanOutWidth: Range;
}

const LEAF_AGENT = {
  stragglerShare: 0,
  stragglerTurns: 1,
  fanOuts: [0, 0],
  fanOutWidth: [0, 0],
} as const;

/** Zincir: a designer requests prices of chain links. */
export const ZINCIR_QUOTE: AgentShape = {
  ...LEAF_AGENT,
  agent: "zincir-quote",
  partner: "zincir",
  programClass: "short",
  sharedTokens: 900,
  turns: [1, 3],
  firstTurnTokens: [200, 500],
  turnTokens: [100, 300],
  completionTokens: [40, 100],
  pauseMs: [100, 300],
};

const ZINCIR_HELPER: AgentShape = {
  ...LEAF_AGENT,
  agent: "zincir-helper",
  partner: "zincir",
  programClass: "standard",
  sharedTokens: 1_200,
  turns: [2, 4],
  firstTurnTokens: [500, 1_200],
  turnTokens: [200, 600],
  completionTokens: [60, 150],
  pauseMs: [200, 1_000],
};

/** Zincir: a buyer's sourcing agent, which starts sub-agents. */
export const ZINCIR_SOURCING: AgentShape = {
  agent: "zincir-sourcing",
  partner: "zincir",
  programClass: "standard",
  sharedTokens: 2_000,
  turns: [5, 9],
  firstTurnTokens: [1_000, 2_500],
  turnTokens: [300, 900],
  completionTokens: [80, 250],
  pauseMs: [300, 1_500],
  stragglerShare: 0.04,
  stragglerTurns: 5,
  subAgent: ZINCIR_HELPER,
  fanOuts: [1, 2],
  fanOutWidth: [2, 5],
};

/** Okonkwo: a dealer at the counter requests the price of a casting. */
export const OKONKWO_QUOTE: AgentShape = {
  ...LEAF_AGENT,
  agent: "okonkwo-quote",
  partner: "okonkwo",
  programClass: "short",
  sharedTokens: 800,
  turns: [1, 2],
  firstTurnTokens: [150, 400],
  turnTokens: [100, 250],
  completionTokens: [40, 90],
  pauseMs: [100, 300],
};

/** Okonkwo: traces the history of patterns for moulders. */
export const OKONKWO_TRACING: AgentShape = {
  ...LEAF_AGENT,
  agent: "okonkwo-tracing",
  partner: "okonkwo",
  programClass: "background",
  sharedTokens: 1_500,
  turns: [4, 8],
  firstTurnTokens: [12_000, 30_000],
  turnTokens: [1_000, 4_000],
  completionTokens: [200, 500],
  pauseMs: [500, 2_000],
  stragglerShare: 0.05,
  stragglerTurns: 4,
};

/** Creates one random program of an agent. */
export function createProgram(
  shape: AgentShape,
  options: {
    readonly programId: string;
    readonly arrivesAtMs: number;
    readonly random: RandomSource;
  },
): PlannedProgram {
  const { random, programId, arrivesAtMs } = options;
  const isStraggler = random.takeFloat() < shape.stragglerShare;
  const turns = chooseInRange(shape.turns, random) *
    (isStraggler ? shape.stragglerTurns : 1);
  const fanOutTurns = chooseFanOutTurns(
    turns,
    chooseInRange(shape.fanOuts, random),
    random,
  );
  const calls: PlannedCall[] = [];
  for (let turn = 0; turn < turns; turn += 1) {
    const range = turn === 0 ? shape.firstTurnTokens : shape.turnTokens;
    const width = fanOutTurns.has(turn)
      ? chooseInRange(shape.fanOutWidth, random)
      : 0;
    calls.push({
      newTokens: chooseInRange(range, random),
      completionTokens: chooseInRange(shape.completionTokens, random),
      pauseMs: chooseInRange(shape.pauseMs, random),
      children: createChildren(shape, {
        random,
        prefix: `${programId}.${turn}`,
        width,
      }),
    });
  }
  return {
    programId,
    agent: shape.agent,
    partner: shape.partner,
    programClass: shape.programClass,
    arrivesAtMs,
    sharedTokens: shape.sharedTokens,
    calls,
    place: random.takeIndex(1_000_000),
  };
}

function createChildren(
  shape: AgentShape,
  options: {
    readonly random: RandomSource;
    readonly prefix: string;
    readonly width: number;
  },
): PlannedProgram[] {
  const { subAgent } = shape;
  if (subAgent === undefined) return [];
  const children: PlannedProgram[] = [];
  for (let child = 0; child < options.width; child += 1) {
    children.push(createProgram(subAgent, {
      programId: `${options.prefix}.${child}`,
      arrivesAtMs: 0,
      random: options.random,
    }));
  }
  return children;
}

function chooseFanOutTurns(
  turns: number,
  count: number,
  random: RandomSource,
): Set<number> {
  const chosen = new Set<number>();
  for (let index = 0; index < count; index += 1) {
    chosen.add(random.takeIndex(Math.max(1, turns - 1)));
  }
  return chosen;
}

function chooseInRange([low, high]: Range, random: RandomSource): number {
  return low + random.takeIndex(high - low + 1);
}
