/**
 * The budget of one program. The worst-case cost of a call is reserved before
 * the call is sent, and settled with its charge when it has ended.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  type Call,
  type CallId,
  type ChatMessage,
  checkNever,
  type ConfigurationValue,
  type Micros,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { computeCharge } from "../agreement/split_charge.ts";

/** Most tokens that a message's role and delimiters add to its text. */
const TOKENS_PER_MESSAGE = 8;

/** Most tokens that the delimiters around all messages add. */
const TOKENS_PER_CHAT = 16;

/** The limit of a program, and what it has spent and reserved. */
export class ProgramBudget {
  readonly #limitMicros: Micros;
  #spentMicros: Micros = 0;
  #reservedMicros: Micros = 0;
  readonly #reservations = new Map<CallId, Micros>();

  constructor(limitMicros: Micros) {
    this.#limitMicros = limitMicros;
  }

  /** The sum of the settled charges. */
  get spentMicros(): Micros {
    return this.#spentMicros;
  }

  /** The sum of the open reservations. */
  get reservedMicros(): Micros {
    return this.#reservedMicros;
  }

  /** The amount that can still be reserved. */
  get availableMicros(): Micros {
    return this.#limitMicros - this.#spentMicros - this.#reservedMicros;
  }

  /**
   * Reserves the worst-case cost of a call. A repeat for the same call changes
   * nothing. Fails with `BudgetExhausted`.
   */
  reserve(callId: CallId, micros: Micros): Result<Micros, Failure> {
    const existing = this.#reservations.get(callId);
    if (existing !== undefined) return ok(existing);
    if (micros > this.availableMicros) {
      const detail = `the call may cost ${micros} micros and ` +
        `${this.availableMicros} of ${this.#limitMicros} are left`;
      return err(createFailure("BudgetExhausted", detail));
    }
    this.#reservations.set(callId, micros);
    this.#reservedMicros += micros;
    return ok(micros);
  }

  /**
   * Settles a call's reservation and returns what the program pays, which is
   * never more than was reserved. A second settlement pays nothing.
   */
  settle(callId: CallId, chargeMicros: Micros): Micros {
    const reserved = this.#reservations.get(callId);
    if (reserved === undefined) return 0;
    this.#reservations.delete(callId);
    this.#reservedMicros -= reserved;
    const paid = Math.max(0, Math.min(chargeMicros, reserved));
    this.#spentMicros += paid;
    return paid;
  }
}

/**
 * Computes the most that a call can cost at the prices in force.
 *
 * A token encodes at least one byte of text, which bounds the prompt. The
 * higher of the prompt's two prices applies.
 */
export function computeWorstCase(
  value: ConfigurationValue,
  call: Call,
): Micros {
  switch (call.kind) {
    case "model":
      return computeModelWorstCase(value, call);
    case "service":
      return computeCharge(value, { kind: "service", service: call.service });
    default:
      return checkNever(call);
  }
}

function computeModelWorstCase(
  value: ConfigurationValue,
  call: Extract<Call, { readonly kind: "model" }>,
): Micros {
  const promptTokens = computePromptBound(call.messages);
  const completionTokens = call.maxTokens;
  const charge = (cachedTokens: number): Micros => {
    const usage = { promptTokens, cachedTokens, completionTokens };
    return computeCharge(value, { kind: "model", model: call.model, usage });
  };
  return Math.max(charge(0), charge(promptTokens));
}

/** Computes the most tokens that a prompt can have. */
export function computePromptBound(messages: readonly ChatMessage[]): number {
  const encoder = new TextEncoder();
  return messages.reduce((sum, message) => {
    const { length } = encoder.encode(message.content);
    return sum + length + TOKENS_PER_MESSAGE;
  }, TOKENS_PER_CHAT);
}

/**
 * Computes how many completion tokens a reservation covers after the prompt, so
 * that generation is cancelled when the reservation is used up.
 */
export function computeAffordableTokens(
  value: ConfigurationValue,
  options: {
    readonly model: string;
    readonly promptTokens: number;
    readonly reservedMicros: Micros;
  },
): number {
  const { model, promptTokens, reservedMicros } = options;
  const price = value.models.find((each) => each.model === model);
  if (price === undefined || price.completionMicros === 0) return Infinity;
  const usage = { promptTokens, cachedTokens: 0, completionTokens: 0 };
  const promptMicros = computeCharge(value, { kind: "model", model, usage });
  const remainingMicros = Math.max(0, reservedMicros - promptMicros);
  return Math.floor(remainingMicros * 1_000 / price.completionMicros);
}
