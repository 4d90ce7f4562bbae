/**
 * Mutations of the scheduler: each removes one rule, and the named check must
 * detect that under the random fault schedules.
 */
import type { CheckName } from "./run_history.ts";

/** One replacement in a source file. */
export interface Edit {
  /** Path relative to `packages/scheduler/src`. */
  readonly file: string;
  readonly find: string;
  readonly replaceBy: string;
}

/** A removed rule and the check that must detect its absence. */
export interface Mutation {
  readonly name: string;
  readonly check: CheckName;
  readonly edits: readonly Edit[];
  /** The only kind of fault to schedule. Default: every kind. */
  readonly faults?: string;
}

/** Every mutation. */
export const MUTATIONS: readonly Mutation[] = [
  defineMutation("a broken non-idempotent call is retried", "at_most_once", {
    file: "owner/running_call.ts",
    find: 'return call.kind === "model" || call.idempotent;',
    replaceBy: "return call !== undefined;",
  }),
  defineMutation("a new owner ignores started attempts", "at_most_once", {
    file: "owner/call_runner.ts",
    find: "if (sent.length === 0) return;",
    replaceBy: "if (sent.length >= 0) return;",
  }),
  defineMutation("a repeated key runs again", "at_most_once", {
    file: "owner/request_handler.ts",
    find: 'earlier === undefined || earlier.outcome?.status === "not_run"',
    replaceBy: "earlier === undefined || earlier !== undefined",
  }),
  {
    name: "outcomes are reported before they're durable",
    check: "history_kept",
    faults: "kill_at_answer",
    edits: [{
      file: "owner/call_ender.ts",
      find: "}], () => this.#hooks.finish(running));",
      replaceBy: "}]);\n    this.#hooks.finish(running);",
    }],
  },
  defineMutation("a possible run is reported as not run", "not_run_honest", {
    file: "owner/call_ender.ts",
    find:
      "if (running.mayHaveRun) return this.#endFailed(running, failure, 0);",
    replaceBy: "",
  }),
  defineMutation("calls of a program overlap", "calls_in_order", {
    file: "owner/call_runner.ts",
    find: "if (!running.spec.parallel) return;",
    replaceBy: "",
  }),
  defineMutation("the budget isn't checked", "budget_kept", {
    file: "owner/check_acceptable.ts",
    find:
      'if (computeRest(program) < reservedMicros) return "BudgetExhausted";',
    replaceBy: "",
  }),
  defineMutation("a new owner releases no engine memory", "memory_released", {
    file: "owner/shard_owner.ts",
    find: "if (program.endReason !== undefined) this.#releaser.add(program);",
    replaceBy: "",
  }),
  defineMutation("a gap in the stream is ignored", "answers_whole", {
    file: "entry/open_request.ts",
    find: 'if (chunk.offset > open.offset) return { kind: "gap" };',
    replaceBy: "if (chunk.offset > open.offset) open.offset = chunk.offset;",
  }),
  {
    name: "a graceful shutdown doesn't wait for services",
    check: "planned_stop_graceful",
    faults: "stop_node",
    edits: [{
      file: "node/node_core.ts",
      find:
        "if (this.#roles.hosts.countServiceAttempts() > 0 && !isLate) return;",
      replaceBy: "",
    }],
  },
  defineMutation("an outdated node serves", "configuration_forward", {
    file: "configuration/freshness.ts",
    find: 'return this.#isCurrent(evidence, nowMs) ? "ready" : "starting";',
    replaceBy: 'return evidence.revision > 0 ? "ready" : "starting";',
  }),
  defineMutation("silent attempts never time out", "callers_settled", {
    file: "owner/call_runner.ts",
    find:
      "for (const running of [...this.#calls.values()]) this.#check(running);",
    replaceBy: "",
  }),
  {
    name: "draining targets receive new calls",
    check: "leaving_target_idle",
    edits: [
      {
        file: "node/node_policy.ts",
        find: "return target !== undefined && !target.leaving;",
        replaceBy: "return target !== undefined;",
      },
      {
        file: "dispatch/dispatcher_set.ts",
        find: "if (target.leaving) dispatcher.setLeaving(true);",
        replaceBy: "",
      },
      {
        file: "dispatch/dispatcher_set.ts",
        find: "const isLeaving = this.#targets.get(targetId)?.leaving ?? true;",
        replaceBy: "const isLeaving = !this.#targets.has(targetId);",
      },
      {
        file: "placement/target_index.ts",
        find: "leaving",
        replaceBy: "checksFencing",
      },
    ],
  },
];

function defineMutation(
  name: string,
  check: CheckName,
  edit: Edit,
): Mutation {
  return { name, check, edits: [edit] };
}
