/**
 * The grammar of the operator language, for the chevrotain library.
 *
 * Each rule builds its part of the command. A value that parses but can't be
 * used, such as an amount with too many decimals, is noted as a problem with
 * its token.
 */
import type {
  BudgetKind,
  ChangeCommand,
  CostClass,
  Filter,
  FilterOperator,
  OperatorCommand,
  Ordering,
  Partner,
  PartnerShare,
  Revision,
  ShowSubject,
  TargetSpec,
} from "@camphorlock/types";
import { EmbeddedActionsParser, type IToken } from "chevrotain";
import { isDate, parseMoney, parsePercent } from "./amounts_text.ts";
import {
  Comma,
  Comparison,
  DateText,
  getKeyword,
  NumberText,
  PartnerWord,
  Percent,
  QuotedText,
  SubjectWord,
  TOKENS,
  Word,
} from "./tokens.ts";

/** A value that parses but can't be used. */
export interface StatementProblem {
  readonly token: IToken;
  readonly expected: string;
}

/** The parser; one instance serves all statements, one at a time. */
export class StatementParser extends EmbeddedActionsParser {
  /** What is wrong with the values of the last statement. */
  problems: StatementProblem[] = [];

  constructor() {
    super([...TOKENS], { recoveryEnabled: false });
    this.performSelfAnalysis();
  }

  /** One whole statement. */
  readonly statement = this.RULE("statement", (): OperatorCommand => {
    return this.OR<OperatorCommand>([
      { ALT: () => this.SUBRULE(this.show) },
      { ALT: () => this.SUBRULE(this.explain) },
      { ALT: () => this.SUBRULE(this.stop) },
      { ALT: () => this.SUBRULE(this.changeOrder) },
    ]);
  });

  private readonly show = this.RULE("show", (): OperatorCommand => {
    this.CONSUME(getKeyword("show"));
    return this.OR<OperatorCommand>([
      { ALT: () => this.SUBRULE(this.account) },
      { ALT: () => this.SUBRULE(this.query) },
    ]);
  });

  private readonly account = this.RULE("account", (): OperatorCommand => {
    this.CONSUME(getKeyword("statement"));
    this.OPTION(() => this.CONSUME(getKeyword("partner")));
    const partner = this.SUBRULE(this.partner);
    this.CONSUME(getKeyword("from"));
    const from = this.SUBRULE1(this.date);
    this.CONSUME(getKeyword("to"));
    const to = this.SUBRULE2(this.date);
    return { kind: "statement", partner, from, to };
  });

  private readonly query = this.RULE("query", (): OperatorCommand => {
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

  private readonly filter = this.RULE("filter", (): Filter => {
    const column = this.SUBRULE(this.word);
    const operator = this.CONSUME(Comparison).image as FilterOperator;
    const value = this.SUBRULE(this.value);
    return { column, operator, value };
  });

  private readonly ordering = this.RULE("ordering", (): Ordering => {
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

  private readonly explain = this.RULE("explain", (): OperatorCommand => {
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

  private readonly stop = this.RULE("stop", (): OperatorCommand => {
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
          return buildOrder(change, ifRevision);
        },
      },
    ]);
  });

  private readonly changeOrder = this.RULE(
    "changeOrder",
    (): OperatorCommand => {
      const change = this.OR<ChangeCommand>([
        { ALT: () => this.SUBRULE(this.set) },
        { ALT: () => this.SUBRULE(this.split) },
        { ALT: () => this.SUBRULE(this.drain) },
        { ALT: () => this.SUBRULE(this.place) },
      ]);
      const ifRevision = this.SUBRULE(this.condition);
      return buildOrder(change, ifRevision);
    },
  );

  private readonly condition = this.RULE(
    "condition",
    (): Revision | undefined => {
      return this.OPTION(() => {
        this.CONSUME(getKeyword("if"));
        this.CONSUME(getKeyword("revision"));
        return this.SUBRULE(this.count);
      });
    },
  );

  private readonly set = this.RULE("set", (): ChangeCommand => {
    this.CONSUME(getKeyword("set"));
    return this.OR<ChangeCommand>([
      { ALT: () => this.SUBRULE(this.setBudget) },
      { ALT: () => this.SUBRULE(this.setPrice) },
      { ALT: () => this.SUBRULE(this.setPolicy) },
      { ALT: () => this.SUBRULE(this.setTeam) },
      { ALT: () => this.SUBRULE(this.setTarget) },
    ]);
  });

  private readonly setBudget = this.RULE("setBudget", (): ChangeCommand => {
    this.CONSUME(getKeyword("budget"));
    const scope = this.SUBRULE(this.budgetScope);
    this.CONSUME(getKeyword("to"));
    const limitMicros = this.SUBRULE(this.money);
    return { kind: "set_budget", ...scope, limitMicros };
  });

  private readonly budgetScope = this.RULE(
    "budgetScope",
    (): { budget: BudgetKind; name: string } => {
      return this.OR<{ budget: BudgetKind; name: string }>([
        {
          ALT: () => {
            this.CONSUME(getKeyword("program"));
            this.OPTION(() => this.CONSUME(getKeyword("default")));
            return { budget: "program", name: "default" };
          },
        },
        {
          ALT: () => {
            this.CONSUME(getKeyword("team"));
            return { budget: "team", name: this.SUBRULE(this.word) };
          },
        },
        {
          ALT: () => {
            this.CONSUME(getKeyword("partner"));
            return { budget: "partner", name: this.SUBRULE(this.partner) };
          },
        },
      ]);
    },
  );

  private readonly setPrice = this.RULE("setPrice", (): ChangeCommand => {
    this.CONSUME(getKeyword("price"));
    return this.OR<ChangeCommand>([
      { ALT: () => this.SUBRULE(this.modelPrice) },
      { ALT: () => this.SUBRULE(this.servicePrice) },
    ]);
  });

  private readonly modelPrice = this.RULE("modelPrice", (): ChangeCommand => {
    this.CONSUME(getKeyword("model"));
    const model = this.SUBRULE(this.word);
    const part = this.OR<"prompt" | "cached" | "completion">([
      { ALT: () => this.takeWord("prompt") },
      { ALT: () => this.takeWord("cached") },
      { ALT: () => this.takeWord("completion") },
    ]);
    this.CONSUME(getKeyword("to"));
    const micros = this.SUBRULE(this.money);
    return { kind: "set_model_price", model, part, micros };
  });

  private readonly servicePrice = this.RULE(
    "servicePrice",
    (): ChangeCommand => {
      this.CONSUME(getKeyword("service"));
      const service = this.SUBRULE(this.word);
      this.CONSUME(getKeyword("to"));
      const micros = this.SUBRULE(this.money);
      return { kind: "set_service_price", service, micros };
    },
  );

  private readonly setPolicy = this.RULE("setPolicy", (): ChangeCommand => {
    this.CONSUME(getKeyword("policy"));
    const name = this.SUBRULE(this.word);
    this.CONSUME(getKeyword("to"));
    const value = this.SUBRULE(this.value);
    return { kind: "set_policy", name, value };
  });

  private readonly setTeam = this.RULE("setTeam", (): ChangeCommand => {
    this.CONSUME(getKeyword("team"));
    const team = this.SUBRULE(this.word);
    this.CONSUME(getKeyword("partner"));
    const partner = this.SUBRULE(this.partner);
    const shared = this.OPTION(() => this.CONSUME(getKeyword("shared")));
    const sharedWork = shared !== undefined;
    return { kind: "set_team", team, partner, sharedWork };
  });

  private readonly setTarget = this.RULE("setTarget", (): ChangeCommand => {
    this.CONSUME(getKeyword("target"));
    const targetId = this.SUBRULE1(this.word);
    const kind = this.OR1<TargetSpec["kind"]>([
      { ALT: () => this.takeWord("engine") },
      { ALT: () => this.takeWord("service") },
    ]);
    this.CONSUME(getKeyword("serves"));
    const serves = this.SUBRULE(this.words);
    this.CONSUME(getKeyword("region"));
    const region = this.SUBRULE2(this.word);
    this.CONSUME(getKeyword("domain"));
    const failureDomain = this.SUBRULE3(this.word);
    this.CONSUME(getKeyword("address"));
    const address = this.SUBRULE4(this.word);
    const fencing = this.OPTION(() => {
      this.CONSUME(getKeyword("fencing"));
      return this.OR2<"checked" | "ignored">([
        { ALT: () => this.takeWord("checked") },
        { ALT: () => this.takeWord("ignored") },
      ]);
    });
    const target = {
      targetId,
      kind,
      serves,
      region,
      failureDomain,
      address,
      checksFencing: fencing === "checked",
      leaving: false,
    };
    return { kind: "set_target", target };
  });

  private readonly split = this.RULE("split", (): ChangeCommand => {
    this.CONSUME(getKeyword("split"));
    this.CONSUME(getKeyword("costs"));
    this.CONSUME(getKeyword("of"));
    const costClass = this.OR<CostClass>([
      { ALT: () => this.takeWord("shared") },
      { ALT: () => this.SUBRULE1(this.partner) },
    ]);
    this.OPTION1(() => this.CONSUME(getKeyword("work")));
    const shares: PartnerShare[] = [];
    this.AT_LEAST_ONE(() => {
      shares.push(this.SUBRULE(this.share));
      this.OPTION2(() => this.CONSUME(Comma));
    });
    const remainderTo = this.OPTION3(() => {
      this.CONSUME(getKeyword("remainder"));
      this.CONSUME(getKeyword("to"));
      return this.SUBRULE2(this.partner);
    });
    const change = { kind: "split_costs", costClass, shares } as const;
    return remainderTo === undefined ? change : { ...change, remainderTo };
  });

  private readonly share = this.RULE("share", (): PartnerShare => {
    const partner = this.SUBRULE(this.partner);
    const sharePpm = this.SUBRULE(this.percent);
    return { partner, sharePpm };
  });

  private readonly drain = this.RULE("drain", (): ChangeCommand => {
    this.CONSUME(getKeyword("drain"));
    return this.OR<ChangeCommand>([
      {
        ALT: () => {
          this.CONSUME(getKeyword("target"));
          const targetId = this.SUBRULE1(this.word);
          const draining = this.SUBRULE1(this.draining);
          return { kind: "drain_target", targetId, draining };
        },
      },
      {
        ALT: () => {
          this.CONSUME(getKeyword("vm"));
          const vmId = this.SUBRULE2(this.word);
          const draining = this.SUBRULE2(this.draining);
          return { kind: "drain_vm", vmId, draining };
        },
      },
    ]);
  });

  private readonly draining = this.RULE("draining", (): boolean => {
    const off = this.OPTION(() => this.CONSUME(getKeyword("off")));
    return off === undefined;
  });

  private readonly place = this.RULE("place", (): ChangeCommand => {
    this.CONSUME(getKeyword("place"));
    this.CONSUME(getKeyword("partner"));
    const partner = this.SUBRULE(this.partner);
    const regions = this.OR1<readonly string[]>([
      {
        ALT: () => {
          this.CONSUME(getKeyword("everywhere"));
          return [];
        },
      },
      {
        ALT: () => {
          this.CONSUME(getKeyword("in"));
          this.OR2([
            { ALT: () => this.CONSUME(getKeyword("regions")) },
            { ALT: () => this.CONSUME(getKeyword("region")) },
          ]);
          return this.SUBRULE(this.words);
        },
      },
    ]);
    return { kind: "place_partner", partner, regions };
  });

  private readonly words = this.RULE("words", (): readonly string[] => {
    const words: string[] = [];
    this.AT_LEAST_ONE_SEP({
      SEP: Comma,
      DEF: () => words.push(this.SUBRULE(this.word)),
    });
    return words;
  });

  private readonly word = this.RULE("word", (): string => {
    const token = this.CONSUME(Word);
    return this.ACTION(() => readWord(token));
  });

  private readonly value = this.RULE("value", (): string => {
    const token = this.OR<IToken>([
      { ALT: () => this.CONSUME(Word) },
      { ALT: () => this.CONSUME(NumberText) },
      { ALT: () => this.CONSUME(DateText) },
      { ALT: () => this.CONSUME(Percent) },
    ]);
    return this.ACTION(() => readWord(token));
  });

  private readonly partner = this.RULE("partner", (): Partner => {
    return this.CONSUME(PartnerWord).image.toLowerCase() as Partner;
  });

  private readonly money = this.RULE("money", (): number => {
    const token = this.CONSUME(NumberText);
    return this.readNumber(token, {
      parse: parseMoney,
      expected: "an amount with up to six decimals",
    });
  });

  private readonly percent = this.RULE("percent", (): number => {
    const token = this.CONSUME(Percent);
    return this.readNumber(token, {
      parse: parsePercent,
      expected: "a percentage with up to four decimals",
    });
  });

  private readonly count = this.RULE("count", (): number => {
    const token = this.CONSUME(NumberText);
    return this.readNumber(token, {
      parse: parseCount,
      expected: "a whole number from 0",
    });
  });

  private readonly date = this.RULE("date", (): string => {
    const token = this.CONSUME(DateText);
    this.ACTION(() => {
      if (isDate(token.image)) return;
      this.problems.push({ token, expected: "a date of the calendar" });
    });
    return token.image;
  });

  private takeWord<Text extends Parameters<typeof getKeyword>[0]>(
    word: Text,
  ): Text {
    this.CONSUME(getKeyword(word));
    return word;
  }

  private readNumber(
    token: IToken,
    options: {
      readonly parse: (text: string) => number | undefined;
      readonly expected: string;
    },
  ): number {
    return this.ACTION(() => {
      const number = options.parse(token.image);
      if (number !== undefined) return number;
      this.problems.push({ token, expected: options.expected });
      return 0;
    });
  }
}

function buildOrder(
  change: ChangeCommand,
  ifRevision: Revision | undefined,
): OperatorCommand {
  return ifRevision === undefined
    ? { kind: "change", change }
    : { kind: "change", change, ifRevision };
}

function readWord(token: IToken): string {
  if (token.tokenType !== QuotedText) return token.image;
  return token.image.slice(1, -1).replace(/\\(.)/g, "$1");
}

function parseCount(text: string): number | undefined {
  const count = Number(text);
  return Number.isSafeInteger(count) && count >= 0 ? count : undefined;
}
