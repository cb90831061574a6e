/**
 * Estimates which prompt parts the targets have in their prefix caches, by the prompts that
 * this VM sent and that other VMs reported to have sent. An engine evicts the least recently
 * used parts when newer tokens need their memory, so a part counts as cached until as many
 * tokens as the cache holds were sent after it. A part counts only together with all parts before it.
 */
import {hash32} from '../membership/rendezvous.js';
import {type Prompt} from '../dispatch/types.js';

/** Milliseconds after which a part that was not sent again counts as evicted, even if little was sent since then. */
const KEPT_MS = 30_000;
/** Entries of one target above which the evicted ones are removed. */
const SWEEP_AT = 2000;
/** Milliseconds from the first send of a part until another target can copy it: the prompt waits and is prefilled first. */
const COPY_AFTER_MS = 400;

/** A prompt that was sent to a target, as far as it changes the target's prefix cache. */
export type SentPrompt = {
	readonly target: string;
	/** The prompt's `prefixKeys`. */
	readonly keys: readonly number[];
	/** Tokens that the target adds to its KV cache. */
	readonly newTokens: number;
};

type Part = {
	/** Time since which the part counts as cached without a gap. */
	readonly sinceMs: number;
	readonly usedMs: number;
	/** Tokens that had been added to the target's KV cache at the last use of the part. */
	readonly addedTokens: number;
};

type Kept = {
	/** Parts that the target may have cached, by their prefix keys. */
	readonly parts: Map<number, Part>;
	/** Tokens that were added to the target's KV cache so far. */
	addedTokens: number;
};

export type PrefixCacheEstimate = {
	/** Returns the leading tokens of the prompt that count as cached at the target. */
	readonly keptTokens: (target: string, prompt: Prompt, keys: readonly number[], nowMs: number) => number;
	/** Returns the leading tokens of the prompt that other targets can copy from the target already. */
	readonly copyableTokens: (target: string, prompt: Prompt, keys: readonly number[], nowMs: number) => number;
	readonly noteSent: (sent: SentPrompt, nowMs: number) => void;
	/** Removes a target whose cache is lost. */
	readonly forget: (target: string) => void;
};

/** Returns a hash of each shared prefix of a prompt, shortest first. The last part of a prompt is its own and in none of them. */
export const prefixKeys = ({model, parts}: Prompt): readonly number[] => {
	const keys: number[] = [];
	let path = model;
	for (const {id} of parts.slice(0, -1)) {
		path += `/${id}`;
		keys.push(hash32(path));
	}

	return keys;
};

/**
 * Creates an estimate in which all caches are empty.
 *
 * @param capacityTokens - Returns the tokens that the KV cache of one target holds by the active configuration.
 */
export const createPrefixCacheEstimate = (capacityTokens: () => number): PrefixCacheEstimate => {
	const keptBy = new Map<string, Kept>();
	const isKept = ({usedMs, addedTokens}: Part, kept: Kept, nowMs: number): boolean =>
		usedMs >= nowMs - KEPT_MS && kept.addedTokens - addedTokens <= capacityTokens();

	const sweep = (kept: Kept, nowMs: number): void => {
		for (const [key, part] of kept.parts) {
			if (!isKept(part, kept, nowMs)) {
				kept.parts.delete(key);
			}
		}
	};

	const leadingTokens = (target: string, {parts}: Prompt, keys: readonly number[], isMeant: (part: Part, kept: Kept) => boolean): number => {
		const kept = keptBy.get(target);
		let tokens = 0;
		for (const [index, key] of keys.entries()) {
			const part = kept?.parts.get(key);
			if (!kept || !part || !isMeant(part, kept)) {
				break;
			}

			tokens += parts[index]?.tokens ?? 0;
		}

		return tokens;
	};

	return {
		keptTokens: (target, prompt, keys, nowMs) => leadingTokens(target, prompt, keys, (part, kept) => isKept(part, kept, nowMs)),
		copyableTokens: (target, prompt, keys, nowMs) =>
			leadingTokens(target, prompt, keys, (part, kept) => isKept(part, kept, nowMs) && part.sinceMs <= nowMs - COPY_AFTER_MS),
		noteSent({target, keys, newTokens}, nowMs) {
			const kept = keptBy.get(target) ?? {parts: new Map<number, Part>(), addedTokens: 0};
			keptBy.set(target, kept);
			kept.addedTokens += newTokens;
			for (const key of keys) {
				const part = kept.parts.get(key);
				kept.parts.set(key, {
					sinceMs: part && isKept(part, kept, nowMs) ? part.sinceMs : nowMs, usedMs: nowMs, addedTokens: kept.addedTokens,
				});
			}

			if (kept.parts.size > SWEEP_AT) {
				sweep(kept, nowMs);
			}
		},
		forget(target) {
			keptBy.delete(target);
		},
	};
};
