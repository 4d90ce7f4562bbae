/**
 * Maps settings to the node's description, log writer and security options.
 */
import type { PeerSecurity } from "@camphorlock/nodes";
import type { NodeSpec } from "@camphorlock/types";
import { LogWriter } from "../logs/log_writer.ts";
import type { NodeSettings } from "../settings/schema.ts";

/** Builds the description of a node that other nodes receive. */
export function buildSpec(settings: NodeSettings): NodeSpec {
  const { node, listen } = settings;
  return {
    vmId: node.vm,
    incarnation: Date.now(),
    region: node.region,
    failureDomain: node.failure_domain,
    peerAddress: `${listen.host}:${listen.peer_port}`,
    callerAddress: `${listen.host}:${listen.caller_port}`,
    hasDisk: false,
  };
}

/** Creates the log writer with the level and format of the settings. */
export function createLogWriter(settings: NodeSettings): LogWriter {
  const { level, format } = settings.log;
  return new LogWriter({ vmId: settings.node.vm, level, format });
}

/** Builds the security options of connections between nodes. */
export function buildSecurity(settings: NodeSettings): PeerSecurity {
  const { peers } = settings;
  if (peers.tls === undefined) return { kind: "plain" };
  const { authority_file, certificate_file, key_file, server_name } = peers.tls;
  return {
    kind: "tls",
    authority: { kind: "path", path: authority_file },
    certificate: { kind: "path", path: certificate_file },
    key: { kind: "path", path: key_file },
    serverName: server_name,
  };
}
