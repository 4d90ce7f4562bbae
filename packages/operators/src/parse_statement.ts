/**
 * Parses statements of the operator language and describes the first error of
 * an invalid one.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { findNearestName } from "@camphorlock/scheduler";
import type { OperatorCommand } from "@camphorlock/types";
import { EOF, type IToken, Lexer } from "chevrotain";
import { err, ok, type Result } from "neverthrow";
import { StatementParser } from "./statement_parser.ts";
import { listTexts, TOKENS } from "./tokens.ts";

/** Length of the longest accepted statement, in UTF-16 code units. */
export const MAX_STATEMENT_LENGTH = 4_096;

const MAX_LISTED_EXPECTATIONS = 16;

const lexer = new Lexer([...TOKENS], { ensureOptimizations: false });
const parser = new StatementParser();

/**
 * Parses one statement.
 *
 * Fails with `StatementInvalid`, whose detail states the line, the column, the
 * text found, the texts expected there and the nearest of these.
 */
export function parseStatement(text: string): Result<OperatorCommand, Failure> {
  if (text.length > MAX_STATEMENT_LENGTH) {
    const detail = `a statement has at most ${MAX_STATEMENT_LENGTH} characters`;
    return err(createFailure("StatementInvalid", detail));
  }
  const { tokens, errors } = lexer.tokenize(text);
  const lexingError = errors[0];
  if (lexingError !== undefined) {
    const found = text.slice(
      lexingError.offset,
      lexingError.offset + lexingError.length,
    );
    return err(buildStatementFailure({
      line: lexingError.line ?? 1,
      column: lexingError.column ?? 1,
      found: JSON.stringify(found),
      expected: listExpected(tokens.filter((token) => {
        return token.startOffset < lexingError.offset;
      })),
    }));
  }
  return parseTokens(text, tokens);
}

function parseTokens(
  text: string,
  tokens: IToken[],
): Result<OperatorCommand, Failure> {
  parser.input = tokens;
  parser.problems = [];
  const command = parser.statement();
  const error = parser.errors[0];
  if (error !== undefined) {
    return err(buildTokenFailure(text, tokens, error.token));
  }
  const problem = parser.problems[0];
  if (problem === undefined) return ok(command);
  return err(buildStatementFailure({
    line: problem.token.startLine ?? 1,
    column: problem.token.startColumn ?? 1,
    found: problem.token.image,
    expected: [problem.expected],
  }));
}

function buildTokenFailure(
  text: string,
  tokens: readonly IToken[],
  token: IToken,
): Failure {
  const isEnd = token.tokenType === EOF;
  const index = isEnd ? tokens.length : tokens.indexOf(token);
  const expected = listExpected(tokens.slice(0, index));
  if (!isEnd) {
    const { image: found, startLine, startColumn } = token;
    const line = startLine ?? 1;
    return buildStatementFailure({
      line,
      column: startColumn ?? 1,
      found,
      expected,
    });
  }
  const lines = text.trimEnd().split("\n");
  const column = (lines.at(-1) ?? "").length + 1;
  const found = "the end of the statement";
  return buildStatementFailure({ line: lines.length, column, found, expected });
}

/** Lists the texts that the grammar allows after the given tokens. */
function listExpected(before: readonly IToken[]): readonly string[] {
  const paths = parser.computeContentAssist("statement", [...before]);
  const texts = paths.flatMap((path) => listTexts(path.nextTokenType));
  return texts.length === 0 ? ["the end of the statement"] : [
    ...new Set(texts),
  ];
}

function buildStatementFailure(error: {
  readonly line: number;
  readonly column: number;
  readonly found: string;
  readonly expected: readonly string[];
}): Failure {
  const { line, column, found, expected } = error;
  const nearest = findNearestName(found, expected);
  const hint = nearest === undefined ? "" : `; did you mean ${nearest}?`;
  const listed = expected.slice(0, MAX_LISTED_EXPECTATIONS).join(", ");
  const expectation = expected.length > 1 ? `one of ${listed}` : listed;
  const detail = `line ${line}, column ${column}: found ${found}, ` +
    `expected ${expectation}${hint}`;
  return createFailure("StatementInvalid", detail);
}
