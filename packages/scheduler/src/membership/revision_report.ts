/**
 * Reports of which processes have the newest configuration revision in force.
 *
 * In a large fleet a node meets each other one directly only now and then. So
 * heartbeats carry samples of the processes known to have the newest revision,
 * as hashes, until the sender knows it of all.
 */
import type { NodeDigest, Revision, RevisionReport } from "@camphorlock/types";
import { computeHash } from "../hash.ts";
import type { RandomChooser } from "./random.ts";

const BYTES_PER_PROCESS = 8;
const LOW_BITS = 21;
const LOW_SIZE = 2 ** LOW_BITS;

/** Computes the 53-bit hash that stands for a process in reports. */
export function computeProcessHash(digest: NodeDigest): number {
  const { vmId, incarnation } = digest.spec;
  const high = computeHash(`${vmId}|${incarnation}`);
  const low = computeHash(`${incarnation}|${vmId}`) >>> (32 - LOW_BITS);
  return high * LOW_SIZE + low;
}

/** What the known living processes have in force. */
export interface RevisionCensus {
  readonly newest: Revision;
  readonly holders: readonly NodeDigest[];
  /** The processes of which it isn't known that they have the newest. */
  readonly lacking: readonly NodeDigest[];
}

/** The bound of a report, and the choice of a sample. */
export interface ReportSample {
  readonly random: RandomChooser;
  readonly limit: number;
}

/** Counts what the known processes have in force. */
export function countRevisions(
  digests: readonly NodeDigest[],
): RevisionCensus {
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
 * newest revision, or once only few are lacking, a question about these.
 */
export function buildReport(
  census: RevisionCensus,
  sample: ReportSample,
): RevisionReport {
  const { newest: revision, lacking } = census;
  if (lacking.length > sample.limit) return buildSample(census, sample);
  return {
    revision,
    processes: encodeProcesses([]),
    lacking: encodeProcesses(lacking),
  };
}

/** Builds the answer to the report of a heartbeat. */
export function buildAnswer(
  census: RevisionCensus,
  asked: RevisionReport & ReportSample,
): RevisionReport {
  if (asked.lacking === undefined) return buildSample(census, asked);
  const wanted = new Set(decodeProcesses(asked.lacking));
  const known = census.holders.filter((digest) =>
    wanted.has(computeProcessHash(digest))
  );
  return { revision: census.newest, processes: encodeProcesses(known) };
}

/** Decodes the hashes of processes. */
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
  census: RevisionCensus,
  sample: ReportSample,
): RevisionReport {
  const chosen = sample.random.chooseSome(census.holders, sample.limit);
  return { revision: census.newest, processes: encodeProcesses(chosen) };
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
