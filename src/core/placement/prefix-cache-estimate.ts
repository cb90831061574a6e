/**
 * What this VM knows of the prompt parts that targets keep: the parts that were sent
 * there, by this VM or, as they report, by others. An engine drops the parts that were
 * used least recently when newer tokens need their memory, so a part counts as kept until
 * that many tokens were sent after it. A part counts only together with all parts before it.
 */
import {hash32} from '../membership/rendezvous.js';
import {type Prompt} from '../dispatch/types.js';

/** Milliseconds after which a part that was not sent again counts as forgotten, however little was sent since. */
const KEPT_MS = 30_000;
/** Entries of one target after which old ones are looked for. */
const SWEEP_AT = 2000;
/** Milliseconds from the first send of a part until another target can copy it: it waits and is read first. */
const COPY_AFTER_MS = 400;

/** A request that was sent to a target, as far as it changes what the target keeps. */
export type SentPrompt = {
	readonly target: string;
	/** The prompt's `sharedKeys`. */
	readonly keys: readonly number[];
	/** Tokens that the target adds to its memory. */
	readonly newTokens: number;
};

type Part = {
	/** Start of the time for which the target is taken to keep the part. */
	readonly sinceMs: number;
	readonly usedMs: number;
	/** Tokens that had been added to the target's memory at the last use. */
	readonly addedTokens: number;
};

type Kept = {
	readonly parts: Map<number, Part>;
	addedTokens: number;
};

export type PrefixCacheEstimate = {
	/** Leading tokens of the prompt that the target is taken to keep. */
	readonly keptTokens: (target: string, prompt: Prompt, keys: readonly number[], nowMs: number) => number;
	/** Those of them that other targets can copy already. */
	readonly copyableTokens: (target: string, prompt: Prompt, keys: readonly number[], nowMs: number) => number;
	readonly noteSent: (sent: SentPrompt, nowMs: number) => void;
	/** Forgets a target that lost its memory. */
	readonly forget: (target: string) => void;
};

/** Hashes of a prompt's shared parts, each with all before it; the last part is the request's own. */
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
 * A record that knows nothing.
 *
 * @param capacityTokens - Tokens that one target keeps, as now in force.
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
