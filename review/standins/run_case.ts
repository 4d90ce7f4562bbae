/**
 * Runs one case: starts the deployment, plays the case, writes the record, and
 * ends all processes. The process exits with 1 if a rule was broken, with 0 if
 * it held, and with 2 if the case couldn't run.
 */
import { Deployment } from "./deployment.ts";
import { Recorder } from "./recorder.ts";

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
/** A run that takes longer is ended as one that couldn't run. */
const LIMIT_MS = 115_000;

/** What a case found. */
export interface CaseResult {
  /** One line for each breach of the rule; none if it held. */
  readonly breaches: readonly string[];
  /** Why the case proves nothing; undefined if it was played as planned. */
  readonly notPlayed?: string | undefined;
}

/** What a case plays with. */
export interface CaseTools {
  readonly deployment: Deployment;
  readonly recorder: Recorder;
  /** False if `TROUBLE=0`: everything but the disruption is played. */
  readonly hasTrouble: boolean;
}

/** Runs a case and ends the process. */
export async function runCase(
  folder: string,
  play: (tools: CaseTools) => Promise<CaseResult>,
): Promise<never> {
  const hasTrouble = process.env.TROUBLE !== "0";
  const recorder = new Recorder(`${folder}/record.txt`);
  const deployment = new Deployment();
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.on(signal, () => {
      void deployment.stop().finally(() => process.exit(EXIT_NOT_RUN));
    });
  }
  let exitCode = EXIT_NOT_RUN;
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<CaseResult>((resolve) => {
    timer = setTimeout(
      () => resolve({ breaches: [], notPlayed: "it took too long" }),
      LIMIT_MS,
    );
  });
  try {
    const result = await Promise.race([
      play({ deployment, recorder, hasTrouble }),
      limit,
    ]);
    for (const breach of result.breaches) {
      recorder.write("breach", { breach });
      console.log(breach);
    }
    if (result.breaches.length > 0) exitCode = EXIT_BROKEN;
    else if (result.notPlayed === undefined) exitCode = EXIT_HELD;
    if (result.notPlayed !== undefined) console.log(result.notPlayed);
  } catch (error) {
    console.error(error);
  }
  clearTimeout(timer);
  await deployment.stop();
  recorder.write("ended", { has_trouble: hasTrouble, exit_code: exitCode });
  recorder.save();
  process.exit(exitCode);
}
