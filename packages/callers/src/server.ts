/**
 * Serves the caller API over HTTP.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { serve, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import { errAsync, okAsync, ResultAsync } from "neverthrow";

/** Where to listen. Port zero takes a free one. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A running HTTP server. */
export interface RunningServer {
  readonly address: ListenAddress;
  /** Takes no new connection and waits until the open requests have ended. */
  stop(): Promise<void>;
}

/** Serves an app until it's stopped. */
export function serveApp(
  app: Hono,
  address: ListenAddress,
): ResultAsync<RunningServer, Failure> {
  const { host, port } = address;
  const listening = new Promise<ServerType>((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname: host, port }, () => {
      resolve(server);
    });
    server.once("error", reject);
  });
  return ResultAsync.fromPromise(listening, (error) => {
    return createFailure("SettingsInvalid", `${host}:${port}: ${error}`);
  }).andThen((server) => {
    const bound = server.address();
    if (bound === null || typeof bound === "string") {
      return errAsync(createFailure("Internal", "no address"));
    }
    return okAsync(buildRunning(server, { host, port: bound.port }));
  });
}

function buildRunning(
  server: ServerType,
  address: ListenAddress,
): RunningServer {
  return {
    address,
    stop(): Promise<void> {
      return new Promise((resolve) => {
        server.close(() => resolve());
        if ("closeIdleConnections" in server) server.closeIdleConnections();
      });
    },
  };
}
