/** Parses one statement of the operators' language. */
import {EOF, tokenMatcher, type IToken} from 'chevrotain';
import {JackdawwoodError} from '../errors/jackdawwood-error.js';
import {checkFields} from './check-fields.js';
import {StatementSyntax, StatementTooDeep, StatementTooLong} from './errors-data.js';
import {describeExpected, explainRejection} from './expected.js';
import {StatementParser} from './statement-parser.js';
import {lexer, openParenthesis, reservedWords} from './tokens.js';
import {type Statement} from './types.js';

/** Most UTF-16 units in a statement. */
export const MAX_STATEMENT_LENGTH = 2000;

/** Most parentheses and negations in one statement. The limit bounds the recursion of the parser. */
const MAX_NESTING = 50;

/** A statement, or the error in the text. */
export type ParsedStatement =
	| {readonly statement: Statement; readonly fault?: undefined}
	| {readonly statement?: undefined; readonly fault: JackdawwoodError};

const parser = new StatementParser();

const syntaxFault = (column: number, found: string, expected: string): ParsedStatement =>
	({fault: new JackdawwoodError(StatementSyntax, {column, found, expected})});

const columnNumberOf = (token: IToken | undefined, text: string): number => token ? token.startOffset + 1 : text.length + 1;

const tokenFault = (text: string, tokens: readonly IToken[], rejected: IToken): ParsedStatement => {
	const {index, expected} = explainRejection(parser, tokens, rejected);
	const token = tokens[index];
	return syntaxFault(columnNumberOf(token, text), token ? token.image : 'the end', expected);
};

/**
 * Parses one statement. The column of a fault counts UTF-16 units from 1, and is one
 * past the end of the text when the statement is incomplete.
 *
 * @example
 * parseStatement('teams where backlogged sort by behind desc limit 5').statement;
 */
export const parseStatement = (text: string): ParsedStatement => {
	if (text.length > MAX_STATEMENT_LENGTH) {
		return {fault: new JackdawwoodError(StatementTooLong, {length: text.length, limit: MAX_STATEMENT_LENGTH})};
	}

	const {tokens, errors: [lexingError]} = lexer.tokenize(text);
	const lexedTokens = lexingError ? tokens.filter(({startOffset}) => startOffset < lexingError.offset) : tokens;
	const nestingTokens = lexedTokens.filter(token => tokenMatcher(token, openParenthesis) || tokenMatcher(token, reservedWords.not));
	const firstExcess = nestingTokens[MAX_NESTING];
	if (firstExcess) {
		return {fault: new JackdawwoodError(StatementTooDeep, {column: columnNumberOf(firstExcess, text), limit: MAX_NESTING})};
	}

	parser.load(lexedTokens);
	const statement = parser.statement();
	const uses = parser.fieldUses;
	const [rejected] = parser.errors;
	if (lexingError && (!rejected || rejected.token.tokenType === EOF)) {
		return syntaxFault(lexingError.offset + 1, text.slice(lexingError.offset, lexingError.offset + 1), describeExpected(parser, lexedTokens));
	}

	if (rejected) {
		return tokenFault(text, lexedTokens, rejected.token);
	}

	const fault = checkFields(statement, uses);
	return fault ? {fault} : {statement};
};
