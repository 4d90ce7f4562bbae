/**
 * Numbers of platform requests that no other epoch of a shard uses, so that a
 * late answer to an earlier owner on the same node isn't taken for another's.
 */
import type { Epoch } from "@camphorlock/types";

/** The part of the ledger that makes a request. */
export type RequestStream = "segment" | "snapshot" | "read";

const NUMBERS_PER_EPOCH = 2 ** 20;
const NUMBERS_PER_STREAM = 2 ** 18;
const STREAM_OFFSETS: { readonly [stream in RequestStream]: number } = {
  segment: 0,
  snapshot: NUMBERS_PER_STREAM,
  read: 2 * NUMBERS_PER_STREAM,
};

/** Computes the number of the request that a stream counts as `counter`. */
export function computeTokenNumber(
  epoch: Epoch,
  request: { readonly stream: RequestStream; readonly counter: number },
): number {
  return epoch * NUMBERS_PER_EPOCH + STREAM_OFFSETS[request.stream] +
    request.counter % NUMBERS_PER_STREAM;
}
