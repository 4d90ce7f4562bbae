/**
 * Builds the components that keep the tenants' quotas, and runs their periodic
 * work.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { RoutingConfiguration } from "../model/routing.ts";
import { HomeCalls } from "../peers/home_calls.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { CreditCall, CreditDecision } from "../peers/peer_messages.ts";
import type { GatewaySettings, QuotaBounds } from "../ports.ts";
import { SuspensionClock } from "../store/suspension_clock.ts";
import { GroupProber } from "./group_prober.ts";
import { QuotaClient } from "./quota_client.ts";
import { QuotaGroup } from "./quota_group.ts";
import { QuotaHome, type VersionedQuota } from "./quota_home.ts";
import { RequestQuotas } from "./request_quotas.ts";

/** Dependencies of the components. */
export interface QuotaComponentsDependencies {
  readonly settings: Pick<GatewaySettings, "vmId" | "quota">;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, "add">;
  /** Says hello to gateways; records whether they respond. */
  readonly probe: (peers: readonly PeerInfo[]) => Promise<void>;
  readonly getConfiguration: () =>
    | Pick<RoutingConfiguration, "version" | "tenants">
    | undefined;
  /** Tests pass another one. */
  readonly clock?: Pick<SuspensionClock, "readMs">;
  readonly takeRandom?: () => number;
}

/** The components of one gateway. */
export interface QuotaComponents {
  readonly requests: RequestQuotas;
  /** Answers another gateway's call; undefined if this one may not decide. */
  readonly answer: (
    call: CreditCall,
    gatewayId: string,
  ) => Promise<CreditDecision | undefined>;
  /** Probes other gateways and records which are in contact. */
  readonly runDue: () => void;
  readonly removeUnused: () => void;
}

/** Builds the components; without bounds in the settings, they do nothing. */
export function buildQuotaComponents(
  dependencies: QuotaComponentsDependencies,
): QuotaComponents {
  const { settings, metrics } = dependencies;
  if (settings.quota !== undefined) {
    return buildWithBounds(dependencies, settings.quota);
  }
  return {
    requests: new RequestQuotas({
      metrics,
      client: undefined,
      findHomeId: () => settings.vmId,
    }),
    answer: () => Promise.resolve(undefined),
    runDue: () => {},
    removeUnused: () => {},
  };
}

function buildWithBounds(
  dependencies: QuotaComponentsDependencies,
  bounds: QuotaBounds,
): QuotaComponents {
  const { settings: { vmId }, directory, links, log, metrics } = dependencies;
  const { clock = new SuspensionClock() } = dependencies;
  const quotas = new ConfiguredQuotas(dependencies.getConfiguration);
  const group = new QuotaGroup(
    { vmId, directory, log, bounds },
    clock.readMs(),
  );
  const home = new QuotaHome({
    bounds,
    onTakeover: (tenant, { share, settlesInMs }) => {
      metrics.add("quota_takeovers");
      log.write(EVENTS.QuotaHomeChanged, {
        tenant,
        share: Number(share.toFixed(3)),
        settles_in_ms: Math.round(settlesInMs),
      });
    },
  });
  const calls = new HomeCalls<CreditCall, CreditDecision>({
    vmId,
    links,
    // After a home that doesn't respond, the next by rank is asked.
    attempts: 2,
    chooseHome: ({ tenant }) => group.chooseHome(tenant),
    chooseDeputy: ({ tenant }) => group.chooseDeputy(tenant, clock.readMs()),
    // After a start of all gateways neither is sure; both may grant a little.
    isFinal: ({ kind }) => kind !== "unsettled",
    decide: (call) => {
      const nowMs = clock.readMs();
      const decision = home.take(call, {
        nowMs,
        gateways: group.members,
        standing: group.computeStanding(call.tenant, nowMs),
        own: quotas.find(call.tenant),
      });
      if (decision.kind === "granted") {
        metrics.add("quota_credits_granted", decision.credits);
      }
      return decision;
    },
    findDecision: ({ credits }) => credits,
  });
  const client = new QuotaClient({
    bounds,
    clock,
    metrics,
    countGateways: () => group.members,
    callHome: (call, onSend) => calls.call(call, onSend),
  });
  const prober = new GroupProber(dependencies);
  return {
    requests: new RequestQuotas({
      metrics,
      client,
      findHomeId: (tenant) => group.chooseHome(tenant).vmId,
    }),
    answer: (call, gatewayId) => calls.answer(call, gatewayId),
    runDue: () => {
      group.update(clock.readMs());
      if (quotas.hasAny) prober.run(clock.readMs());
    },
    removeUnused: () => {
      home.removeUnused(clock.readMs());
      client.removeUnused();
    },
  };
}

/** The quotas of the configuration in force, by tenant. */
class ConfiguredQuotas {
  readonly #getConfiguration: QuotaComponentsDependencies["getConfiguration"];
  #tenants: RoutingConfiguration["tenants"];
  #byTenant = new Map<string, VersionedQuota>();
  #hasAny = false;

  constructor(
    getConfiguration: QuotaComponentsDependencies["getConfiguration"],
  ) {
    this.#getConfiguration = getConfiguration;
  }

  /** Whether any tenant has a quota. */
  get hasAny(): boolean {
    this.#update();
    return this.#hasAny;
  }

  /** Finds a listed tenant's quota, with the version that lists it. */
  find(tenant: string): VersionedQuota | undefined {
    this.#update();
    return this.#byTenant.get(tenant);
  }

  #update(): void {
    const configuration = this.#getConfiguration();
    const tenants = configuration?.tenants;
    if (tenants === this.#tenants) return;
    this.#tenants = tenants;
    const configurationVersion = configuration?.version ?? 0;
    this.#byTenant = new Map(
      tenants?.map((
        { name, quota },
      ) => [name, { quota, configurationVersion }]),
    );
    this.#hasAny = tenants?.some(({ quota }) => quota !== undefined) ?? false;
  }
}
