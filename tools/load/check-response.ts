/** Checks that a response is complete and belongs to its request. */
import * as z from 'zod';
import {checkOutput} from '../../standins/engine/tokens.js';
import {type Attempt, type RequestPlan} from './types.js';

/** Cost units per prompt token; an output token costs 1. */
const PROMPT_TOKEN_COST = 0.1;

/** Token counts in the response of a model engine. */
export const usageSchema = z.object({prompt_tokens: z.number(), completion_tokens: z.number()});

/** A choice of a model response: `text` in a completion, `message` in a chat, `delta` in a streamed chat. */
export const choiceSchema = z.object({
	text: z.string().optional(),
	message: z.object({content: z.string()}).optional(),
	delta: z.object({content: z.string().optional()}).optional(),
});

const completionSchema = z.object({choices: z.array(choiceSchema).min(1), usage: usageSchema});

const plainSchema = z.object({debit_id: z.string().optional(), id: z.string().optional()});

/** Returns the cost of a model response in cost units. */
export const costOf = (usage: z.output<typeof usageSchema>): number =>
	usage.completion_tokens + (PROMPT_TOKEN_COST * usage.prompt_tokens);

/** Parses a text as JSON; returns undefined if it is not valid. */
export const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

/** Returns the outcome of an attempt whose response is missing, malformed or incomplete. */
export const lostAttempt = (requestId: string, detail: string): Attempt => ({kind: 'lost', requestId, detail});

const checkCompletion = (plan: RequestPlan, text: string, requestId: string): Attempt => {
	const result = completionSchema.safeParse(parseJson(text));
	if (!result.success) {
		return lostAttempt(requestId, `malformed response: ${text.slice(0, 100)}`);
	}

	const [choice] = result.data.choices;
	const output = choice?.text ?? choice?.message?.content ?? '';
	const fault = checkOutput(output, plan.wanted);
	if (fault === 'crossed') {
		return {kind: 'crossed', requestId, detail: output.slice(0, 60)};
	}

	return fault ? lostAttempt(requestId, `truncated output, ends with: ${output.slice(-60)}`) : {kind: 'answered', requestId, cost: costOf(result.data.usage)};
};

const checkPlain = (plan: RequestPlan, text: string, requestId: string, cost: number): Attempt => {
	const result = plainSchema.safeParse(parseJson(text));
	if (!result.success) {
		return lostAttempt(requestId, `malformed response: ${text.slice(0, 100)}`);
	}

	const id = plan.kind === 'debit' ? result.data.debit_id : result.data.id;
	return id === plan.nonce
		? {kind: 'answered', requestId, cost}
		: {kind: 'crossed', requestId, detail: `response carries the id ${id ?? 'none'}`};
};

/** Checks a response body that was not streamed. */
export const checkBody = (plan: RequestPlan, text: string, requestId: string, cost: number): Attempt =>
	plan.kind === 'completion' || plan.kind === 'chat'
		? checkCompletion(plan, text, requestId)
		: checkPlain(plan, text, requestId, cost);

/** Body of the error response with which a router refuses a request. */
export const refusalSchema = z.object({
	error: z.object({
		name: z.string(),
		not_run: z.boolean(),
		retry_after_ms: z.number().nullish(),
		request_id: z.string().nullish(),
	}),
});

/** Parses the body of a response with an error status; one that is not a refusal counts as a lost response. */
export const readRefusal = (text: string, status: number, requestId: string): Attempt => {
	const result = refusalSchema.safeParse(parseJson(text));
	if (!result.success) {
		return lostAttempt(requestId, `status ${status} without a refusal: ${text.slice(0, 100)}`);
	}

	const {name, not_run: notRun, retry_after_ms: retryAfterMs, request_id: id} = result.data.error;
	return {
		kind: 'refused', requestId: id ?? requestId, reason: name, notRun, retryAfterMs: retryAfterMs ?? 0,
	};
};
