/**
 * The platform's load balancer, which forwards TCP connections to entry VMs.
 *
 * A connection can be made silent: both sockets stay open, but no more data is
 * forwarded, while new connections work.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { ListenOptions, RunningServer } from "../http_server.ts";

const LOOPBACK = "127.0.0.1";

/** Settings of the load balancer stand-in. */
export interface ServeBalancerOptions extends ListenOptions {
  /** `ip:port` of each back end, chosen round robin. */
  readonly backends: readonly string[];
}

/** A running load balancer. */
export interface RunningBalancer extends RunningServer {
  readonly control: BalancerControl;
}

interface ForwardedConnection {
  readonly backend: string;
  readonly client: Socket;
  readonly upstream: Socket;
}

/** Controls what the load balancer does with connections. */
export class BalancerControl {
  #backends: readonly string[];
  #next = 0;
  readonly #silentBackends = new Set<string>();
  readonly #connections = new Set<ForwardedConnection>();

  constructor(backends: readonly string[]) {
    this.#backends = backends;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#connections.size;
  }

  /** Sets the back ends for new connections. */
  setBackends(backends: readonly string[]): void {
    this.#backends = backends;
  }

  /** Makes open connections to a back end silent. New connections work. */
  setOpenSilent(backend: string): void {
    for (const connection of this.#connections) {
      if (connection.backend === backend) stopForwarding(connection);
    }
  }

  /** Makes open and new connections silent, or lets new ones work again. */
  setBackendSilent(backend: string, silent: boolean): void {
    if (!silent) {
      this.#silentBackends.delete(backend);
      return;
    }
    this.#silentBackends.add(backend);
    this.setOpenSilent(backend);
  }

  /** Forwards a new connection to the next back end. */
  handleConnection(client: Socket): void {
    const backend = this.#backends[this.#next % this.#backends.length];
    this.#next += 1;
    if (backend === undefined) {
      client.destroy();
      return;
    }
    const upstream = connectTo(backend);
    const connection: ForwardedConnection = { backend, client, upstream };
    this.#connections.add(connection);
    startForwarding(connection);
    client.once("close", () => this.#connections.delete(connection));
    if (this.#silentBackends.has(backend)) stopForwarding(connection);
  }

  /** Closes every connection. */
  closeConnections(): void {
    for (const { client, upstream } of this.#connections) {
      client.destroy();
      upstream.destroy();
    }
  }
}

/** Starts a load balancer stand-in. */
export function serveBalancer(
  options: ServeBalancerOptions,
): Promise<RunningBalancer> {
  const control = new BalancerControl(options.backends);
  const server = createServer((client) => control.handleConnection(client));
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port ?? 0, options.host ?? LOOPBACK, () => {
      const { address, port } = server.address() as AddressInfo;
      resolve({
        address: `${address}:${port}`,
        control,
        stop: () => stopBalancer(server, control),
      });
    });
  });
}

function connectTo(backend: string): Socket {
  const [host, port] = backend.split(":");
  return connect({ host: host ?? LOOPBACK, port: Number(port) });
}

function startForwarding({ client, upstream }: ForwardedConnection): void {
  client.on("error", () => upstream.destroy());
  upstream.on("error", () => client.destroy());
  client.on("close", () => upstream.destroy());
  upstream.on("close", () => client.destroy());
  client.pipe(upstream);
  upstream.pipe(client);
}

/** Reads and discards further data, so that neither peer detects the silence. */
function stopForwarding({ client, upstream }: ForwardedConnection): void {
  client.unpipe(upstream);
  upstream.unpipe(client);
  client.removeAllListeners("close");
  upstream.removeAllListeners("close");
  client.resume();
  upstream.resume();
}

function stopBalancer(server: Server, control: BalancerControl): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    control.closeConnections();
  });
}
