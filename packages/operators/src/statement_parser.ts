/**
 * The grammar of the operator language, for the chevrotain library. Each rule
 * builds its part of the command.
 */
import type {
  ChangeCommand,
  Filter,
  FilterOperator,
  OperatorCommand,
  Ordering,
  Revision,
  ShowSubject,
} from "@camphorlock/types";
import { ChangeRules } from "./change_rules.ts";
import { Comma, Comparison, getKeyword, SubjectWord } from "./tokens.ts";

/** The parser. One instance parses all statements, one at a time. */
export class StatementParser extends ChangeRules {
  constructor() {
    super();
    this.performSelfAnalysis();
  }

  /** The rule of a complete statement. */
  readonly statement = this.RULE("statement", (): OperatorCommand => {
    return this.OR<OperatorCommand>([
      { ALT: () => this.SUBRULE(this.show) },
      { ALT: () => this.SUBRULE(this.explain) },
      { ALT: () => this.SUBRULE(this.stop) },
      { ALT: () => this.SUBRULE(this.changeOrder) },
    ]);
  });

  protected readonly show = this.RULE("show", (): OperatorCommand => {
    this.CONSUME(getKeyword("show"));
    return this.OR<OperatorCommand>([
      { ALT: () => this.SUBRULE(this.account) },
      { ALT: () => this.SUBRULE(this.query) },
    ]);
  });

  protected readonly account = this.RULE("account", (): OperatorCommand => {
    this.CONSUME(getKeyword("statement"));
    this.OPTION(() => this.CONSUME(getKeyword("partner")));
    const partner = this.SUBRULE(this.partner);
    this.CONSUME(getKeyword("from"));
    const from = this.SUBRULE1(this.date);
    this.CONSUME(getKeyword("to"));
    const to = this.SUBRULE2(this.date);
    return { kind: "statement", partner, from, to };
  });

  protected readonly query = this.RULE("query", (): OperatorCommand => {
    const subject = this.CONSUME(SubjectWord).image.toLowerCase();
    const filters: Filter[] = [];
    const orderBy: Ordering[] = [];
    this.OPTION1(() => {
      this.CONSUME(getKeyword("where"));
      this.AT_LEAST_ONE_SEP1({
        SEP: getKeyword("and"),
        DEF: () => filters.push(this.SUBRULE(this.filter)),
      });
    });
    this.OPTION2(() => {
      this.CONSUME(getKeyword("order"));
      this.CONSUME(getKeyword("by"));
      this.AT_LEAST_ONE_SEP2({
        SEP: Comma,
        DEF: () => orderBy.push(this.SUBRULE(this.ordering)),
      });
    });
    const limit = this.OPTION3(() => {
      this.CONSUME(getKeyword("limit"));
      return this.SUBRULE1(this.count);
    });
    const asOf = this.OPTION4(() => {
      this.CONSUME(getKeyword("as"));
      this.CONSUME(getKeyword("of"));
      this.OPTION5(() => this.CONSUME(getKeyword("revision")));
      return this.SUBRULE2(this.count);
    });
    return {
      kind: "show",
      subject: subject as ShowSubject,
      filters,
      orderBy,
      ...(limit === undefined ? {} : { limit }),
      ...(asOf === undefined ? {} : { asOf }),
    };
  });

  protected readonly filter = this.RULE("filter", (): Filter => {
    const column = this.SUBRULE(this.word);
    const operator = this.CONSUME(Comparison).image as FilterOperator;
    const value = this.SUBRULE(this.value);
    return { column, operator, value };
  });

  protected readonly ordering = this.RULE("ordering", (): Ordering => {
    const column = this.SUBRULE(this.word);
    const descending = this.OPTION(() => {
      return this.OR<boolean>([
        {
          ALT: () => {
            this.CONSUME(getKeyword("desc"));
            return true;
          },
        },
        {
          ALT: () => {
            this.CONSUME(getKeyword("asc"));
            return false;
          },
        },
      ]);
    });
    return { column, descending: descending ?? false };
  });

  protected readonly explain = this.RULE("explain", (): OperatorCommand => {
    this.CONSUME(getKeyword("explain"));
    return this.OR<OperatorCommand>([
      {
        ALT: () => {
          this.CONSUME(getKeyword("call"));
          const callId = this.SUBRULE1(this.word);
          return { kind: "explain_call", callId };
        },
      },
      {
        ALT: () => {
          this.CONSUME(getKeyword("charge"));
          const callId = this.SUBRULE2(this.word);
          return { kind: "explain_charge", callId };
        },
      },
      {
        ALT: () => {
          this.CONSUME(getKeyword("program"));
          const programId = this.SUBRULE3(this.word);
          return { kind: "explain_program", programId };
        },
      },
    ]);
  });

  protected readonly stop = this.RULE("stop", (): OperatorCommand => {
    this.CONSUME(getKeyword("stop"));
    return this.OR<OperatorCommand>([
      {
        ALT: () => {
          this.CONSUME(getKeyword("program"));
          const programId = this.SUBRULE1(this.word);
          return { kind: "stop_program", programId };
        },
      },
      {
        ALT: () => {
          this.CONSUME(getKeyword("target"));
          const targetId = this.SUBRULE2(this.word);
          const ifRevision = this.SUBRULE(this.condition);
          const change = { kind: "remove_target", targetId } as const;
          return buildChangeCommand(change, ifRevision);
        },
      },
    ]);
  });

  protected readonly changeOrder = this.RULE(
    "changeOrder",
    (): OperatorCommand => {
      const change = this.OR<ChangeCommand>([
        { ALT: () => this.SUBRULE(this.set) },
        { ALT: () => this.SUBRULE(this.split) },
        { ALT: () => this.SUBRULE(this.drain) },
        { ALT: () => this.SUBRULE(this.place) },
      ]);
      const ifRevision = this.SUBRULE(this.condition);
      return buildChangeCommand(change, ifRevision);
    },
  );
}

function buildChangeCommand(
  change: ChangeCommand,
  ifRevision: Revision | undefined,
): OperatorCommand {
  return ifRevision === undefined
    ? { kind: "change", change }
    : { kind: "change", change, ifRevision };
}
