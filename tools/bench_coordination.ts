/**
 * Runs a bench of membership, shard assignment or node connections and prints
 * its results as JSON:
 *
 *     node --import tsx tools/bench_coordination.ts membership 9 430
 *     node --import tsx tools/bench_coordination.ts assignment 9 430
 *     node --import tsx tools/bench_coordination.ts nodes
 */
import { join } from "node:path";
import { runNodesBench } from "../packages/nodes/src/bench.ts";
import type { PeerSecurity, PemSource } from "../packages/nodes/src/tls.ts";
import { runAssignmentBench } from "../packages/scheduler/src/assignment/bench.ts";
import { runMembershipBench } from "../packages/scheduler/src/membership/bench.ts";

const SEED = 7;
const MICROS_PER_MS = 1_000;
const TEXT_LENGTH = 100;
const MAX_FAILURE_DOMAINS = 27;
const CERTIFICATES = join(
  import.meta.dirname,
  "../packages/nodes/src/testdata",
);

function readCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROS_PER_MS;
}

function buildFleet(nodes: number): {
  nodes: number;
  failureDomains: number;
  seed: number;
  readCpuMs: () => number;
} {
  const failureDomains = Math.min(MAX_FAILURE_DOMAINS, Math.max(3, nodes / 9));
  return {
    nodes,
    failureDomains: Math.floor(failureDomains),
    seed: SEED,
    readCpuMs,
  };
}

function buildTls(): PeerSecurity {
  const getPem = (file: string): PemSource => ({
    kind: "path",
    path: join(CERTIFICATES, file),
  });
  return {
    kind: "tls",
    authority: getPem("fleet-ca.pem"),
    certificate: getPem("fleet.pem"),
    key: getPem("fleet.key"),
    serverName: "camphorlock-node",
  };
}

async function runNodes(): Promise<void> {
  const loads = [
    { burst: 1, messages: 10_000 },
    { burst: 10, messages: 50_000 },
    { burst: 100, messages: 200_000 },
  ];
  for (const security of [{ kind: "plain" } as const, buildTls()]) {
    for (const load of loads) {
      const options = { ...load, security, textLength: TEXT_LENGTH, readCpuMs };
      printResult({
        security: security.kind,
        ...await runNodesBench(options),
      });
    }
  }
}

function printResult(result: object): void {
  console.log(JSON.stringify(result));
}

const [name, ...sizes] = process.argv.slice(2);
for (const nodes of sizes.map(Number)) {
  if (name === "membership") printResult(runMembershipBench(buildFleet(nodes)));
  if (name === "assignment") printResult(runAssignmentBench(buildFleet(nodes)));
}
if (name === "nodes") await runNodes();
