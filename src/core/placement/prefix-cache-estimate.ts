/**
 * Estimates which prompt parts the targets have in their prefix caches, by the prompts that
 * this VM sent and that other VMs reported to have sent. Replays each engine's cache: all parts
 * of the prompts that were sent to it, the least recently used of which is evicted when they
 * exceed its memory. A part counts as cached only if all parts before it do.
 *
 * Load pattern: shared prefixes that recur every few seconds, among prompts whose own parts fill
 * an engine's memory in 10 s. A prefix that was used again renews its own place, but its tokens
 * still leave less room for the others.
 */
import {hash32} from '../membership/rendezvous.js';
import {type Prompt} from '../dispatch/types.js';

/** Milliseconds after which a part that was not sent again counts as evicted, even if little was sent since then. */
const MAX_IDLE_MS = 30_000;
/** Milliseconds from the first send of a part until another target can copy it. In this time, the prompt waits at its target and is prefilled. */
const COPYABLE_AFTER_MS = 400;

/** Describes how a prompt that was sent to a target changes the target's prefix cache. */
export type SentPrompt = {
	readonly target: string;
	/** The prompt's `prefixKeys`. */
	readonly keys: readonly number[];
	/** Tokens of each shared part, in the order of `keys`. */
	readonly partTokens: readonly number[];
	/** Tokens that only this prompt uses: its last part, and the output that is expected. */
	readonly ownTokens: number;
};

type CachedPart = {
	readonly tokens: number;
	/** Time since which the part has counted as cached without interruption. */
	readonly sinceMs: number;
	readonly usedMs: number;
};

type TargetCache = {
	/** Parts by key, the least recently used one first. Shared parts have their prefix key, other parts a negative number. */
	readonly parts: Map<number, CachedPart>;
	/** Sum of the parts' tokens. */
	tokens: number;
	/** Key of the last part that is not shared. */
	lastOwnKey: number;
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

/** Returns what a prompt adds to the cache of a target. */
export const sentPromptOf = (target: string, {parts, tokens, outputTokens}: Prompt, keys: readonly number[]): SentPrompt => {
	const partTokens = parts.slice(0, keys.length).map(part => part.tokens);
	return {
		target, keys, partTokens, ownTokens: partTokens.reduce((remaining, part) => remaining - part, tokens) + outputTokens,
	};
};

/**
 * Creates an estimate in which all caches are empty.
 *
 * @param capacityTokens - Returns the tokens that the KV cache of one target holds by the active configuration.
 */
export const createPrefixCacheEstimate = (capacityTokens: () => number): PrefixCacheEstimate => {
	const caches = new Map<string, TargetCache>();
	const isRecent = ({usedMs}: CachedPart, nowMs: number): boolean => usedMs >= nowMs - MAX_IDLE_MS;

	const remove = (cache: TargetCache, key: number): void => {
		cache.tokens -= cache.parts.get(key)?.tokens ?? 0;
		cache.parts.delete(key);
	};

	/** Puts a part behind all others, as the most recently used one. */
	const use = (cache: TargetCache, key: number, part: CachedPart): void => {
		remove(cache, key);
		cache.parts.set(key, part);
		cache.tokens += part.tokens;
	};

	const evict = (cache: TargetCache, nowMs: number): void => {
		for (const [key, part] of cache.parts) {
			if (cache.tokens <= capacityTokens() && isRecent(part, nowMs)) {
				return;
			}

			remove(cache, key);
		}
	};

	const leadingTokens = (target: string, {parts}: Prompt, keys: readonly number[], isCounted: (part: CachedPart) => boolean): number => {
		const cached = caches.get(target)?.parts;
		let tokens = 0;
		for (const [index, key] of keys.entries()) {
			const part = cached?.get(key);
			if (!part || !isCounted(part)) {
				break;
			}

			tokens += parts[index]?.tokens ?? 0;
		}

		return tokens;
	};

	return {
		keptTokens: (target, prompt, keys, nowMs) => leadingTokens(target, prompt, keys, part => isRecent(part, nowMs)),
		copyableTokens: (target, prompt, keys, nowMs) =>
			leadingTokens(target, prompt, keys, part => isRecent(part, nowMs) && part.sinceMs <= nowMs - COPYABLE_AFTER_MS),
		noteSent({target, keys, partTokens, ownTokens}, nowMs) {
			const cache = caches.get(target) ?? {parts: new Map<number, CachedPart>(), tokens: 0, lastOwnKey: 0};
			caches.set(target, cache);
			cache.lastOwnKey--;
			use(cache, cache.lastOwnKey, {tokens: ownTokens, sinceMs: nowMs, usedMs: nowMs});
			// A part is useless without those before it, so the last one is evicted first.
			for (const [index, key] of [...keys.entries()].toReversed()) {
				const part = cache.parts.get(key);
				use(cache, key, {tokens: partTokens[index] ?? 0, sinceMs: part && isRecent(part, nowMs) ? part.sinceMs : nowMs, usedMs: nowMs});
			}

			evict(cache, nowMs);
		},
		forget(target) {
			caches.delete(target);
		},
	};
};
