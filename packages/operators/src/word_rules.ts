/**
 * The grammar rules for single words and values.
 *
 * A value that matches the grammar but isn't valid, such as an amount with too
 * many decimals, is recorded as a problem, together with its token.
 */
import type { Partner, Revision } from "@camphorlock/types";
import { EmbeddedActionsParser, type IToken } from "chevrotain";
import { isDate, parseMoney, parsePercent } from "./amount_format.ts";
import {
  Comma,
  DateText,
  getKeyword,
  type Keyword,
  NumberText,
  PartnerWord,
  Percent,
  QuotedText,
  TOKENS,
  Word,
} from "./tokens.ts";

/** A value that matches the grammar but isn't valid. */
export interface StatementProblem {
  readonly token: IToken;
  readonly expected: string;
}

/** The grammar rules for words and values. */
export class WordRules extends EmbeddedActionsParser {
  /** The invalid values of the last statement. */
  problems: StatementProblem[] = [];

  constructor() {
    super([...TOKENS], { recoveryEnabled: false });
  }

  protected readonly words = this.RULE("words", (): readonly string[] => {
    const words: string[] = [];
    this.AT_LEAST_ONE_SEP({
      SEP: Comma,
      DEF: () => words.push(this.SUBRULE(this.word)),
    });
    return words;
  });

  protected readonly word = this.RULE("word", (): string => {
    const token = this.CONSUME(Word);
    return this.ACTION(() => readWord(token));
  });

  protected readonly value = this.RULE("value", (): string => {
    const token = this.OR<IToken>([
      { ALT: () => this.CONSUME(Word) },
      { ALT: () => this.CONSUME(NumberText) },
      { ALT: () => this.CONSUME(DateText) },
      { ALT: () => this.CONSUME(Percent) },
    ]);
    return this.ACTION(() => readWord(token));
  });

  protected readonly partner = this.RULE("partner", (): Partner => {
    return this.CONSUME(PartnerWord).image.toLowerCase() as Partner;
  });

  protected readonly money = this.RULE("money", (): number => {
    const token = this.CONSUME(NumberText);
    return this.readNumber(token, {
      parse: parseMoney,
      expected: "an amount with up to six decimals",
    });
  });

  protected readonly percent = this.RULE("percent", (): number => {
    const token = this.CONSUME(Percent);
    return this.readNumber(token, {
      parse: parsePercent,
      expected: "a percentage with up to four decimals",
    });
  });

  protected readonly count = this.RULE("count", (): number => {
    const token = this.CONSUME(NumberText);
    return this.readNumber(token, {
      parse: parseCount,
      expected: "a whole number from 0",
    });
  });

  protected readonly date = this.RULE("date", (): string => {
    const token = this.CONSUME(DateText);
    this.ACTION(() => {
      if (isDate(token.image)) return;
      this.problems.push({ token, expected: "a date of the calendar" });
    });
    return token.image;
  });

  protected readonly condition = this.RULE(
    "condition",
    (): Revision | undefined => {
      return this.OPTION(() => {
        this.CONSUME(getKeyword("if"));
        this.CONSUME(getKeyword("revision"));
        return this.SUBRULE(this.count);
      });
    },
  );

  protected readKeyword<Text extends Keyword>(
    word: Text,
  ): Text {
    this.CONSUME(getKeyword(word));
    return word;
  }

  protected readNumber(
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

function readWord(token: IToken): string {
  if (token.tokenType !== QuotedText) return token.image;
  return token.image.slice(1, -1).replace(/\\(.)/g, "$1");
}

function parseCount(text: string): number | undefined {
  const count = Number(text);
  return Number.isSafeInteger(count) && count >= 0 ? count : undefined;
}
