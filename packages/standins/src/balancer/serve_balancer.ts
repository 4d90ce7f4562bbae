/**
 * The platform's balancer: forwards TCP connections to entry VMs.
 *
 * A connection can go silent for good: both ends stay open, but nothing is
 * forwarded any more, while new connections work.
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

/** Settings of the balancer stand-in. */
export interface ServeBalancerOptions extends ListenOptions {
  /** `ip:port` of each back end, used in turn. */
  readonly backends: readonly string[];
}

/** A running balancer. */
export interface RunningBalancer extends RunningServer {
  readonly control: BalancerControl;
}

interface ForwardedConnection {
  readonly backend: string;
  readonly near: Socket;
  readonly far: Socket;
}

/** Switches what the balancer does with connections. */
export class BalancerControl {
  #backends: readonly string[];
  #next = 0;
  readonly #silentBackends = new Set<string>();
  readonly #connections = new Set<ForwardedConnection>();

  constructor(backends: readonly string[]) {
    this.#backends = backends;
  }

  /** Connections that are forwarded at present. */
  get openConnections(): number {
    return this.#connections.size;
  }

  /** Changes the back ends for new connections. */
  setBackends(backends: readonly string[]): void {
    this.#backends = backends;
  }

  /** Lets open connections to a back end go silent; new ones work. */
  setOpenSilent(backend: string): void {
    for (const connection of this.#connections) {
      if (connection.backend === backend) stopForwarding(connection);
    }
  }

  /** Lets open and new connections to a back end be silent. */
  setBackendSilent(backend: string, silent: boolean): void {
    if (!silent) {
      this.#silentBackends.delete(backend);
      return;
    }
    this.#silentBackends.add(backend);
    this.setOpenSilent(backend);
  }

  /** Forwards a new connection to the next back end. */
  handleConnection(near: Socket): void {
    const backend = this.#backends[this.#next % this.#backends.length];
    this.#next += 1;
    if (backend === undefined) {
      near.destroy();
      return;
    }
    const far = connectTo(backend);
    const connection: ForwardedConnection = { backend, near, far };
    this.#connections.add(connection);
    startForwarding(connection);
    near.once("close", () => this.#connections.delete(connection));
    if (this.#silentBackends.has(backend)) stopForwarding(connection);
  }

  /** Breaks every connection. */
  closeConnections(): void {
    for (const { near, far } of this.#connections) {
      near.destroy();
      far.destroy();
    }
  }
}

/** Serves the balancer. */
export function serveBalancer(
  options: ServeBalancerOptions,
): Promise<RunningBalancer> {
  const control = new BalancerControl(options.backends);
  const server = createServer((near) => control.handleConnection(near));
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

function startForwarding({ near, far }: ForwardedConnection): void {
  near.on("error", () => far.destroy());
  far.on("error", () => near.destroy());
  near.on("close", () => far.destroy());
  far.on("close", () => near.destroy());
  near.pipe(far);
  far.pipe(near);
}

/** Reads on without forwarding, so that neither end notices. */
function stopForwarding({ near, far }: ForwardedConnection): void {
  near.unpipe(far);
  far.unpipe(near);
  near.removeAllListeners("close");
  far.removeAllListeners("close");
  near.resume();
  far.resume();
}

function stopBalancer(server: Server, control: BalancerControl): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    control.closeConnections();
  });
}
