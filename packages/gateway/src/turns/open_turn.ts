/**
 * A turn in progress on a route whose turns are kept.
 */
import { GrowingBuffer } from "@camphorlock/http/exchange";
import type { KeptTurn, TurnChain } from "@camphorlock/turns";
import type { AcceptedRequest } from "../exchange/request_end.ts";

const LINE_FEED = Buffer.from("\n");

/** A turn whose chain was put together. */
export class OpenTurn {
  /** The body for the target: the chain, then the caller's input. */
  readonly targetBody: Buffer;
  /** The target that ran the previous turn; its cache holds the chain. */
  readonly previousTargetId: string | undefined;
  readonly #accepted: AcceptedRequest;
  readonly #save: (turn: KeptTurn, deadlineMs: number) => Promise<boolean>;
  readonly #output = new GrowingBuffer();
  /** Whether the process could hold all of the output. */
  #isComplete = true;

  constructor(
    accepted: AcceptedRequest,
    { chain, targetBody, keep }: {
      readonly chain: TurnChain;
      readonly targetBody: Buffer;
      readonly keep: (turn: KeptTurn, deadlineMs: number) => Promise<boolean>;
    },
  ) {
    this.#accepted = accepted;
    this.#save = keep;
    this.targetBody = targetBody;
    this.previousTargetId = chain.at(-1)?.targetId;
  }

  /** Records the data of an event that the caller receives. */
  addEvent(data: Buffer): void {
    if (!this.#isComplete) return;
    const line = Buffer.concat([data, LINE_FEED]);
    const growth = this.#output.computeGrowth(line);
    this.#isComplete = growth === 0 ||
      this.#accepted.caller.share.reserve(growth);
    if (this.#isComplete) this.#output.append(line);
    else this.#output.reset();
  }

  /** Keeps the turn; false if it isn't certain to last. */
  async save(targetId: string, deadlineMs: number): Promise<boolean> {
    if (!this.#isComplete) return false;
    const { fields, body, route, tenant } = this.#accepted;
    return await this.#save({
      id: fields.requestId,
      parentId: fields.previousTurnId,
      input: body,
      output: this.#output.view(),
      targetId,
      ...(tenant === undefined ? {} : { tenant: tenant.name }),
      retentionMs: route.retentionMs ?? 0,
      endedAtMs: performance.now(),
    }, deadlineMs);
  }
}
