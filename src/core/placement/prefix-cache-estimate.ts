/**
 * Estimates which prompt parts the targets have in their prefix caches, by the prompts that
 * this VM sent and that other VMs reported to have sent. An engine evicts the least recently
 * used parts when newer tokens need their memory, so a part counts as cached until as many
 * tokens as the cache holds were sent after it. A part counts as cached only if all parts before it do.
 */
import {hash32} from '../membership/rendezvous.js';
import {type Prompt} from '../dispatch/types.js';

/** Milliseconds after which a part that was not sent again counts as evicted, even if little was sent since then. */
const MAX_IDLE_MS = 30_000;
/** Entries of one target above which the evicted ones are removed. */
const SWEEP_ABOVE_ENTRIES = 2000;
/** Milliseconds from the first send of a part until another target can copy it. In this time, the prompt waits at its target and is prefilled. */
const COPYABLE_AFTER_MS = 400;

/** Describes how a prompt that was sent to a target changes the target's prefix cache. */
export type SentPrompt = {
	readonly target: string;
	/** The prompt's `prefixKeys`. */
	readonly keys: readonly number[];
	/** Tokens that the target adds to its KV cache. */
	readonly newTokens: number;
};

type CachedPart = {
	/** Time since which the part has counted as cached without interruption. */
	readonly sinceMs: number;
	readonly usedMs: number;
	/** Tokens that had been added to the target's KV cache at the last use of the part. */
	readonly addedTokens: number;
};

type TargetCache = {
	/** Parts that the target may have cached, by their prefix keys. */
	readonly parts: Map<number, CachedPart>;
	/** Tokens that were added to the target's KV cache so far. */
	addedTokens: number;
};

export type PrefixCacheEstimate = {
	/** Returns the leading tokens of the prompt that count as cached at the target. */
	readonly keptTokens: (target: string, prompt: Prompt, keys: readonly number[], nowMs: number) => number;
	/** Returns the leading tokens of the prompt that other targets can copy from the target by now. */
	readonly copyableTokens: (target: string, prompt: Prompt, keys: readonly number[], nowMs: number) => number;
	readonly noteSent: (sent: SentPrompt, nowMs: number) => void;
	/** Removes a target whose cache is lost. */
	readonly forget: (target: string) => void;
};

/** Returns a hash of each shared prefix of a prompt, shortest first. No other prompt shares the last part of a prompt, so none of the prefixes includes it. */
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
	const caches = new Map<string, TargetCache>();
	const isCached = ({usedMs, addedTokens}: CachedPart, cache: TargetCache, nowMs: number): boolean =>
		usedMs >= nowMs - MAX_IDLE_MS && cache.addedTokens - addedTokens <= capacityTokens();

	const removeEvicted = (cache: TargetCache, nowMs: number): void => {
		for (const [key, part] of cache.parts) {
			if (!isCached(part, cache, nowMs)) {
				cache.parts.delete(key);
			}
		}
	};

	const leadingTokens = (target: string, {parts}: Prompt, keys: readonly number[], isCounted: (part: CachedPart, cache: TargetCache) => boolean): number => {
		const cache = caches.get(target);
		let tokens = 0;
		for (const [index, key] of keys.entries()) {
			const part = cache?.parts.get(key);
			if (!cache || !part || !isCounted(part, cache)) {
				break;
			}

			tokens += parts[index]?.tokens ?? 0;
		}

		return tokens;
	};

	return {
		keptTokens: (target, prompt, keys, nowMs) => leadingTokens(target, prompt, keys, (part, cache) => isCached(part, cache, nowMs)),
		copyableTokens: (target, prompt, keys, nowMs) =>
			leadingTokens(target, prompt, keys, (part, cache) => isCached(part, cache, nowMs) && part.sinceMs <= nowMs - COPYABLE_AFTER_MS),
		noteSent({target, keys, newTokens}, nowMs) {
			const cache = caches.get(target) ?? {parts: new Map<number, CachedPart>(), addedTokens: 0};
			caches.set(target, cache);
			cache.addedTokens += newTokens;
			for (const key of keys) {
				const part = cache.parts.get(key);
				cache.parts.set(key, {
					sinceMs: part && isCached(part, cache, nowMs) ? part.sinceMs : nowMs, usedMs: nowMs, addedTokens: cache.addedTokens,
				});
			}

			if (cache.parts.size > SWEEP_ABOVE_ENTRIES) {
				removeEvicted(cache, nowMs);
			}
		},
		forget(target) {
			caches.delete(target);
		},
	};
};
