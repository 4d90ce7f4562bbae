/**
 * The clients of all targets of one kind that the configuration lists.
 */
import type { TargetId, TargetSpec } from "@camphorlock/types";

const MAX_OPEN_CLIENTS = 1_024;
const IDLE_TIMEOUT_MS = 60_000;

/** The operations that every client of a target supports. */
export interface TargetClient {
  /** Accepts no new requests and closes once running ones have ended. */
  closeWhenIdle(): Promise<void>;
  /** Closes every connection. */
  close(): Promise<void>;
}

/** Settings of a set of clients. */
export interface TargetClientsOptions<Client> {
  readonly kind: TargetSpec["kind"];
  /** Creates the client for an address. */
  readonly create: (address: string) => Client;
  /** Most open clients; beyond it, the least recently used one is closed. */
  readonly maxOpen?: number;
  /** The clock; the process's monotonic clock by default. */
  readonly readNow?: () => number;
}

interface OpenClient<Client> {
  readonly address: string;
  readonly client: Client;
  usedAtMs: number;
}

/**
 * Stores the addresses of all targets and opens each client at its first use, so
 * that a node has connections only to the targets that it uses.
 */
export class TargetClients<Client extends TargetClient> {
  readonly #options: TargetClientsOptions<Client>;
  readonly #addresses = new Map<TargetId, string>();
  /** Open clients, the least recently used first. */
  readonly #open = new Map<TargetId, OpenClient<Client>>();

  constructor(options: TargetClientsOptions<Client>) {
    this.#options = options;
  }

  /** Applies the targets of a configuration. */
  setTargets(specs: readonly TargetSpec[]): void {
    this.#addresses.clear();
    for (const { kind, targetId, address } of specs) {
      if (kind === this.#options.kind) this.#addresses.set(targetId, address);
    }
    for (const [targetId, { address }] of this.#open) {
      if (this.#addresses.get(targetId) !== address) this.#remove(targetId);
    }
  }

  /** Finds the client of a target, and opens it at its first use. */
  find(targetId: TargetId): Client | undefined {
    const address = this.#addresses.get(targetId);
    if (address === undefined) return undefined;
    const nowMs = this.#options.readNow?.() ?? performance.now();
    const open = this.#open.get(targetId) ?? this.#create(address, nowMs);
    open.usedAtMs = nowMs;
    this.#open.delete(targetId);
    this.#open.set(targetId, open);
    this.#evictLeastUsed(nowMs);
    return open.client;
  }

  /** Closes every client. */
  async close(): Promise<void> {
    const clients = [...this.#open.values()];
    this.#addresses.clear();
    this.#open.clear();
    await Promise.all(clients.map(({ client }) => client.close()));
  }

  #create(address: string, nowMs: number): OpenClient<Client> {
    const client = this.#options.create(address);
    return { address, client, usedAtMs: nowMs };
  }

  #evictLeastUsed(nowMs: number): void {
    const leastUsed = this.#open.entries().next().value;
    if (leastUsed === undefined) return;
    const [targetId, { usedAtMs }] = leastUsed;
    const isBeyondLimit =
      this.#open.size > (this.#options.maxOpen ?? MAX_OPEN_CLIENTS);
    const isIdle = nowMs - usedAtMs > IDLE_TIMEOUT_MS;
    if (isBeyondLimit || isIdle) this.#remove(targetId);
  }

  #remove(targetId: TargetId): void {
    const open = this.#open.get(targetId);
    this.#open.delete(targetId);
    void open?.client.closeWhenIdle();
  }
}
