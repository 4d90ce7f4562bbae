/**
 * What a gateway process is built from.
 */
import type { SocketOpener } from "@camphorlock/http/exchange";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayLog } from "./log.ts";
import type {
  GatewaySettings,
  ObjectStore,
  RequestCodec,
  StoreCodec,
} from "./ports.ts";

/** Settings and dependencies of a gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly store: ObjectStore;
  readonly requestCodec: RequestCodec;
  readonly storeCodec: StoreCodec;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Opens direct connections to targets; tests pass another one. */
  readonly openSocket?: SocketOpener;
}
