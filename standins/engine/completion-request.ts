/** Request bodies of the model engines' protocol. */
import * as z from 'zod';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {StandinBodyInvalid} from '../shared/errors-data.js';
import {promptTokens, parseWanted, type ExpectedOutput} from './tokens.js';

const DEFAULT_MAX_TOKENS = 16;
const MAX_TOKENS = 100_000;

const bodySchema = z.looseObject({
	model: z.string().default(''),
	prompt: z.string().optional(),
	messages: z.array(z.looseObject({role: z.string(), content: z.string()})).optional(),
	max_tokens: z.number().int().positive().max(MAX_TOKENS).default(DEFAULT_MAX_TOKENS),
	stream: z.boolean().default(false),
	/** Name of the caller's user; the load generator sets it to the team. */
	user: z.string().default(''),
});

export type CompletionRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly wanted: ExpectedOutput;
	readonly stream: boolean;
	readonly chat: boolean;
	readonly team: string;
};

/** Parses a request body. Throws `StandinBodyInvalid` if it is not valid. */
export const parseCompletionRequest = (json: unknown, chat: boolean): CompletionRequest => {
	const result = bodySchema.safeParse(json);
	if (!result.success) {
		throw new JackdawwoodError(StandinBodyInvalid, {fault: z.prettifyError(result.error)});
	}

	const {model, prompt, messages, max_tokens: maxTokens, stream, user} = result.data;
	const text = prompt ?? (messages ?? []).map(({content}) => content).join('\n');
	const wanted = parseWanted(text, maxTokens);
	return {
		model, prompt: text, stream, chat, team: user,
		promptTokens: promptTokens(text),
		wanted: {...wanted, tokens: Math.max(1, Math.min(wanted.tokens, MAX_TOKENS))},
	};
};
