/**
 * Injects faults into a running engine stand-in and inspects its state.
 */
import type { AttemptId, ProgramId } from "@camphorlock/types";
import type { EngineLoad } from "../engine/engine_types.ts";
import type { EngineDriver, EngineRun } from "./engine_driver.ts";

/** Controls one engine stand-in. */
export class EngineControl {
  readonly #driver: EngineDriver;
  /** Whether new requests hang: they aren't run and get no response. */
  silent = false;
  /** How many of the next responses carry a wrong attempt id. */
  mismatchedResponses = 0;
  /** Whether new requests are refused and marked as not run. */
  refusing = false;
  /** Delay between the arrival of an attempt and its start. */
  startDelayMs = 0;
  /** Number of requests received, of any kind. */
  requests = 0;

  constructor(driver: EngineDriver) {
    this.#driver = driver;
  }

  /** Every attempt that the engine accepted, in order. */
  get runs(): readonly EngineRun[] {
    return this.#driver.runs;
  }

  /** Stops all output on open streams, which stay open. New streams work. */
  setOpenStreamsSilent(): void {
    for (const stream of this.#driver.streams.values()) {
      stream.setReadersSilent();
    }
  }

  /** Closes the connections of open streams. Generation continues. */
  closeOpenStreams(): void {
    for (const stream of this.#driver.streams.values()) stream.closeReaders();
  }

  /** Sets the relative speed, where 1 is normal. */
  setSpeed(speed: number): void {
    this.#driver.handle({ kind: "set_speed", speed });
  }

  /** Gets the load as the engine reports it. */
  getLoad(): EngineLoad {
    return this.#driver.core.getReportedLoad(this.#driver.readNow());
  }

  /** Sums the tokens of memory that the engine holds for a program. */
  sumHeldTokens(programId: ProgramId): number {
    return this.#driver.core.listPrefixes()
      .filter((prefix) => prefix.programId === programId)
      .reduce((sum, prefix) => sum + prefix.heldTokens, 0);
  }

  /** Removes a cache event from the published ones. */
  removeCacheEvent(number: number): void {
    const events = this.#driver.cacheEvents;
    const index = events.findIndex((event) => event.number === number);
    if (index >= 0) events.splice(index, 1);
  }

  /** Whether an attempt is still running. */
  isRunning(attemptId: AttemptId): boolean {
    const stream = this.#driver.streams.get(attemptId);
    return stream !== undefined && !stream.ended;
  }

  /** Whether an attempt was cancelled before its end. */
  isCancelled(attemptId: AttemptId): boolean {
    return this.#driver.streams.get(attemptId)?.wasCancelled === true;
  }
}
