/**
 * HTTP servers of the stand-ins.
 */
import type { AddressInfo } from "node:net";
import type { Server } from "node:http";
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import type { Context, Hono } from "hono";

/** The Hono environment of requests to a stand-in. */
export interface StandinEnv {
  readonly Bindings: HttpBindings;
}

/** The address at which a stand-in listens. */
export interface ListenOptions {
  /** The port. Any free port is used when this is zero or absent. */
  readonly port?: number;
  readonly host?: string;
}

/** A running server of a stand-in. */
export interface RunningServer {
  /** `ip:port`. */
  readonly address: string;
  /** Closes every connection and stops listening. */
  stop(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";

/** Starts an HTTP server. Rejects if the port is in use. */
export function startServer(
  app: Hono<StandinEnv>,
  options: ListenOptions,
): Promise<RunningServer> {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server;
  server.requestTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port ?? 0, options.host ?? LOOPBACK, () => {
      const { address, port } = server.address() as AddressInfo;
      resolve({
        address: `${address}:${port}`,
        stop: () => stopServer(server),
      });
    });
  });
}

/** Closes the connection of a request without a response. */
export function closeConnection(
  context: Context<StandinEnv>,
): Promise<Response> {
  context.env.incoming.socket.destroy();
  return waitForever();
}

/** Never resolves, so that the request hangs and its connection stays open. */
export function waitForever(): Promise<never> {
  return new Promise(() => {});
}

function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
