/**
 * Copies the packages, applies one mutation, and runs fault schedules on the
 * copy until the named check detects the fault.
 */
import { spawn } from "node:child_process";
import {
  cpSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Edit, Mutation } from "./mutations.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const MUTANTS_FOLDER = join(ROOT, "out", "mutants");
const SEEDS = "60";

/** Whether a mutation was detected, and the output of its run. */
export interface MutantResult {
  readonly isDetected: boolean;
  readonly output: string;
}

/** Runs one mutation. */
export async function runMutation(mutation: Mutation): Promise<MutantResult> {
  const folder = join(MUTANTS_FOLDER, mutation.name.replace(/[^a-z]+/g, "_"));
  buildMutant(folder, mutation);
  const output = await runSchedules(folder, mutation);
  rmSync(folder, { recursive: true, force: true });
  const isDetected = output.includes(`detected: ${mutation.check}`);
  return { isDetected, output };
}

/**
 * Copies the packages and applies the edits. The copy links its own packages;
 * libraries resolve from the `node_modules` of the parent folders.
 */
function buildMutant(folder: string, mutation: Mutation): void {
  rmSync(folder, { recursive: true, force: true });
  const packages = join(folder, "packages");
  cpSync(join(ROOT, "packages"), packages, { recursive: true });
  const scope = join(folder, "node_modules", "@camphorlock");
  mkdirSync(scope, { recursive: true });
  for (const name of readdirSync(packages)) {
    symlinkSync(join(packages, name), join(scope, name));
  }
  for (const edit of mutation.edits) applyEdit(packages, edit);
}

function applyEdit(packages: string, edit: Edit): void {
  const file = join(packages, "scheduler", "src", edit.file);
  const text = readFileSync(file, "utf8");
  if (!text.includes(edit.find)) {
    throw new TypeError(`${edit.file} doesn't contain ${edit.find}`);
  }
  writeFileSync(file, text.replaceAll(edit.find, edit.replaceBy));
}

function runSchedules(folder: string, mutation: Mutation): Promise<string> {
  const main = join(folder, "packages/standins/src/proof/main.ts");
  const faults = mutation.faults === undefined
    ? []
    : ["--only", mutation.faults];
  const options = ["--seeds", SEEDS, "--until", mutation.check, ...faults];
  const child = spawn(
    process.execPath,
    ["--import", "tsx", main, ...options],
    { cwd: folder },
  );
  let output = "";
  child.stdout.on("data", (data) => output += data);
  child.stderr.on("data", (data) => output += data);
  return new Promise((resolve) => child.on("close", () => resolve(output)));
}
