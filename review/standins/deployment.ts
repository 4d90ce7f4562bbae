/**
 * A small deployment on loopback addresses: the project's own programs as
 * separate processes, started with the commands of the deploy file, and the
 * stand-in of the platform's store. Each machine has an address of its own.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse } from "smol-toml";
import { StoreServer } from "./store_server.ts";

/** Time until a fresh deployment has to be ready. */
const START_LIMIT_MS = 15_000;
const POLL_MS = 100;
/** Start of the group of gateways, which divide their work among them. */
const SETTLE_MS = 2_000;

/** Bounds of the settings, as on the site `halka-serve`. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_500,
  graceS: 8,
  lossSlackMs: 200,
} as const;

const ZONES = { "zone-a": "north", "zone-b": "north", "zone-c": "north" };

/** A machine and the process on it. */
export interface Machine {
  readonly name: string;
  readonly zone: string;
  readonly ip: string;
  readonly run: readonly string[];
  readonly settingsPath: string;
  readonly output: string[];
  process: ChildProcess | undefined;
  /** Resolves when the process that runs now has ended. */
  ended: Promise<void>;
}

/** The deployment. */
export class Deployment {
  readonly store = new StoreServer();
  readonly gateways: Machine[] = [];
  readonly disks: Machine[] = [];
  readonly ports = { frontend: 0, readiness: 0, control: 0, internal: 0 };
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #block = 20 + Math.floor(Math.random() * 200);
  #storePort = 0;
  #isStopped = false;

  /** The zones, each with a storage machine. */
  readonly zones = Object.keys(ZONES);

  /** Address of the `index`-th stand-in of an engine. */
  buildEngineIp(index: number): string {
    return `127.${this.#block}.100.${index + 1}`;
  }

  /** Address of the store's stand-in. */
  get storeIp(): string {
    return `127.${this.#block}.200.1`;
  }

  /**
   * Starts `gateways` gateways and a storage process in each of the three
   * zones; resolves once all are ready. Rejects after 15 s without that.
   */
  async start(gateways: number): Promise<void> {
    this.#storePort = await this.store.start(this.storeIp);
    for (const key of ["frontend", "readiness", "control"] as const) {
      this.ports[key] = await findPort(`127.${this.#block}.1.1`);
    }
    this.ports.internal = await findPort(`127.${this.#block}.2.1`);
    const commands = readCommands();
    for (let index = 0; index < gateways; index += 1) {
      this.gateways.push(this.#prepare({
        name: `edge-${index + 1}`,
        machineClass: "edge",
        zone: this.zones[index % this.zones.length] ?? "zone-a",
        ip: `127.${this.#block}.1.${index + 1}`,
        run: commands.gateway,
      }));
    }
    for (const zone of this.zones) this.addDisk(zone, true);
    for (const machine of [...this.gateways, ...this.disks]) {
      this.startProcess(machine);
    }
    const endAtMs = performance.now() + START_LIMIT_MS;
    for (const gateway of this.gateways) {
      while (!await this.isReady(gateway)) {
        if (performance.now() > endAtMs) {
          throw new Error(`${gateway.name} isn't ready: ${gateway.output}`);
        }
        await waitFor(POLL_MS);
      }
    }
    await waitFor(SETTLE_MS);
  }

  /** Adds a storage machine with an empty disk; its process isn't started. */
  addDisk(zone: string, isBootstrap: boolean): Machine {
    const number = this.disks.length + 1;
    const machine = this.#prepare({
      name: `storage-${number}`,
      machineClass: "storage",
      zone,
      ip: `127.${this.#block}.2.${number}`,
      run: readCommands().storage,
      isBootstrap,
    });
    this.disks.push(machine);
    return machine;
  }

  /** Starts the machine's process; does nothing after `stop`. */
  startProcess(machine: Machine): void {
    if (this.#isStopped) return;
    const [command = "", ...args] = machine.run;
    const child = spawn(command === "node" ? process.execPath : command, args, {
      env: {
        PATH: process.env.PATH ?? "",
        HOME: process.env.HOME ?? "",
        CAMPHORLOCK_CONFIG: machine.settingsPath,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const append = (bytes: Buffer) => {
      machine.output.push(bytes.toString());
      if (machine.output.length > 4_000) machine.output.shift();
    };
    child.stdout?.on("data", append);
    child.stderr?.on("data", append);
    machine.process = child;
    machine.ended = new Promise((resolve) =>
      child.on("close", () => {
        if (machine.process === child) machine.process = undefined;
        resolve();
      })
    );
  }

  /** Whether the gateway's readiness address answers 200 within 500 ms. */
  async isReady({ ip }: Machine): Promise<boolean> {
    try {
      const url = `http://${ip}:${this.ports.readiness}/camphorlock/readyz`;
      const signal = AbortSignal.timeout(500);
      return (await fetch(url, { signal })).status === 200;
    } catch {
      // No answer counts as not ready.
      return false;
    }
  }

  /** Ends every process that was started here, and removes the folder. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const machines = [...this.gateways, ...this.disks];
    for (const { process: child } of machines) child?.kill("SIGKILL");
    await Promise.all(machines.map(({ ended }) => ended));
    this.store.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #prepare(options: {
    readonly name: string;
    readonly machineClass: "edge" | "storage";
    readonly zone: string;
    readonly ip: string;
    readonly run: readonly string[];
    readonly isBootstrap?: boolean;
  }): Machine {
    const { name, machineClass, zone, ip, run } = options;
    const isEdge = machineClass === "edge";
    const dataDir = join(this.#folder, name);
    if (!isEdge) mkdirSync(dataDir);
    const settingsPath = join(this.#folder, `${name}.toml`);
    const seeds = [1, 2, 3].map((host) =>
      `127.${this.#block}.1.${host}:${this.ports.control}`
    );
    const { frontend, readiness, control, internal } = this.ports;
    writeFileSync(
      settingsPath,
      `nodeName = "${name}"
role = "${isEdge ? "gateway" : "storage"}"
machineClass = "${machineClass}"
serves = ${isEdge ? '["edge","control_plane"]' : '["storage"]'}
ip = "${ip}"
zone = "${zone}"
region = "north"
internalPorts = [${internal},${internal + 15}]
seeds = ${JSON.stringify(seeds)}
bootstrap = ${options.isBootstrap ?? true}
faultCounted = ${!isEdge}
${isEdge ? "" : `dataDir = "${dataDir}"`}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[zones]
${Object.entries(ZONES).map(([key, value]) => `${key} = "${value}"`).join("\n")}
[listen]
${
        isEdge
          ? `frontend = "${ip}:${frontend}"
readiness = "${ip}:${readiness}"
control = "${ip}:${control}"`
          : ""
      }
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 200
maxFds = 4100
linkMbps = 1000.0
diskMb = ${isEdge ? 0 : 260}
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = ${BOUNDS.contactMs}
ackMs = 4000
catchUpS = 4
drainMs = ${BOUNDS.drainMs}
graceS = ${BOUNDS.graceS}
lossSlackMs = ${BOUNDS.lossSlackMs}
configApplyMs = 2500
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
passMs = 200
retryAfterS = 0
deadlineS = 10
settleMs = 1000
[platform]
address = "${this.storeIp}:${this.#storePort}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`,
    );
    return {
      name,
      zone,
      ip,
      run,
      settingsPath,
      output: [],
      process: undefined,
      ended: Promise.resolve(),
    };
  }
}

/** Resolves after `durationMs`. */
export function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Reads the commands of both roles from the deploy file. */
function readCommands(): Record<"gateway" | "storage", readonly string[]> {
  const file = parse(readFileSync("deploy/system.toml", "utf8")) as unknown as {
    readonly roles: Record<string, { readonly run: string }>;
  };
  const split = (role: string) => (file.roles[role]?.run ?? "").split(" ");
  return { gateway: split("gateway"), storage: split("storage") };
}

async function findPort(host: string): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, () => resolve());
  });
  const address = server.address();
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return typeof address === "object" && address !== null ? address.port : 0;
}
