/**
 * Numbers of platform requests, unique to each epoch of a shard, so that a late
 * response to an earlier owner on the same node matches no newer request.
 */
import type { Epoch } from "@camphorlock/types";

/** The part of the ledger that sends a request. */
export type RequestStream = "segment" | "snapshot" | "read";

const NUMBERS_PER_EPOCH = 2 ** 20;
const NUMBERS_PER_STREAM = 2 ** 18;
const STREAM_OFFSETS: { readonly [stream in RequestStream]: number } = {
  segment: 0,
  snapshot: NUMBERS_PER_STREAM,
  read: 2 * NUMBERS_PER_STREAM,
};

/** Computes the number of a stream's request from the stream's counter. */
export function computeRequestNumber(
  epoch: Epoch,
  request: { readonly stream: RequestStream; readonly counter: number },
): number {
  return epoch * NUMBERS_PER_EPOCH + STREAM_OFFSETS[request.stream] +
    request.counter % NUMBERS_PER_STREAM;
}
