/**
 * Serves the caller API over HTTP.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { serve, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import { errAsync, okAsync, ResultAsync } from "neverthrow";

/** Where to listen. Port zero selects a free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A running HTTP server. */
export interface RunningServer {
  readonly address: ListenAddress;
  /** Accepts no new connection and waits until all open requests have ended. */
  stop(): Promise<void>;
}

/** Serves an app over HTTP until the server is stopped. */
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
      return errAsync(
        createFailure("Internal", "the server has no TCP address"),
      );
    }
    return okAsync(buildRunningServer(server, { host, port: bound.port }));
  });
}

function buildRunningServer(
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
