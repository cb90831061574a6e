/** Finds where a statement stops making sense, and what could stand there instead. */
import {
	EOF, tokenMatcher, type IToken, type TokenType,
} from 'chevrotain';
import {type StatementParser} from './statement-parser.js';

const END_LABEL = 'the end of the statement';
const MAX_LISTED_LABELS = 12;

/** Token types that may follow the tokens. */
export const possibleNextTypes = (parser: StatementParser, tokens: readonly IToken[]): readonly TokenType[] => {
	const paths = parser.computeContentAssist('statement', [...tokens]);
	return [...new Set(paths.map(({nextTokenType}) => nextTokenType))];
};

const isCompleteStatement = (parser: StatementParser, tokens: readonly IToken[]): boolean => {
	parser.load(tokens);
	parser.statement();
	return parser.errors.length === 0;
};

/** Index of the first token that cannot stand where it does. */
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

/** How the token types are named to people. */
const labelsOf = (types: readonly TokenType[]): readonly string[] =>
	types.map(({LABEL: label, name}) => label ?? name);

/** A place in a statement and what could stand there. */
export type Expectation = {
	/** Index of the token at fault; the number of tokens when more were expected. */
	readonly index: number;
	/** What could stand there, as a list in words. */
	readonly expected: string;
};

/** Describes what could follow the tokens. */
export const describeExpected = (parser: StatementParser, tokens: readonly IToken[]): string => {
	const nextLabels = labelsOf(possibleNextTypes(parser, tokens));
	const allLabels = isCompleteStatement(parser, tokens) ? [...nextLabels, END_LABEL] : nextLabels;
	const listedLabels = allLabels.length > MAX_LISTED_LABELS ? [...allLabels.slice(0, MAX_LISTED_LABELS), 'others'] : allLabels;
	return listedLabels.length === 0 ? END_LABEL : listedLabels.join(', ').replace(/, (?=[^,]*$)/v, ' or ');
};

/** Explains why the parser rejected the tokens; `rejected` is the token it stopped at. */
export const explainRejection = (parser: StatementParser, tokens: readonly IToken[], rejected: IToken): Expectation => {
	const rejectedIndex = tokens.indexOf(rejected);
	const start = rejected.tokenType === EOF || rejectedIndex === -1 ? tokens.length : rejectedIndex;
	const index = findRejectedIndex(parser, tokens, start);
	return {index, expected: describeExpected(parser, tokens.slice(0, index))};
};
