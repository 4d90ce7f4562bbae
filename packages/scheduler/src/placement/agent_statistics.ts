/**
 * What the calls of each kind of agent usually produce.
 */

const SMOOTHING = 0.1;
const MOST_AGENTS = 2_000;

/** Mean lengths of answers, by agent. */
export class AgentStatistics {
  readonly #completionTokens = new Map<string, number>();

  /** Records the length of one answer. */
  record(agent: string, completionTokens: number): void {
    const before = this.#completionTokens.get(agent) ?? completionTokens;
    const after = before + SMOOTHING * (completionTokens - before);
    this.#completionTokens.delete(agent);
    this.#completionTokens.set(agent, after);
    if (this.#completionTokens.size <= MOST_AGENTS) return;
    const oldest = this.#completionTokens.keys().next().value;
    if (oldest !== undefined) this.#completionTokens.delete(oldest);
  }

  /** Finds the usual length of an agent's answers. */
  findMean(agent: string): number | undefined {
    return this.#completionTokens.get(agent);
  }
}
