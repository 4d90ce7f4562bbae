/**
 * Finds free TCP ports on loopback.
 */
import { createServer } from "node:net";

const HOST = "127.0.0.1";
const LAST_PORT = 65_535;

/** Finds free ports at or above a first port. */
export async function findFreePorts(
  first: number,
  count: number,
): Promise<number[]> {
  const ports: number[] = [];
  for (let port = first; port <= LAST_PORT && ports.length < count; port++) {
    if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}
