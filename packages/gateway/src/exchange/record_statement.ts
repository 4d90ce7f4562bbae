/**
 * Records what a target states of itself in a response: that it leaves, or how
 * many requests it takes.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { Target } from "../model/target.ts";
import type { DecodedResponse } from "../ports.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";

/** Records a target's statements. */
export function recordStatement(
  { permits, targets, ways, log }: Pick<
    ExchangeDependencies,
    "permits" | "targets" | "ways" | "log"
  >,
  target: Target,
  response: DecodedResponse,
): void {
  permits.recordResponse(target, response);
  if (!response.isLeaving) return;
  const changed = targets.recordLeaving(target, performance.now());
  if (changed === undefined) return;
  ways.paths.reportLeaving(target);
  log.write(EVENTS.TargetChanged, {
    target: target.id,
    service: target.service,
    state: target.state,
    change: changed.change,
  });
}
