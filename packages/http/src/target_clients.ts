/**
 * The clients of all targets of one kind, as the configuration names them.
 */
import type { TargetId, TargetSpec } from "@camphorlock/types";

const MAX_OPEN = 1_024;
const IDLE_MS = 60_000;

/** What every client of a target can do. */
export interface TargetClient {
  /** Takes nothing new and closes when what runs has ended. */
  closeWhenIdle(): Promise<void>;
  /** Closes every connection. */
  close(): Promise<void>;
}

/** Settings of a set of clients. */
export interface TargetClientsOptions<Client> {
  readonly kind: TargetSpec["kind"];
  /** Makes the client of an address. */
  readonly create: (address: string) => Client;
  /** Clients that stay open; beyond it the least recently used one closes. */
  readonly maxOpen?: number;
  /** The clock; the process's own when absent. */
  readonly readNow?: () => number;
}

interface OpenClient<Client> {
  readonly address: string;
  readonly client: Client;
  usedAtMs: number;
}

/**
 * Keeps the addresses of all targets and opens clients as they're used, so that
 * a node holds connections only to the targets that it works with.
 */
export class TargetClients<Client extends TargetClient> {
  readonly #options: TargetClientsOptions<Client>;
  readonly #addresses = new Map<TargetId, string>();
  /** Open clients, the least recently used first. */
  readonly #open = new Map<TargetId, OpenClient<Client>>();

  constructor(options: TargetClientsOptions<Client>) {
    this.#options = options;
  }

  /** Follows the configuration. */
  setTargets(specs: readonly TargetSpec[]): void {
    this.#addresses.clear();
    for (const { kind, targetId, address } of specs) {
      if (kind === this.#options.kind) this.#addresses.set(targetId, address);
    }
    for (const [targetId, { address }] of this.#open) {
      if (this.#addresses.get(targetId) !== address) this.#remove(targetId);
    }
  }

  /** Finds the client of a target, which is opened at its first use. */
  find(targetId: TargetId): Client | undefined {
    const address = this.#addresses.get(targetId);
    if (address === undefined) return undefined;
    const nowMs = this.#options.readNow?.() ?? performance.now();
    const open = this.#open.get(targetId) ?? this.#create(address, nowMs);
    open.usedAtMs = nowMs;
    this.#open.delete(targetId);
    this.#open.set(targetId, open);
    this.#removeLeastUsed(nowMs);
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

  #removeLeastUsed(nowMs: number): void {
    const least = this.#open.entries().next().value;
    if (least === undefined) return;
    const [targetId, { usedAtMs }] = least;
    const isBeyondLimit = this.#open.size > (this.#options.maxOpen ?? MAX_OPEN);
    const isIdle = nowMs - usedAtMs > IDLE_MS;
    if (isBeyondLimit || isIdle) this.#remove(targetId);
  }

  #remove(targetId: TargetId): void {
    const open = this.#open.get(targetId);
    this.#open.delete(targetId);
    void open?.client.closeWhenIdle();
  }
}
