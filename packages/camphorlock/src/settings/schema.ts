/**
 * The schema of a node's settings file (TOML).
 *
 * Keys are in snake case; keys of durations end in their unit. Every key has a
 * default except those that identify the VM and the platform.
 */
import { z } from "zod";

const MAX_PORT = 65_535;
const MAX_SHARDS = 1_024;

const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, "expected host:port");
const port = z.number().int().min(0).max(MAX_PORT);
const durationMs = z.number().int().min(1).max(3_600_000);

const nodeSection = z.strictObject({
  vm: z.string().min(1),
  region: z.string().min(1),
  failure_domain: z.string().min(1),
});

const listenSection = z.strictObject({
  host: z.string().min(1).default("127.0.0.1"),
  caller_port: port.default(7400),
  peer_port: port.default(7401),
});

const platformSection = z.strictObject({
  base_url: z.url(),
  calls_per_second: z.number().positive().max(2_000).default(40),
  writes_per_second: z.number().positive().max(500).default(20),
});

const peersSection = z.strictObject({
  /** Addresses of other nodes. Accepted, but not used at present. */
  seeds: z.array(address).default([]),
  /** Mutual TLS between nodes. Without it, connections aren't encrypted. */
  tls: z.strictObject({
    authority_file: z.string(),
    certificate_file: z.string(),
    key_file: z.string(),
    /** The DNS name in every node's certificate. */
    server_name: z.string(),
  }).optional(),
});

const installationSection = z.strictObject({
  /** Can't change during the lifetime of the installation. */
  shard_count: z.number().int().min(1).max(MAX_SHARDS).default(64),
  /** File that becomes revision 1 if the platform stores no configuration. */
  first_configuration: z.string().optional(),
});

const logSection = z.strictObject({
  level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  format: z.enum(["json", "readable"]).default("json"),
});

const callsSection = z.strictObject({
  max_calls_of_program: z.number().int().min(1).max(100_000).default(1_000),
  place_timeout_ms: durationMs.default(20_000),
  progress_timeout_ms: durationMs.default(10_000),
  give_up_ms: durationMs.default(30_000),
});

/** The complete settings file. */
export const settingsSchema = z.strictObject({
  node: nodeSection,
  listen: listenSection.prefault({}),
  platform: platformSection,
  peers: peersSection.prefault({}),
  installation: installationSection.prefault({}),
  log: logSection.prefault({}),
  calls: callsSection.prefault({}),
});

/** Checked settings of a node. */
export type NodeSettings = z.infer<typeof settingsSchema>;
