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

/** Writes the operator's configuration with one route of one service. */
export function putConfiguration(
  { store }: Deployment,
  { service, route, engine }: {
    readonly service: string;
    readonly route: object;
    readonly engine?: object;
  },
): void {
  store.put("config", "main", {
    version: 7,
    routes: [{
      name: "r-main",
      host: "shop.example",
      pathPrefix: "/main/",
      targetLatencyMs: 300,
      priority: 0,
      service,
      serverHistory: false,
      ...route,
    }],
    services: [{
      name: service,
      healthPath: "/healthz",
      maxConnections: 180,
      protocol: "h1",
      tls: false,
      ...(engine === undefined ? {} : { engine }),
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
}
