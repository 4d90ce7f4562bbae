/**
 * Open questions whether an owner's epoch still holds, oldest first.
 */

/** One question and when it was put. */
export interface EpochQuestion {
  readonly token: number;
  readonly askedAtMs: number;
}

/** The open questions of one owned shard. */
export class EpochQuestions {
  #questions: EpochQuestion[] = [];

  /** The token of the newest question; zero when there is none. */
  get newestToken(): number {
    return this.#questions.at(-1)?.token ?? 0;
  }

  /** When the oldest question was put; infinite when there is none. */
  get askedAtMs(): number {
    return this.#questions[0]?.askedAtMs ?? Number.POSITIVE_INFINITY;
  }

  /** Adds a question; its token is higher than those before. */
  add(question: EpochQuestion): void {
    this.#questions.push(question);
  }

  /** Takes the tokens of the questions that were put before a token. */
  takeBefore(token: number): number[] {
    const taken = this.#questions.filter((each) => each.token < token);
    this.#questions = this.#questions.slice(taken.length);
    return taken.map((each) => each.token);
  }

  /** Drops every question. */
  removeAll(): void {
    this.#questions = [];
  }
}
