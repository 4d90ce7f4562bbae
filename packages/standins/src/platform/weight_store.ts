/**
 * The platform's weight store, which limits reads per second.
 *
 * A weight file consists of zero bytes of the configured size, read in parts.
 */
import { TokenBucket } from "@camphorlock/objects";
import type { Hono } from "hono";
import type { StandinEnv } from "../http_server.ts";

const DEFAULT_READS_PER_SECOND = 20;
const DEFAULT_WEIGHT_BYTES = 1024 * 1024;
const MAX_PART_BYTES = 256 * 1024;
const RETRY_SECONDS = 1;

/** Settings of the weight store. */
export interface WeightStoreOptions {
  readonly readsPerSecond?: number;
  /** Size of each weight file by name. Other files have the default size. */
  readonly sizes?: Readonly<Record<string, number>>;
}

/** Adds `GET /v1/weights/{name}?offset=&limit=`. */
export function addWeightRoutes(
  app: Hono<StandinEnv>,
  options: WeightStoreOptions & { readonly readNow: () => number },
): void {
  const perSecond = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
  const bucket = new TokenBucket({ perSecond, burst: perSecond }, 0);
  app.get("/v1/weights/:name", (context) => {
    if (!bucket.take(options.readNow())) {
      context.header("retry-after", String(RETRY_SECONDS));
      return context.body(null, 429);
    }
    const size = options.sizes?.[context.req.param("name")] ??
      DEFAULT_WEIGHT_BYTES;
    const offset = Number(context.req.query("offset") ?? 0);
    const limit = Number(context.req.query("limit") ?? MAX_PART_BYTES);
    const length = Math.min(size - offset, limit, MAX_PART_BYTES);
    if (!(length >= 0)) return context.body(null, 416);
    context.header("content-range", `bytes ${offset}-*/${size}`);
    return context.body(new Uint8Array(length));
  });
}
