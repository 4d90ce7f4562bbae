import { expect } from "chai";
import {
  DEPLOYMENT_NAMES,
  loadDeployment,
  loadDeploymentFile,
  parseDeployment,
} from "./load_deployment.ts";
import { serveDeployment } from "./serve_deployment.ts";

const SIZES = {
  zincir: { engines: 6, services: 3, nodes: 8, delays: [0.5, 8, 1] },
  okonkwo: { engines: 8, services: 3, nodes: 8, delays: [1, 8, 3] },
};

describe("deployments", () => {
  for (const name of DEPLOYMENT_NAMES) {
    it(`${name} has the expected sizes`, async () => {
      const loaded = await loadDeployment(name);
      const deployment = loaded._unsafeUnwrap();
      const count = (kind: string): number =>
        deployment.targets.filter((target) => target.kind === kind).length;
      expect({
        engines: count("engine"),
        services: count("service"),
        nodes: deployment.nodes.length,
        delays: Object.values(deployment.delays),
      }).to.deep.equal(SIZES[name]);
      expect(deployment.regions).to.have.length(3);
    });
  }

  it("reports every error with its file and key path", () => {
    const text = `
[deployment]
name = "x"
partner = "nobody"
[delays]
between_failure_domains_ms = -1
between_regions_ms = 8
to_clients_ms = 1
speed = 3
[[regions]]
name = "marmara"
failure_domains = ["marmara-1"]
[[nodes]]
vm = "a"
region = "marmara"
failure_domain = "marmara-1"
`;
    const { detail } = parseDeployment(text, "x.toml")._unsafeUnwrapErr();
    expect(detail).to.include("x.toml: deployment.partner:");
    expect(detail).to.include("x.toml: delays.between_failure_domains_ms:");
    expect(detail).to.include("speed");
    expect(detail).to.include("x.toml: targets:");
  });

  it("rejects a failure domain that its region doesn't list", () => {
    const parsed = parseDeployment(
      `
[deployment]
name = "x"
partner = "zincir"
[delays]
between_failure_domains_ms = 1
between_regions_ms = 8
to_clients_ms = 1
[[regions]]
name = "marmara"
failure_domains = ["marmara-1"]
[[nodes]]
vm = "a"
region = "marmara"
failure_domain = "ege-1"
[[targets]]
target = "t"
kind = "engine"
serves = ["m"]
region = "marmara"
failure_domain = "marmara-1"
checks_fencing = true
`,
      "x.toml",
    );
    expect(parsed._unsafeUnwrapErr().detail).to.equal(
      "x.toml: nodes.0.failure_domain: no failure domain ege-1 of marmara",
    );
  });

  it("reports an unreadable file", async () => {
    const loaded = await loadDeploymentFile("/nowhere/x.toml");
    expect(loaded._unsafeUnwrapErr().name).to.equal("SettingsUnreadable");
  });

  it("starts a stand-in for each target", async () => {
    const deployment = (await loadDeployment("zincir"))._unsafeUnwrap();
    const running = await serveDeployment(deployment);
    await running.stop();
    expect(running.targets).to.have.length(9);
    const addresses = new Set(running.targets.map(({ address }) => address));
    expect(addresses.size).to.equal(9);
  });
});
