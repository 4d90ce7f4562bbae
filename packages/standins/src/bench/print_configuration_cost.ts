/**
 * Prints the wall-clock time of the steps of one configuration change at the
 * design size: 12,000 targets, 250 teams. Argument: repetitions.
 */
import { parseStatement } from "@camphorlock/operators";
import {
  applyChange,
  applyPatch,
  buildPatch,
  decodeRecord,
  EMPTY_CONFIGURATION,
  encodeRecord,
  sortConfiguration,
} from "@camphorlock/scheduler";
import type { ChangeCommand, RevisionRecord } from "@camphorlock/types";
import { performance } from "node:perf_hooks";

const TARGETS = 12_000;
const [repetitions = 200] = process.argv.slice(2).map(Number);

const value = sortConfiguration({
  ...EMPTY_CONFIGURATION,
  targets: Array.from({ length: TARGETS }, (_, index) => ({
    targetId: `engine-${index}`,
    kind: "engine" as const,
    serves: [`model-${index % 16}`],
    region: `region-${index % 7}`,
    failureDomain: `region-${index % 7}-${index % 4}`,
    address: `10.0.${index >> 8}.${index & 255}:8000`,
    checksFencing: true,
    leaving: false,
  })),
  teams: Array.from({ length: 250 }, (_, index) => ({
    team: `team-${index}`,
    partner: "zincir" as const,
    sharedWork: false,
  })),
});

const drain: ChangeCommand = {
  kind: "drain_target",
  targetId: "engine-77",
  draining: true,
};
const budget: ChangeCommand = {
  kind: "set_budget",
  budget: "team",
  name: "team-9",
  limitMicros: 5,
};

function apply(change: ChangeCommand): typeof value {
  return applyChange(value, change, { revision: 2 })._unsafeUnwrap();
}

function buildRecord(change: ChangeCommand): RevisionRecord {
  return {
    revision: 2,
    changeId: "cost",
    by: { partner: "zincir", operator: "ayse" },
    command: "drain target engine-77",
    atMs: 0,
    patch: buildPatch(value, apply(change)),
  };
}

function printTime(name: string, work: () => void): void {
  work();
  const startedAtMs = performance.now();
  for (let index = 0; index < repetitions; index += 1) work();
  const eachMs = (performance.now() - startedAtMs) / repetitions;
  console.log(`${name}: ${eachMs.toFixed(3)} ms`);
}

const record = buildRecord(drain);
const patch = record.patch ?? {};
const checkpoint = { ...record, full: value };
const bytes = encodeRecord(checkpoint);
const statement = "split costs of shared work zincir 55% okonkwo 45%";
printTime("parse a statement", () => parseStatement(statement));
printTime("apply a drain and build its patch", () => buildRecord(drain));
printTime("apply a budget and build its patch", () => buildRecord(budget));
printTime("apply a received drain", () => applyPatch(value, patch));
printTime("encode a drain", () => encodeRecord(record));
printTime("encode a checkpoint", () => encodeRecord(checkpoint));
printTime("decode a checkpoint", () => decodeRecord(bytes));
console.log(`drain: ${encodeRecord(record).length} bytes`);
console.log(`checkpoint: ${bytes.length} bytes`);
