/** Actual cost of responses, in cost units: one generated token is one unit. */
import {type Usage} from './stream.js';

/** Cost of one prompt token. */
const PROMPT_TOKEN_COST = 0.1;
/** Cost of a response of a plain target that does not state its cost. */
export const PLAIN_CALL_COST = 1;

/** Returns the cost of a model engine's response from its token counts. */
export const usageCost = (usage: Usage): number => usage.completion_tokens + (PROMPT_TOKEN_COST * usage.prompt_tokens);

/** Returns the cost of a plain target's response from its `x-cost` header. */
export const headerCost = (header: string | undefined): number => {
	const cost = Number(header ?? Number.NaN);
	return Number.isFinite(cost) && cost >= 0 ? cost : PLAIN_CALL_COST;
};
