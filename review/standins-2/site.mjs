/**
 * A small deployment on loopback addresses: the project's own programs as
 * separate processes with the commands of the deploy file, and a stand-in for
 * the platform's store. Times are in milliseconds unless a name says otherwise.
 */
import { fork, spawn } from "node:child_process";
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

/** The repository's root. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
/** Bounds of the processes' settings, as on a first deployment. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_500,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2_500,
  recoveryS: 12,
};
const READY_LIMIT_MS = 20_000;
/** A case that takes longer couldn't run; it has 120 s. */
const CASE_LIMIT_MS = 110_000;
const STATUS_COULD_NOT_RUN = 2;

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Resolves after so many milliseconds. */
export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;
const givenPorts = new Set();

/** Finds a free port of a loopback address, another one at each call. */
export async function findPort(host) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (givenPorts.has(port)) continue;
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, host, () => resolve(true));
    });
    if (!isFree) continue;
    givenPorts.add(port);
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

/** Reads a role's command from the deploy file, split at spaces. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  const run = /run = "([^"]+)"/.exec(section)?.[1];
  if (run === undefined) throw new Error(`no command of the role ${role}`);
  return run.split(" ");
}

/** One process of the project, started with the command of its role. */
export class ProjectProcess {
  #site;
  #child;
  output = "";
  /** Status or signal with which the process ended; undefined while it runs. */
  exit;

  constructor(site, { role, name, ip, settings, ports }) {
    this.#site = site;
    Object.assign(this, { role, name, ip, settings, ...ports });
    this.path = join(site.folder, `${name}.toml`);
  }

  get pid() {
    return this.#child?.pid;
  }

  /** Starts the process; the settings are written anew. */
  start() {
    writeFileSync(this.path, this.settings);
    const [program, ...args] = readCommand(this.role);
    this.exit = undefined;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CAMPHORLOCK_CONFIG: this.path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#site.guard(child.pid);
    const append = (bytes) =>
      this.output = (this.output + bytes).slice(-2_000_000);
    child.stdout.on("data", append);
    child.stderr.on("data", append);
    this.ended = new Promise((resolve) =>
      child.on("exit", (code, signal) => {
        this.exit = String(code ?? signal);
        this.#site.record("process ended", {
          name: this.name,
          exit: this.exit,
        });
        resolve();
      })
    );
    this.#site.record("process started", { name: this.name, pid: child.pid });
  }

  /** Sends a signal to the process, by its id. */
  signal(name) {
    if (this.exit !== undefined) return;
    this.#site.record("signal", { name: this.name, signal: name });
    this.#child?.kill(name);
  }

  /** Whether the readiness address answers 200. */
  async isReady() {
    try {
      const response = await fetch(
        `http://${this.ip}:${this.readinessPort}/camphorlock/readyz`,
        { signal: AbortSignal.timeout(500) },
      );
      return response.status === 200;
    } catch {
      // A process that doesn't answer isn't ready.
      return false;
    }
  }

  /** Waits until the process is ready; rejects after 20 s. */
  async waitUntilReady() {
    const endMs = performance.now() + READY_LIMIT_MS;
    while (!await this.isReady()) {
      if (performance.now() > endMs) {
        throw new Error(`${this.name} isn't ready: ${this.output.slice(-800)}`);
      }
      await wait(50);
    }
  }
}

/** The deployment. */
export class Site {
  store = new Store();
  folder = mkdtempSync(join(tmpdir(), "review-"));
  processes = [];
  #recordPath;
  #startedMs = performance.now();
  #engines = [];
  #seeds = [];
  /** Ends what was started if this process is killed; see `guard.mjs`. */
  #guard = fork(join(ROOT, "review/standins-2/guard.mjs"), [this.folder], {
    detached: true,
    stdio: ["ignore", "ignore", "ignore", "ipc"],
  });

  /** `folder` is the case's folder, which gets `record.txt`. */
  constructor(folder) {
    this.#recordPath = join(folder, "record.txt");
    writeFileSync(this.#recordPath, "");
  }

  /** Milliseconds since the case began. */
  get nowMs() {
    return Math.round(performance.now() - this.#startedMs);
  }

  /** Adds a line to the record. */
  record(what, fields = {}) {
    const line = `${String(this.nowMs).padStart(6)} ms  ${what}  ` +
      JSON.stringify(fields);
    appendFileSync(this.#recordPath, `${line}\n`);
  }

  /** Has a process ended with this one, however this one ends. */
  guard(pid) {
    this.#guard.send({ pid });
  }

  async start() {
    this.storePort = await this.store.start();
  }

  /** Registers an engine that listens already, as it would itself. */
  addEngine(engine) {
    this.#engines.push(engine);
    this.store.put("servers", engine.id, engine.entry);
  }

  /** Writes a configuration, as the operator does. */
  configure({ version = 1, routes, services, tenants, limits = {} }) {
    this.store.put("config", "main", {
      version,
      routes,
      services,
      ...(tenants === undefined ? {} : { tenants }),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
        ...limits,
      },
    });
  }

  /** Adds a gateway of an `edge` machine; it isn't started. */
  async addGateway(
    name,
    ip,
    { bounds = {}, memoryMb = 200, tolerate = 1 } = {},
  ) {
    const ports = {
      callerPort: await findPort(ip),
      readinessPort: await findPort(ip),
      controlPort: await findPort(ip),
    };
    if (this.#seeds.length < 3) this.#seeds.push(`${ip}:${ports.controlPort}`);
    const settings = this.#buildSettings({
      name,
      ip,
      role: "gateway",
      machineClass: "edge",
      bounds,
      tolerate,
      listen: `frontend = "${ip}:${ports.callerPort}"
readiness = "${ip}:${ports.readinessPort}"
control = "${ip}:${ports.controlPort}"`,
      limits: `memoryMb = ${memoryMb}
maxFds = 4100
diskMb = 0`,
    });
    const added = new ProjectProcess(this, {
      role: "gateway",
      name,
      ip,
      settings,
      ports,
    });
    this.processes.push(added);
    return added;
  }

  /** Adds the process of a `storage` machine; it isn't started. */
  async addStorage(name, ip, { bounds = {}, tolerate = 1 } = {}) {
    const port = await findPort(ip);
    const dataDir = join(this.folder, `${name}-disk`);
    mkdirSync(dataDir);
    const settings = this.#buildSettings({
      name,
      ip,
      role: "storage",
      machineClass: "storage",
      bounds,
      tolerate,
      top: `internalPorts = [${port},${port}]
dataDir = "${dataDir}"
`,
      listen: "",
      limits: `memoryMb = 210
maxFds = 8200
diskMb = 260`,
    });
    const added = new ProjectProcess(this, {
      role: "storage",
      name,
      ip,
      settings,
      ports: { internalPort: port },
    });
    this.processes.push(added);
    return added;
  }

  #buildSettings(
    {
      name,
      ip,
      role,
      machineClass,
      bounds,
      tolerate,
      top = "",
      listen,
      limits,
    },
  ) {
    const all = Object.entries({ ...BOUNDS, ...bounds })
      .map(([key, value]) => `${key} = ${value}`).join("\n");
    return `nodeName = "${name}"
role = "${role}"
machineClass = "${machineClass}"
serves = ["${machineClass}"]
ip = "${ip}"
zone = "zone-a"
region = "region-a"
seeds = ${JSON.stringify(this.#seeds)}
bootstrap = true
${top}[zones]
zone-a = "region-a"
[listen]
${listen}
[limits]
cpuShare = 0.675
cores = 1
linkMbps = 1000.0
${limits}
[faultTolerance]
machines = ${tolerate}
zones = 0
regions = 0
[bounds]
${all}
[platform]
address = "127.0.0.1:${this.storePort}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`;
  }

  /** Ends every process and removes the temporary folder. */
  async stop() {
    for (const each of this.processes) {
      if (each.pid === undefined || each.exit !== undefined) continue;
      each.signal("SIGCONT");
      each.signal("SIGKILL");
      await each.ended;
    }
    for (const engine of this.#engines) engine.stop();
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
    this.#guard.kill("SIGKILL");
  }
}

/**
 * Runs a case: exits with 1 if `play` resolves to a list of what broke the rule,
 * 0 if the list is empty, and 2 if it couldn't run.
 */
export async function runCase(folder, play) {
  // The guard ends what was started, as soon as this process has ended.
  const giveUp = () => process.exit(STATUS_COULD_NOT_RUN);
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.on(signal, giveUp);
  }
  process.on("uncaughtException", (error) => {
    console.error(error);
    giveUp();
  });
  setTimeout(giveUp, CASE_LIMIT_MS).unref();
  const site = new Site(folder);
  let status = STATUS_COULD_NOT_RUN;
  try {
    await site.start();
    const broken = await play(site);
    for (const each of broken) site.record("broken", { what: each });
    site.record("result", { broken: broken.length, trouble: HAS_TROUBLE });
    console.log(broken.length === 0 ? "the rule held" : broken.join("\n"));
    status = broken.length === 0 ? 0 : 1;
  } catch (error) {
    site.record("could not run", { error: String(error?.stack ?? error) });
    console.error(error);
  }
  await site.stop();
  process.exit(status);
}
