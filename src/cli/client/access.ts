/** Reads the router's address and the operator's token from flags and the environment. */
import {readFile} from 'node:fs/promises';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {TokenFileUnreadable} from './client-errors-data.js';
import {type RouterAccess} from './router-client.js';

export const ROUTER_VARIABLE = 'JACKDAWWOOD_ROUTER';
export const TOKEN_VARIABLE = 'JACKDAWWOOD_TOKEN';
export const DEFAULT_ROUTER = '127.0.0.1:8082';
export const DEFAULT_TIMEOUT_MS = 10_000;

export type AccessFlags = {
	readonly router: string | undefined;
	readonly tokenFile: string | undefined;
	readonly timeoutMs: number;
};

const readToken = async (file: string): Promise<string> => {
	try {
		const text = await readFile(file, 'utf8');
		return text.trim();
	} catch (error) {
		throw new JackdawwoodError(TokenFileUnreadable, {file}, error instanceof Error ? error : undefined);
	}
};

/** Flags take precedence over environment variables. Throws `TokenFileUnreadable`. */
export const readAccess = async ({router, tokenFile, timeoutMs}: AccessFlags, env: Readonly<Record<string, string | undefined>>): Promise<RouterAccess> => ({
	router: router ?? env[ROUTER_VARIABLE] ?? DEFAULT_ROUTER,
	token: tokenFile === undefined ? env[TOKEN_VARIABLE] : await readToken(tokenFile),
	timeoutMs,
});
