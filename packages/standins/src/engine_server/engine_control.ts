/**
 * Switches the faults of a running engine stand-in and shows what it saw.
 */
import type { AttemptId, ProgramId } from "@camphorlock/types";
import type { EngineLoad } from "../engine/engine_types.ts";
import type { EngineDriver, EngineRun } from "./engine_driver.ts";

/** Controls one engine stand-in. */
export class EngineControl {
  readonly #driver: EngineDriver;
  /** Requests arrive and run, but nothing is sent any more. */
  silent = false;
  /** Answers that are still to carry a wrong attempt id. */
  crossedAnswers = 0;
  /** Whether new work is refused, with the statement that it wasn't run. */
  refusing = false;
  /** Time between the arrival of an attempt and its start. */
  startDelayMs = 0;
  /** Requests that arrived, of any kind. */
  requests = 0;

  constructor(driver: EngineDriver) {
    this.#driver = driver;
  }

  /** Every run that reached the engine, in order. */
  get runs(): readonly EngineRun[] {
    return this.#driver.runs;
  }

  /** Lets open streams go silent for good; new ones work. */
  setOpenStreamsSilent(): void {
    for (const stream of this.#driver.streams.values()) {
      stream.setReadersSilent();
    }
  }

  /** Breaks the connections of open streams. The work goes on. */
  closeOpenStreams(): void {
    for (const stream of this.#driver.streams.values()) stream.closeReaders();
  }

  /** Sets the speed, one being usual. */
  setSpeed(speed: number): void {
    this.#driver.handle({ kind: "set_speed", speed });
  }

  /** Gets the present load. */
  getLoad(): EngineLoad {
    return this.#driver.core.getReportedLoad(this.#driver.readNow());
  }

  /** Sums the tokens that the engine holds for a program. */
  sumHeldTokens(programId: ProgramId): number {
    return this.#driver.core.listPrefixes()
      .filter((prefix) => prefix.programId === programId)
      .reduce((sum, prefix) => sum + prefix.heldTokens, 0);
  }

  /** Leaves a cache event out of what's published. */
  removeCacheEvent(number: number): void {
    const events = this.#driver.cacheEvents;
    const place = events.findIndex((event) => event.number === number);
    if (place >= 0) events.splice(place, 1);
  }

  /** Whether an attempt still runs. */
  isRunning(attemptId: AttemptId): boolean {
    const stream = this.#driver.streams.get(attemptId);
    return stream !== undefined && !stream.ended;
  }

  /** Whether an attempt was stopped before its end. */
  isCancelled(attemptId: AttemptId): boolean {
    return this.#driver.streams.get(attemptId)?.wasCancelled === true;
  }
}
