/** Finds the target that prompts with a shared prefix are sent to, and a target that the prefix can be copied from. */
import {hash32} from '../membership/rendezvous.js';
import {type Prompt} from '../dispatch/types.js';
import {type TargetView} from './target-view.js';
import {type PrefixCacheEstimate} from './prefix-cache-estimate.js';

/** Number of preferred targets of a prefix; prompts go to the second and third one while the first is busy. */
const PREFERRED_TARGETS = 3;

/** Where a prompt's shared prefix is cached. */
export type PrefixHolder = {
	/** The target that prompts with this prefix are sent to. */
	readonly target: TargetView;
	/** The target from which others can copy most of the prefix now. */
	readonly source: TargetView | undefined;
	/** Leading tokens that can be copied from the source. */
	readonly copyableTokens: number;
};

export type PrefixContext = {
	/** Targets that are not draining, leaving, misdirected or in an excluded data centre. */
	readonly targets: readonly TargetView[];
	/** Targets that are not cold, among which the preferred targets of prefixes are chosen. */
	readonly warmTargets: readonly TargetView[];
	/** Preferred targets by the last of a prompt's `prefixKeys`; valid as long as `warmTargets` stays the same. */
	readonly preferredByPrefix: Map<number, readonly TargetView[]>;
	/** Estimated prefix caches of the targets. */
	readonly prefixCaches: PrefixCacheEstimate;
	readonly nowMs: number;
};

/** Returns the preferred targets of a prefix, best first. Rendezvous hashing makes all VMs choose the same ones. */
export const preferredTargets = (keys: readonly number[], {warmTargets, preferredByPrefix}: PrefixContext): readonly TargetView[] => {
	const key = keys.at(-1);
	if (key === undefined) {
		return [];
	}

	const known = preferredByPrefix.get(key);
	if (known) {
		return known;
	}

	const ranked = warmTargets
		.map(target => ({target, weight: hash32(`${key}|${target.record.id}`)}))
		.toSorted((a, b) => b.weight - a.weight)
		.slice(0, PREFERRED_TARGETS)
		.map(({target}) => target);
	preferredByPrefix.set(key, ranked);
	return ranked;
};

/**
 * Assumes that the first preferred target of a prefix has `sharedTokens` of it cached. Where
 * each VM knows only a few of the prompts that were sent, this is a better estimate than the
 * VM's own record, since all VMs send prompts with the prefix to this target first.
 */
export const assumedPrefixHolder = (keys: readonly number[], sharedTokens: number, ctx: PrefixContext): PrefixHolder | undefined => {
	const [preferred] = preferredTargets(keys, ctx);
	return preferred && {target: preferred, source: preferred, copyableTokens: sharedTokens};
};

/** Finds the target that has most of a prompt cached. The first preferred target is assumed unless another one is known to have more. */
export const findPrefixHolder = (prompt: Prompt, keys: readonly number[], ctx: PrefixContext): PrefixHolder | undefined => {
	if (keys.length === 0) {
		return undefined;
	}

	const {prefixCaches, targets, nowMs} = ctx;
	const [preferred] = preferredTargets(keys, ctx);
	let holder = preferred;
	let mostCached = preferred ? prefixCaches.keptTokens(preferred.record.id, prompt, keys, nowMs) : 0;
	let source: TargetView | undefined;
	let copyableTokens = 0;
	for (const target of targets) {
		const cached = prefixCaches.keptTokens(target.record.id, prompt, keys, nowMs);
		if (cached > mostCached) {
			holder = target;
			mostCached = cached;
		}

		const copyableThere = cached > copyableTokens ? prefixCaches.copyableTokens(target.record.id, prompt, keys, nowMs) : 0;
		if (copyableThere > copyableTokens) {
			source = target;
			copyableTokens = copyableThere;
		}
	}

	return holder && {target: holder, source, copyableTokens};
};
