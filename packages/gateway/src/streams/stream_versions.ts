/**
 * Knows which software version began a stream, so that it goes on at no other.
 *
 * The gateway that forwards a stream's first event saves its version at a few
 * keepers, in the same step and without waiting: one that can't be found isn't
 * taken up, so a lost save costs a take-up but never joins two versions. Facts
 * are found by the request's fingerprint, which a take-up shares with the
 * attempt that began the stream; an attempt at something else isn't found.
 */
import type { FactClient, FactKeeper, FoundFact } from "@camphorlock/facts";
import { BoundedMap } from "../model/bounded_map.ts";
import type { Fingerprint } from "../model/request_fingerprint.ts";
import type { RequestFields } from "../model/request_fields.ts";
import type { Route } from "../model/routing.ts";
import type { StreamVersion } from "../model/stream_version.ts";

/** Streams of this gateway that it remembers itself. */
const MAX_OWN_STREAMS = 4_096;
/** Callers take a stream up within this many times the route's limit. */
const TAKE_UP_TIMES = 4;
const MAX_LIFETIME_MS = 600_000;

/** The attempt that began a stream. */
export interface BegunAttempt {
  readonly fingerprint: Fingerprint;
  readonly fields: Pick<RequestFields, "requestId">;
  readonly route: Pick<Route, "timeoutMs">;
}

/** The versions that began streams. */
export class StreamVersions {
  readonly #facts: Pick<FactClient<FactKeeper>, "save" | "find">;
  readonly #own = new BoundedMap<string, StreamVersion>(MAX_OWN_STREAMS);

  constructor(facts: Pick<FactClient<FactKeeper>, "save" | "find">) {
    this.#facts = facts;
  }

  /** Records the version that began an attempt's stream. Never rejects. */
  record(
    { fingerprint: { request }, fields: { requestId }, route }: BegunAttempt,
    begun: StreamVersion,
  ): void {
    this.#own.set(buildOwnKey(request, requestId), begun);
    void this.#facts.save({
      key: buildKey(request),
      id: requestId,
      value: JSON.stringify([begun.service, begun.version]),
      lifetimeMs: Math.min(route.timeoutMs * TAKE_UP_TIMES, MAX_LIFETIME_MS),
    });
  }

  /**
   * Finds the version that began a stream. Without the id of the attempt that
   * began it, all attempts that may have must agree. Undefined if it's unknown.
   */
  async find(
    { request }: Fingerprint,
    requestId: string | undefined,
  ): Promise<StreamVersion | undefined> {
    const key = buildKey(request);
    if (requestId === undefined) {
      return findCommon(await this.#facts.find(key));
    }
    const own = this.#own.get(buildOwnKey(request, requestId));
    if (own !== undefined) return own;
    const isBeginning = ({ id }: FoundFact) => id === requestId;
    const facts = await this.#facts.find(key, (each) => each.some(isBeginning));
    return parseVersion(facts.find(isBeginning)?.value);
  }
}

function buildKey(fingerprint: string): string {
  return `stream:${fingerprint}`;
}

function buildOwnKey(fingerprint: string, requestId: string): string {
  return `${fingerprint} ${requestId}`;
}

function findCommon(facts: readonly FoundFact[]): StreamVersion | undefined {
  const values = new Set(facts.map(({ value }) => value));
  const [value] = values;
  return values.size === 1 ? parseVersion(value) : undefined;
}

function parseVersion(value: string | undefined): StreamVersion | undefined {
  if (value === undefined) return undefined;
  const [service, version] = JSON.parse(value);
  return { service, version };
}
