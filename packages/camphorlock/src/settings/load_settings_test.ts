import { expect } from "chai";
import { parseSettings } from "./load_settings.ts";

const GOOD = `
[node]
vm = "vm-1"
region = "ege"
failure_domain = "ege-1"
[platform]
base_url = "http://127.0.0.1:9000"
`;

describe("settings", () => {
  it("fill in defaults", () => {
    const settings = parseSettings(GOOD, "node.toml")._unsafeUnwrap();
    expect(settings.listen.caller_port).to.equal(7400);
    expect(settings.installation.shard_count).to.equal(64);
  });

  it("report all errors together, with keys, values and a suggestion", () => {
    const text = GOOD + `
[listen]
caller_prot = 1
peer_port = 70000
[log]
level = "loud"
`;
    const { detail, code } = parseSettings(text, "node.toml")
      ._unsafeUnwrapErr();
    expect(code).to.equal(8001);
    expect(detail).to.include("node.toml: listen.caller_prot: unknown key");
    expect(detail).to.include("did you mean caller_port?");
    expect(detail).to.include("listen.peer_port: found 70000");
    expect(detail).to.include('log.level: found "loud"');
  });

  it("report a TOML syntax error with its position", () => {
    const { detail } = parseSettings("[node", "node.toml")._unsafeUnwrapErr();
    expect(detail).to.include("1:");
    expect(detail).to.include("node.toml");
  });
});
