/**
 * Measures a quota check at the home of the tenants, for few and many tenants,
 * among 430 gateways, and prints the results as JSON:
 *
 *     node --expose-gc --import tsx packages/gateway/src/quotas/print_quota_bench.ts 10 10000
 */
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { GatewayLog } from "../log.ts";
import { PROTOCOL_VERSION } from "../peers/protocol_version.ts";
import {
  buildQuotaComponents,
  type QuotaComponents,
} from "./quota_components.ts";

const GATEWAYS = 430;
const CHECKS = 400_000;
const ROUNDS = 5;
const QUOTA = { ratePerS: 100, burst: 100 };
const BOUNDS = { windowMs: 5_000, overrun: 0.1, slack: 20 };
const MICROS_PER_MS = 1_000;
const BYTES_PER_KB = 1_024;

function buildPeer(index: number): PeerInfo {
  return {
    vmId: `vm-${index}`,
    host: "127.0.0.1",
    port: 1,
    region: "north",
    bootId: "1",
    isLeaving: false,
    protocol: PROTOCOL_VERSION,
  };
}

function buildComponents(directory: PeerDirectory): QuotaComponents {
  return buildQuotaComponents({
    settings: { vmId: "vm-0", quota: BOUNDS },
    directory,
    links: { call: () => Promise.resolve(undefined) },
    log: new GatewayLog({ write: (_text, done) => done() }, "vm-0"),
    metrics: { add: () => {} },
    probe: () => Promise.resolve(),
    getConfiguration: () => undefined,
  });
}

/** A tenant, and the gateway that asks this one to decide in its place. */
interface BenchTenant {
  readonly tenant: string;
  readonly gatewayId: string;
}

function listTenants(directory: PeerDirectory, count: number): BenchTenant[] {
  return Array.from({ length: count }, (_, index) => {
    const tenant = `tenant-${index}`;
    const home = directory.chooseHomeIn(undefined, `quota ${tenant}`);
    return { tenant, gatewayId: home.vmId };
  });
}

async function runChecks(
  quotas: QuotaComponents,
  tenants: readonly BenchTenant[],
): Promise<number> {
  const startedAtMs = performance.now();
  for (let check = 0; check < CHECKS; check += 1) {
    const { tenant, gatewayId } = tenants[check % tenants.length] ??
      { tenant: "", gatewayId: "" };
    await quotas.answer({
      kind: "take_credits",
      tenant,
      quota: QUOTA,
      configurationVersion: 1,
      credits: 1,
      isForwarded: true,
    }, gatewayId);
  }
  return (performance.now() - startedAtMs) * MICROS_PER_MS / CHECKS;
}

function measureHeapKb(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_KB;
}

for (const count of process.argv.slice(2).map(Number)) {
  const directory = new PeerDirectory(buildPeer(0));
  for (let index = 1; index < GATEWAYS; index += 1) {
    directory.add(buildPeer(index));
  }
  const tenants = listTenants(directory, count);
  const quotas = buildComponents(directory);
  const heapKb = measureHeapKb();
  const perCheck: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    perCheck.push(await runChecks(quotas, tenants));
  }
  console.log(JSON.stringify({
    tenants: tenants.length,
    gateways: GATEWAYS,
    microsPerCheck: perCheck.map((micros) => Number(micros.toFixed(2))),
    heapKb: Math.round(measureHeapKb() - heapKb),
  }));
  quotas.removeUnused();
}
