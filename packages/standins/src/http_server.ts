/**
 * HTTP servers of the stand-ins.
 */
import type { AddressInfo } from "node:net";
import type { Server } from "node:http";
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import type { Context, Hono } from "hono";

/** The environment of requests to a stand-in. */
export interface StandinEnv {
  readonly Bindings: HttpBindings;
}

/** Where a stand-in listens. */
export interface ListenOptions {
  /** Zero, and when absent, takes any free port. */
  readonly port?: number;
  readonly host?: string;
}

/** A stand-in that listens. */
export interface RunningServer {
  /** `ip:port`. */
  readonly address: string;
  /** Cuts every connection and stops listening. */
  stop(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";

/** Starts to listen. Rejects when the port is taken. */
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

/** Cuts the connection of a request without an answer. */
export function closeConnection(
  context: Context<StandinEnv>,
): Promise<Response> {
  context.env.incoming.socket.destroy();
  return waitForever();
}

/** Never answers; the connection stays open. */
export function waitForever(): Promise<never> {
  return new Promise(() => {});
}

function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
