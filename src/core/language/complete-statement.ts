/** Completes statements at the prompt. */
import {tokenMatcher, type IToken, type TokenType} from 'chevrotain';
import {possibleNextTypes} from './expected.js';
import {
	memberOf, objectKinds, tableNames, tokenHolders,
} from './names.js';
import {properties} from './object-kinds.js';
import {StatementParser} from './statement-parser.js';
import {tables} from './tables.js';
import {
	holderWord, kindWord, lexer, number, tableWord, word, words,
} from './tokens.js';

export type Completion = {
	/** The last word of the text, which is incomplete; empty after a space. */
	readonly partial: string;
	/** Words that begin with `partial` and are valid at this place. */
	readonly candidates: readonly string[];
};

const parser = new StatementParser();

/** Returns the fields of the queried table, or the properties of the object that is changed or created. */
const fieldNames = (tokens: readonly IToken[]): readonly string[] => {
	const [first, second] = tokens;
	if (first && tokenMatcher(first, tableWord)) {
		return tables[memberOf(tableNames, first.image)].columns.map(({name}) => name);
	}

	if (!second || tokens.length < 3) {
		return [];
	}

	if (tokenMatcher(second, words.sharing) || tokenMatcher(second, words.contract)) {
		return [...properties[second.image === 'sharing' ? 'sharing' : 'contract'].keys()];
	}

	return tokenMatcher(second, kindWord) ? [...properties[memberOf(objectKinds, second.image)].keys()] : [];
};

const candidatesOf = (type: TokenType, tokens: readonly IToken[]): readonly string[] => {
	switch (type) {
		case tableWord: {
			return tableNames;
		}

		case kindWord: {
			return objectKinds;
		}

		case holderWord: {
			return tokenHolders;
		}

		case word: {
			return fieldNames(tokens);
		}

		default: {
			return typeof type.PATTERN === 'string' ? [type.PATTERN] : [];
		}
	}
};

/**
 * Returns the words that may complete the last word of a text.
 *
 * @example
 * completeStatement('teams where back').candidates; // ['backlogged']
 */
export const completeStatement = (text: string): Completion => {
	const partial = /\S*$/v.exec(text)?.[0] ?? '';
	const {tokens} = lexer.tokenize(text.slice(0, text.length - partial.length));
	const nextTypes = possibleNextTypes(parser, tokens);
	const acceptsValue = nextTypes.includes(number);
	const candidates = nextTypes
		.filter(type => !(acceptsValue && type === word))
		.flatMap(type => candidatesOf(type, tokens))
		.filter(candidate => candidate.startsWith(partial) && /^[a-z]/v.test(candidate));
	return {partial, candidates};
};
