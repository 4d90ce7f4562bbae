/**
 * The gRPC server and clients that carry the streams.
 */
import {
  type Client,
  Server,
  type ServerCredentials,
  type ServerDuplexStream,
} from "@grpc/grpc-js";
import { ResultAsync } from "neverthrow";
import { createFailure, type Failure } from "@camphorlock/codes";
import { type Frame, PeersClient, PeersService } from "./generated/peers.ts";
import type { PeerSettings } from "./settings.ts";
import type { PeerCredentials } from "./tls.ts";

const KEEPALIVE_PERIOD_MS = 60_000;
const KEEPALIVE_TIMEOUT_MS = 20_000;

/** Creates a server that passes the streams of other nodes to `accept`. */
export function createServer(
  settings: PeerSettings,
  accept: (call: ServerDuplexStream<Frame, Frame>) => void,
): Server {
  const server = new Server({
    "grpc.max_receive_message_length": 2 * settings.messageBytes,
    "grpc.keepalive_time_ms": KEEPALIVE_PERIOD_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  });
  server.addService(PeersService, { exchange: accept });
  return server;
}

/** Listens on an `ip:port` and returns the port, which the OS may choose. */
export function startListening(
  server: Server,
  options: { address: string; credentials: ServerCredentials },
): ResultAsync<number, Failure> {
  const bound = new Promise<number>((resolve, reject) => {
    server.bindAsync(options.address, options.credentials, (error, port) => {
      if (error === null) resolve(port);
      else reject(error);
    });
  });
  return ResultAsync.fromPromise(
    bound,
    (error) => createFailure("PeerListenFailed", String(error)),
  );
}

/** Creates a client that doesn't share its TCP connection. */
export function createClient(
  address: string,
  options: { credentials: PeerCredentials; settings: PeerSettings },
): PeersClient & Client {
  const { credentials, settings } = options;
  return new PeersClient(address, credentials.client, {
    ...credentials.channelOptions,
    "grpc.use_local_subchannel_pool": 1,
    "grpc.enable_retries": 0,
    "grpc.max_receive_message_length": 2 * settings.messageBytes,
  });
}
