/**
 * Planted faults: each takes a rule out of the decisions, and the named check
 * has to notice under the fault schedules.
 */
import type { CheckName } from "./run_history.ts";

/** One replacement in a source file. */
export interface Edit {
  /** Below `packages/scheduler/src`. */
  readonly file: string;
  readonly find: string;
  readonly replaceBy: string;
}

/** A rule that is taken out, and the check that notices. */
export interface Mutation {
  readonly name: string;
  readonly check: CheckName;
  readonly edits: readonly Edit[];
  /** Kinds of fault under which the check notices, all unless named. */
  readonly faults?: string;
}

/** Every planted fault. */
export const MUTATIONS: readonly Mutation[] = [
  defineMutation("a broken non-idempotent call is sent again", "at_most_once", {
    file: "owner/running_call.ts",
    find: 'return call.kind === "model" || call.idempotent;',
    replaceBy: "return call !== undefined;",
  }),
  defineMutation("a new owner forgets intents", "at_most_once", {
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
    name: "outcomes are told before they're durable",
    check: "history_kept",
    faults: "kill_at_answer",
    edits: [{
      file: "owner/call_ender.ts",
      find: "}], () => this.#hooks.finish(running));",
      replaceBy: "}]);\n    this.#hooks.finish(running);",
    }],
  },
  defineMutation("what may have run is called not run", "not_run_honest", {
    file: "owner/call_ender.ts",
    find:
      "if (running.mayHaveRun) return this.#endFailed(running, failure, 0);",
    replaceBy: "",
  }),
  defineMutation("the next call doesn't wait", "calls_in_order", {
    file: "owner/call_runner.ts",
    find: "if (!running.spec.parallel) return;",
    replaceBy: "",
  }),
  defineMutation("the budget isn't looked at", "budget_kept", {
    file: "owner/check_acceptable.ts",
    find:
      'if (computeRest(program) < reservedMicros) return "BudgetExhausted";',
    replaceBy: "",
  }),
  defineMutation("a new owner forgets what engines hold", "memory_released", {
    file: "owner/shard_owner.ts",
    find: "if (program.endReason !== undefined) this.#releaser.add(program);",
    replaceBy: "",
  }),
  defineMutation("a gap in the stream is passed over", "answers_whole", {
    file: "entry/open_request.ts",
    find: 'if (answer.offset > open.offset) return { kind: "gap" };',
    replaceBy: "if (answer.offset > open.offset) open.offset = answer.offset;",
  }),
  {
    name: "a planned stop doesn't wait for orders",
    check: "planned_stop_graceful",
    faults: "stop_node",
    edits: [{
      file: "node/node_core.ts",
      find:
        "if (this.#roles.hosts.countServiceAttempts() > 0 && !isLate) return;",
      replaceBy: "",
    }],
  },
  defineMutation("a node serves at once", "configuration_forward", {
    file: "configuration/freshness.ts",
    find: 'return this.#isCurrent(evidence, nowMs) ? "ready" : "starting";',
    replaceBy: 'return evidence.revision > 0 ? "ready" : "starting";',
  }),
  defineMutation("silence is waited out for ever", "callers_settled", {
    file: "owner/call_runner.ts",
    find:
      "for (const running of [...this.#calls.values()]) this.#check(running);",
    replaceBy: "",
  }),
  {
    name: "leaving targets aren't closed",
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
