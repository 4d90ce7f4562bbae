/**
 * The clients of all targets of one kind, as the configuration names them.
 */
import type { TargetId, TargetSpec } from "@camphorlock/types";

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
}

interface KnownClient<Client> {
  readonly address: string;
  readonly client: Client;
}

/** Opens and closes clients as the configuration changes. */
export class TargetClients<Client extends TargetClient> {
  readonly #options: TargetClientsOptions<Client>;
  readonly #known = new Map<TargetId, KnownClient<Client>>();

  constructor(options: TargetClientsOptions<Client>) {
    this.#options = options;
  }

  /** Follows the configuration. */
  setTargets(specs: readonly TargetSpec[]): void {
    const wanted = specs.filter((spec) => spec.kind === this.#options.kind);
    const names = new Set(wanted.map((spec) => spec.targetId));
    for (const targetId of [...this.#known.keys()]) {
      if (!names.has(targetId)) this.#remove(targetId);
    }
    for (const spec of wanted) this.#set(spec);
  }

  /** Finds the client of a target. */
  find(targetId: TargetId): Client | undefined {
    return this.#known.get(targetId)?.client;
  }

  /** Closes every client. */
  async close(): Promise<void> {
    const clients = [...this.#known.values()];
    this.#known.clear();
    await Promise.all(clients.map(({ client }) => client.close()));
  }

  #set(spec: TargetSpec): void {
    const { targetId, address } = spec;
    if (this.#known.get(targetId)?.address === address) return;
    this.#remove(targetId);
    const client = this.#options.create(address);
    this.#known.set(targetId, { address, client });
  }

  #remove(targetId: TargetId): void {
    const known = this.#known.get(targetId);
    this.#known.delete(targetId);
    void known?.client.closeWhenIdle();
  }
}
