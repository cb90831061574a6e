/** Collects the prompts that this VM sent, for its reports to other VMs, and averages their sizes. */
import {type Prompt} from '../dispatch/types.js';
import {type SentPrompt} from './prefix-cache-estimate.js';

/** Weight of one request in the averages. */
const AVERAGE_WEIGHT = 0.05;

export type SentPrompts = {
	/** Adds a prompt of which the target has to prefill `newTokens`. */
	readonly note: (sent: SentPrompt, prompt: Prompt, newTokens: number) => void;
	/** Returns the prompts that were sent since the last call. */
	readonly take: () => readonly SentPrompt[];
	/** Returns the average number of tokens of a request that the target has to prefill, and that the request occupies in the KV cache. */
	readonly averages: () => {readonly newTokens: number; readonly heldTokens: number};
};

export const createSentPrompts = (): SentPrompts => {
	let sent: SentPrompt[] = [];
	let averages = {newTokens: 0, heldTokens: 0};
	return {
		note(sentPrompt, {tokens, outputTokens}, newTokens) {
			sent.push(sentPrompt);
			averages = {
				newTokens: averages.newTokens + ((newTokens - averages.newTokens) * AVERAGE_WEIGHT),
				heldTokens: averages.heldTokens + ((tokens + outputTokens - averages.heldTokens) * AVERAGE_WEIGHT),
			};
		},
		take() {
			const taken = sent;
			sent = [];
			return taken;
		},
		averages: () => averages,
	};
};
