/**
 * Builds a copy of the packages with one rule taken out, and runs fault
 * schedules on it until the named check notices.
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
const MUTANTS = join(ROOT, "out", "mutants");
const SEEDS = "60";

/** How a mutant fared. */
export interface MutantResult {
  readonly isNoticed: boolean;
  readonly printed: string;
}

/** Runs one mutation. */
export async function runMutation(mutation: Mutation): Promise<MutantResult> {
  const folder = join(MUTANTS, mutation.name.replace(/[^a-z]+/g, "_"));
  buildMutant(folder, mutation);
  const printed = await runSchedules(folder, mutation);
  rmSync(folder, { recursive: true, force: true });
  const isNoticed = printed.includes(`noticed: ${mutation.check}`);
  return { isNoticed, printed };
}

/** The copy's own packages come first; libraries are found further up. */
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
    throw new TypeError(`${edit.file} has no ${edit.find}`);
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
  let printed = "";
  child.stdout.on("data", (data) => printed += data);
  child.stderr.on("data", (data) => printed += data);
  return new Promise((resolve) => child.on("close", () => resolve(printed)));
}
