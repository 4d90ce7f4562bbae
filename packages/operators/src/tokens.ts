/**
 * The tokens of the operator language.
 *
 * Keywords aren't reserved words: a keyword is accepted wherever a name is
 * expected, since all keywords belong to the category `Word`.
 */
import { PARTNERS, SHOW_SUBJECTS } from "@camphorlock/types";
import { createToken, Lexer, type TokenType } from "chevrotain";

/** Any keyword, name or quoted text. */
export const Word = createToken({
  name: "Word",
  label: "a name",
  pattern: Lexer.NA,
});

/** A partner's name. */
export const PartnerWord = createToken({
  name: "PartnerWord",
  label: "a partner",
  pattern: Lexer.NA,
  categories: Word,
});

/** The name of a table that `show` reads. */
export const SubjectWord = createToken({
  name: "SubjectWord",
  label: "a table",
  pattern: Lexer.NA,
  categories: Word,
});

/** A name that isn't a keyword. */
export const Name = createToken({
  name: "Name",
  label: "a name",
  pattern: /[A-Za-z_][\w.:/-]*/,
  categories: Word,
});

/** A name that begins with a digit, such as an address or a digest. */
export const DigitName = createToken({
  name: "DigitName",
  label: "a name",
  pattern: /\d[\w.:/-]*[A-Za-z_:/][\w.:/-]*/,
  categories: Word,
});

/** Text in double quotes; a backslash quotes the next character. */
export const QuotedText = createToken({
  name: "QuotedText",
  label: "quoted text",
  pattern: /"(?:[^"\\]|\\.)*"/,
  categories: Word,
});

/** An ISO date. */
export const DateText = createToken({
  name: "DateText",
  label: "a date (YYYY-MM-DD)",
  pattern: /\d{4}-\d{2}-\d{2}/,
});

/** A percentage. */
export const Percent = createToken({
  name: "Percent",
  label: "a percentage",
  pattern: /-?\d+(?:\.\d+)?%/,
});

/** A number; amounts of money have up to six decimals. */
export const NumberText = createToken({
  name: "NumberText",
  label: "a number",
  pattern: /-?\d+(?:\.\d+)?/,
});

/** The comparisons of filters. */
export const Comparison = createToken({
  name: "Comparison",
  label: "a comparison (= != < <= > >=)",
  pattern: /<=|>=|!=|=|<|>/,
});

/** Separates the items of a list. */
export const Comma = createToken({ name: "Comma", label: ",", pattern: /,/ });

const WhiteSpace = createToken({
  name: "WhiteSpace",
  pattern: /\s+/,
  group: Lexer.SKIPPED,
});

const KEYWORDS = [
  "show",
  "explain",
  "set",
  "split",
  "drain",
  "place",
  "stop",
  "where",
  "and",
  "order",
  "by",
  "desc",
  "asc",
  "limit",
  "as",
  "of",
  "if",
  "revision",
  "statement",
  "partner",
  "from",
  "to",
  "budget",
  "program",
  "default",
  "team",
  "price",
  "model",
  "service",
  "prompt",
  "cached",
  "completion",
  "policy",
  "target",
  "engine",
  "serves",
  "region",
  "regions",
  "domain",
  "address",
  "fencing",
  "checked",
  "ignored",
  "costs",
  "work",
  "shared",
  "remainder",
  "vm",
  "off",
  "in",
  "everywhere",
  "call",
  "charge",
] as const;

/** A keyword of the language. */
export type Keyword = typeof KEYWORDS[number];

const keywordTokens = new Map(
  KEYWORDS.map((word) => [word, createKeyword(word, Word)] as const),
);
const partnerTokens = PARTNERS.map((word) => createKeyword(word, PartnerWord));
const subjectTokens = SHOW_SUBJECTS.map((word) =>
  createKeyword(word, SubjectWord)
);

/** Gets the token of a keyword. */
export function getKeyword(word: Keyword): TokenType {
  const token = keywordTokens.get(word);
  if (token === undefined) throw new TypeError(`unknown keyword ${word}`);
  return token;
}

/** Every token, in the order in which the lexer tries them. */
export const TOKENS: readonly TokenType[] = [
  WhiteSpace,
  QuotedText,
  DigitName,
  DateText,
  Percent,
  NumberText,
  ...sortByLength([
    ...partnerTokens,
    ...subjectTokens,
    ...keywordTokens.values(),
  ]),
  Name,
  Comparison,
  Comma,
  Word,
  PartnerWord,
  SubjectWord,
];

/** Lists the texts by which messages describe a token type. */
export function listTexts(token: TokenType): readonly string[] {
  if (token === PartnerWord) return PARTNERS;
  if (token === SubjectWord) return SHOW_SUBJECTS;
  return [token.LABEL ?? token.name];
}

/** Sorts a keyword before the shorter ones that it begins with. */
function sortByLength(tokens: readonly TokenType[]): readonly TokenType[] {
  return [...tokens].sort((a, b) => b.name.length - a.name.length);
}

function createKeyword(word: string, category: TokenType): TokenType {
  return createToken({
    name: `Keyword_${word}`,
    label: word,
    pattern: new RegExp(word, "i"),
    longer_alt: Name,
    categories: category,
  });
}
