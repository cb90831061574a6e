/**
 * What this VM knows of the prompt parts that targets keep: the parts it has sent there
 * lately. A part counts only together with all parts before it.
 */
import {type Prompt} from '../dispatch/types.js';

/** Milliseconds after which a part that was not sent again counts as forgotten. */
const KEPT_MS = 30_000;
/** Entries after which old ones are looked for. */
const SWEEP_AT = 4000;

export type PromptRecord = {
	/** Leading tokens of the prompt that the target is taken to keep, by the prompt's `sharedKeys`. */
	readonly keptTokens: (target: string, prompt: Prompt, keys: readonly string[], nowMs: number) => number;
	readonly noteSent: (target: string, prompt: Prompt, nowMs: number) => void;
	/** Forgets a target that lost its memory. */
	readonly forget: (target: string) => void;
};

/** Keys of a prompt's shared parts, each with all before it; the last part is the request's own. */
export const sharedKeys = ({model, parts}: Prompt): readonly string[] => {
	const keys: string[] = [];
	let key = model;
	for (const {id} of parts.slice(0, -1)) {
		key += `/${id}`;
		keys.push(key);
	}

	return keys;
};

/** A record that knows nothing. */
export const createPromptRecord = (): PromptRecord => {
	const sentMs = new Map<string, Map<string, number>>();
	const sweep = (keys: Map<string, number>, nowMs: number) => {
		for (const [key, time] of keys) {
			if (time < nowMs - KEPT_MS) {
				keys.delete(key);
			}
		}
	};

	return {
		keptTokens(target, {parts}, keys, nowMs) {
			const sent = sentMs.get(target);
			let tokens = 0;
			for (const [index, key] of keys.entries()) {
				const time = sent?.get(key);
				if (time === undefined || time < nowMs - KEPT_MS) {
					break;
				}

				tokens += parts[index]?.tokens ?? 0;
			}

			return tokens;
		},
		noteSent(target, prompt, nowMs) {
			const keys = sentMs.get(target) ?? new Map<string, number>();
			sentMs.set(target, keys);
			for (const key of sharedKeys(prompt)) {
				keys.set(key, nowMs);
			}

			if (keys.size > SWEEP_AT) {
				sweep(keys, nowMs);
			}
		},
		forget(target) {
			sentMs.delete(target);
		},
	};
};
