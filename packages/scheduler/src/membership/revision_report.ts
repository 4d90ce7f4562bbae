/**
 * Reports which processes have the newest configuration revision in force.
 *
 * In a large fleet two given nodes seldom exchange heartbeats directly. So
 * heartbeats carry a sample of the processes known to have the newest
 * revision, as hashes, until the sender knows that all processes have it.
 */
import type { NodeDigest, Revision, RevisionReport } from "@camphorlock/types";
import { computeHash } from "../hash.ts";
import type { RandomChooser } from "./random.ts";

const BYTES_PER_PROCESS = 8;
const LOW_BITS = 21;
const LOW_SIZE = 2 ** LOW_BITS;

/** Computes the 53-bit hash that identifies a process in reports. */
export function computeProcessHash(digest: NodeDigest): number {
  const { vmId, incarnation } = digest.spec;
  const high = computeHash(`${vmId}|${incarnation}`);
  const low = computeHash(`${incarnation}|${vmId}`) >>> (32 - LOW_BITS);
  return high * LOW_SIZE + low;
}

/** The known processes that aren't dead, by configuration revision. */
export interface RevisionSummary {
  readonly newest: Revision;
  readonly holders: readonly NodeDigest[];
  /** The processes not known to have the newest revision. */
  readonly lacking: readonly NodeDigest[];
}

/** The random source and the maximum size of a sample. */
export interface SampleOptions {
  readonly random: RandomChooser;
  readonly limit: number;
}

/** Computes which known processes have the newest revision in force. */
export function computeRevisionSummary(
  digests: readonly NodeDigest[],
): RevisionSummary {
  const living = digests.filter((digest) => digest.state !== "dead");
  const newest = living.reduce(
    (highest, digest) => Math.max(highest, digest.revision),
    0,
  );
  const holders = living.filter((digest) => digest.revision >= newest);
  const lacking = living.filter((digest) => digest.revision < newest);
  return { newest, holders, lacking };
}

/**
 * Builds the report of a heartbeat: a random sample of the processes with the
 * newest revision. Once at most `limit` processes lack the revision, the
 * report lists these instead, as a query.
 */
export function buildReport(
  summary: RevisionSummary,
  options: SampleOptions,
): RevisionReport {
  const { newest: revision, lacking } = summary;
  if (lacking.length > options.limit) return buildSample(summary, options);
  return {
    revision,
    processes: encodeProcesses([]),
    lacking: encodeProcesses(lacking),
  };
}

/** Builds the report that responds to the report of a heartbeat. */
export function buildReportResponse(
  summary: RevisionSummary,
  request: RevisionReport & SampleOptions,
): RevisionReport {
  if (request.lacking === undefined) return buildSample(summary, request);
  const requested = new Set(decodeProcesses(request.lacking));
  const holders = summary.holders.filter((digest) =>
    requested.has(computeProcessHash(digest))
  );
  return { revision: summary.newest, processes: encodeProcesses(holders) };
}

/** Decodes the process hashes of a report. */
export function decodeProcesses(encoded: Uint8Array): number[] {
  const { buffer, byteOffset, byteLength } = encoded;
  const bytes = new DataView(buffer, byteOffset, byteLength);
  const hashes: number[] = [];
  const last = byteLength - BYTES_PER_PROCESS;
  for (let offset = 0; offset <= last; offset += BYTES_PER_PROCESS) {
    const high = bytes.getUint32(offset);
    hashes.push(high * LOW_SIZE + bytes.getUint32(offset + 4));
  }
  return hashes;
}

function buildSample(
  summary: RevisionSummary,
  options: SampleOptions,
): RevisionReport {
  const chosen = options.random.chooseSome(summary.holders, options.limit);
  return { revision: summary.newest, processes: encodeProcesses(chosen) };
}

function encodeProcesses(digests: readonly NodeDigest[]): Uint8Array {
  const encoded = new Uint8Array(digests.length * BYTES_PER_PROCESS);
  const bytes = new DataView(encoded.buffer);
  digests.forEach((digest, index) => {
    const hash = computeProcessHash(digest);
    const offset = index * BYTES_PER_PROCESS;
    bytes.setUint32(offset, Math.floor(hash / LOW_SIZE));
    bytes.setUint32(offset + 4, hash % LOW_SIZE);
  });
  return encoded;
}
