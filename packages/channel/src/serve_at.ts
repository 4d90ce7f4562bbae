/**
 * Lets a server listen, once or again after its address was in use.
 */
import type { Server } from "node:net";

/** Where to listen. */
export interface ServeAddress {
  readonly host: string;
  readonly port: number;
  /** Connections that wait to be accepted; the system's default if absent. */
  readonly backlog?: number;
}

/** Listens; rejects if the address can't be used. */
export function serveAt(
  server: Server,
  { host, port, backlog }: ServeAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const handleError = (error: Error) => {
      server.off("listening", handleListening);
      reject(error);
    };
    const handleListening = () => {
      server.off("error", handleError);
      // For instance a connection that can't be accepted while descriptors are
      // short; the server goes on.
      server.on("error", createWarningHandler());
      resolve();
    };
    server.once("error", handleError);
    server.once("listening", handleListening);
    server.listen({
      host,
      port,
      ...(backlog === undefined ? {} : { backlog }),
    });
  });
}

/** Warns of a server's first error; others of the kind follow in numbers. */
function createWarningHandler(): (error: Error) => void {
  let hasWarned = false;
  return (error) => {
    if (!hasWarned) process.emitWarning(error);
    hasWarned = true;
  };
}
