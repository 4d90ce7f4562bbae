/**
 * Statistics on the completions of each kind of agent.
 */

const SMOOTHING_FACTOR = 0.1;
const MAX_AGENTS = 2_000;

/** Mean completion lengths in tokens, by agent: exponential moving averages. */
export class AgentStatistics {
  readonly #meanTokens = new Map<string, number>();

  /** Records the length of one completion. */
  record(agent: string, completionTokens: number): void {
    const previousMean = this.#meanTokens.get(agent) ?? completionTokens;
    const mean = previousMean +
      SMOOTHING_FACTOR * (completionTokens - previousMean);
    this.#meanTokens.delete(agent);
    this.#meanTokens.set(agent, mean);
    if (this.#meanTokens.size <= MAX_AGENTS) return;
    const oldest = this.#meanTokens.keys().next().value;
    if (oldest !== undefined) this.#meanTokens.delete(oldest);
  }

  /** Finds the mean length of an agent's completions. */
  findMeanTokens(agent: string): number | undefined {
    return this.#meanTokens.get(agent);
  }
}
