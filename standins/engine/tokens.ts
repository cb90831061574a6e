/**
 * Output of the engine stand-in. Each token is derived from a nonce and its index, so that
 * a caller can tell a complete response to its own prompt from any other.
 */
import {createHash} from 'node:crypto';

/** Output that a prompt asks for. */
export type ExpectedOutput = {readonly nonce: string; readonly tokens: number};

const TOKEN_PATTERN = /(?<nonce>[a-z\d]+)\.(?<index>\d+)/gv;

/** Returns the text of one token. */
export const tokenText = (nonce: string, index: number): string => `${nonce}.${index} `;

/** Returns the complete output for a prompt. */
export const outputText = ({nonce, tokens}: ExpectedOutput): string =>
	Array.from({length: tokens}, (_, index) => tokenText(nonce, index)).join('');

/** Returns the number of tokens of a prompt: each word counts as one. */
export const promptTokens = (prompt: string): number => prompt.split(/\s+/v).filter(word => word !== '').length;

/**
 * Returns the output that `nonce=` and `tokens=` in the prompt ask for. Without them the
 * nonce is a hash of the prompt, and the output has `maxTokens` tokens.
 */
export const parseWanted = (prompt: string, maxTokens: number): ExpectedOutput => {
	const nonce = /nonce=(?<nonce>[a-z\d]+)/v.exec(prompt)?.groups?.nonce;
	const tokens = /tokens=(?<tokens>\d+)/v.exec(prompt)?.groups?.tokens;
	return {
		nonce: nonce ?? createHash('sha256').update(prompt).digest('hex').slice(0, 8),
		tokens: tokens === undefined ? maxTokens : Number(tokens),
	};
};

/** Fault of a response. `crossed`: it has tokens of another prompt. `short`: it is incomplete. */
export type OutputFault = 'crossed' | 'short';

/** Compares a response with the output that its prompt asked for; undefined if they are equal. */
export const checkOutput = (text: string, wanted: ExpectedOutput): OutputFault | undefined => {
	const found = [...text.matchAll(TOKEN_PATTERN)];
	if (found.some(match => match.groups?.nonce !== wanted.nonce)) {
		return 'crossed';
	}

	return text === outputText(wanted) ? undefined : 'short';
};
