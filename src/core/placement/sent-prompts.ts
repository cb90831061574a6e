/** What this VM sent: prompts for the report to the other VMs, and what a request takes on average. */
import {type Prompt} from '../dispatch/types.js';
import {type SentPrompt} from './prefix-cache-estimate.js';

/** Weight of one request in averages. */
const AVERAGE_WEIGHT = 0.05;

export type SentPrompts = {
	/** Notes a prompt of which the target has to read `newTokens`. */
	readonly note: (sent: SentPrompt, prompt: Prompt, newTokens: number) => void;
	/** Prompts that were sent since the last call. */
	readonly take: () => readonly SentPrompt[];
	/** Tokens that a request has to read, and that it keeps in memory, on average. */
	readonly averages: () => {readonly newTokens: number; readonly heldTokens: number};
};

export const createSentPrompts = (): SentPrompts => {
	let sent: SentPrompt[] = [];
	let averages = {newTokens: 0, heldTokens: 0};
	return {
		note(prompt, {tokens, outputTokens}, newTokens) {
			sent.push(prompt);
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
