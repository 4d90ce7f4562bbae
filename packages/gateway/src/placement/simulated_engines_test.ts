import type { PromptPart } from "../model/request_fields.ts";

/** How the engines of a simulation differ, and what they hold. */
export interface EngineOptions {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly prefillTokensPerMs: number;
  readonly stepMs: number;
}

/** A request at an engine. */
export interface EngineRequest {
  readonly prompt: readonly PromptPart[];
  readonly outputTokens: number;
  /** Work of a plain call, instead of tokens. */
  readonly callMs?: number;
  readonly tokensPerEvent: number;
  readonly onFirst: (atMs: number) => void;
  readonly onEnd: (atMs: number) => void;
}

/** Runs what is scheduled, in the order of time. */
export class Schedule {
  nowMs = 0;
  readonly #steps: { atMs: number; order: number; run: () => void }[] = [];
  #order = 0;

  add(atMs: number, run: () => void): void {
    this.#order += 1;
    const step = { atMs: Math.max(atMs, this.nowMs), order: this.#order, run };
    let low = 0;
    let high = this.#steps.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.#steps[middle];
      if (other !== undefined && other.atMs > step.atMs) low = middle + 1;
      else high = middle;
    }
    this.#steps.splice(low, 0, step);
  }

  run(): void {
    for (;;) {
      const step = this.#steps.pop();
      if (step === undefined) return;
      this.nowMs = step.atMs;
      step.run();
    }
  }
}

/** First come, first served in `slots`, with a cache of prompt parts. */
export class SimulatedEngine {
  speed = 1;
  readTokens = 0;
  readAgainTokens = 0;
  longestQueue = 0;
  readonly #schedule: Schedule;
  readonly #options: EngineOptions;
  readonly #waiting: EngineRequest[] = [];
  readonly #cached = new Map<string, number>();
  readonly #seen = new Set<string>();
  #cachedTokens = 0;
  #running = 0;

  constructor(schedule: Schedule, options: EngineOptions) {
    this.#schedule = schedule;
    this.#options = options;
  }

  add(request: EngineRequest): void {
    this.#waiting.push(request);
    this.#startWaiting();
    this.longestQueue = Math.max(this.longestQueue, this.#waiting.length);
  }

  #startWaiting(): void {
    while (this.#running < this.#options.slots) {
      const request = this.#waiting.shift();
      if (request === undefined) return;
      this.#start(request);
    }
  }

  #start(request: EngineRequest): void {
    const { prefillTokensPerMs, stepMs } = this.#options;
    this.#running += 1;
    const uncached = this.#read(request.prompt);
    const readMs = uncached / prefillTokensPerMs / this.speed;
    const tokenMs = stepMs / this.speed;
    const startMs = this.#schedule.nowMs + readMs;
    const firstMs = startMs + request.tokensPerEvent * tokenMs;
    const endMs = request.callMs === undefined
      ? startMs + request.outputTokens * tokenMs
      : startMs + request.callMs / this.speed;
    if (request.callMs === undefined) {
      this.#schedule.add(firstMs, () => request.onFirst(firstMs));
    }
    this.#schedule.add(endMs, () => {
      this.#running -= 1;
      request.onEnd(endMs);
      this.#startWaiting();
    });
  }

  /** Reads a prompt and returns the tokens that weren't cached. */
  #read(prompt: readonly PromptPart[]): number {
    let uncached = 0;
    for (const { id, tokens } of prompt) {
      if (this.#cached.delete(id)) this.#cachedTokens -= tokens;
      else {
        uncached += tokens;
        if (this.#seen.has(id)) this.readAgainTokens += tokens;
      }
      this.#seen.add(id);
      this.#cached.set(id, tokens);
      this.#cachedTokens += tokens;
    }
    this.readTokens += uncached;
    for (const [id, tokens] of this.#cached) {
      if (this.#cachedTokens <= this.#options.memoryTokens) break;
      this.#cached.delete(id);
      this.#cachedTokens -= tokens;
    }
    return uncached;
  }
}
