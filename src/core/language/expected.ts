/** Finds the first token of a statement that is not valid, and the tokens that would be valid in its place. */
import {
	EOF, tokenMatcher, type IToken, type TokenType,
} from 'chevrotain';
import {type StatementParser} from './statement-parser.js';

const END_LABEL = 'the end of the statement';
const MAX_LISTED_LABELS = 12;

/** Returns the token types that may follow the tokens. */
export const possibleNextTypes = (parser: StatementParser, tokens: readonly IToken[]): readonly TokenType[] => {
	const paths = parser.computeContentAssist('statement', [...tokens]);
	return [...new Set(paths.map(({nextTokenType}) => nextTokenType))];
};

const isCompleteStatement = (parser: StatementParser, tokens: readonly IToken[]): boolean => {
	parser.load(tokens);
	parser.statement();
	return parser.errors.length === 0;
};

/** Returns the index of the first token from `start` that is not valid in its place; the number of tokens when all are. */
const findRejectedIndex = (parser: StatementParser, tokens: readonly IToken[], start: number): number => {
	let index = start;
	for (; index < tokens.length; index++) {
		const token = tokens[index];
		const isAccepted = possibleNextTypes(parser, tokens.slice(0, index)).some(type => token && tokenMatcher(token, type));
		if (!isAccepted) {
			return index;
		}
	}

	return index;
};

/** Returns the names of token types that error messages show. */
const labelsOf = (types: readonly TokenType[]): readonly string[] =>
	types.map(({LABEL: label, name}) => label ?? name);

/** The place of a syntax error, and what is valid there. */
export type Expectation = {
	/** Index of the token that is not valid; the number of tokens when the statement is incomplete. */
	readonly index: number;
	/** Labels of the valid tokens, as a list in words. */
	readonly expected: string;
};

/** Describes what may follow the tokens, as a list in words of at most 12 labels. */
export const describeExpected = (parser: StatementParser, tokens: readonly IToken[]): string => {
	const nextLabels = labelsOf(possibleNextTypes(parser, tokens));
	const allLabels = isCompleteStatement(parser, tokens) ? [...nextLabels, END_LABEL] : nextLabels;
	const listedLabels = allLabels.length > MAX_LISTED_LABELS ? [...allLabels.slice(0, MAX_LISTED_LABELS), 'others'] : allLabels;
	return listedLabels.length === 0 ? END_LABEL : listedLabels.join(', ').replace(/, (?=[^,]*$)/v, ' or ');
};

/** Explains why the parser rejected the tokens; `rejected` is the token at which it stopped. */
export const explainRejection = (parser: StatementParser, tokens: readonly IToken[], rejected: IToken): Expectation => {
	const rejectedIndex = tokens.indexOf(rejected);
	const start = rejected.tokenType === EOF || rejectedIndex === -1 ? tokens.length : rejectedIndex;
	const index = findRejectedIndex(parser, tokens, start);
	return {index, expected: describeExpected(parser, tokens.slice(0, index))};
};
