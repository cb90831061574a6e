/** Finds the target that a prompt's shared parts belong to, and one that can pass them on. */
import {hash32} from '../membership/rendezvous.js';
import {type Prompt} from '../dispatch/types.js';
import {type TargetView} from './target-view.js';
import {type PrefixCacheEstimate} from './prefix-cache-estimate.js';

/** Targets that a prompt's shared parts may be sent to in turn while the first is busy. */
const HOMES = 3;

/** Where a prompt's shared parts are. */
export type Keeper = {
	/** The target that they belong to. */
	readonly target: TargetView;
	/** The target from which others can copy most of them now. */
	readonly source: TargetView | undefined;
	readonly copyableTokens: number;
};

export type KeeperContext = {
	/** Targets that may get requests at all. */
	readonly targets: readonly TargetView[];
	/** Targets that are not cold, by which homes of prompts are chosen. */
	readonly warmTargets: readonly TargetView[];
	/** Homes of prompts by the last of their `sharedKeys`, as long as `homes` stays the same. */
	readonly preferredByPrefix: Map<number, readonly TargetView[]>;
	readonly prompts: PrefixCacheEstimate;
	readonly nowMs: number;
};

/** The homes of a prompt's shared parts, the first one first, which all VMs choose alike by a hash. */
export const homesOf = (keys: readonly number[], {warmTargets, preferredByPrefix}: KeeperContext): readonly TargetView[] => {
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
		.slice(0, HOMES)
		.map(({target}) => target);
	preferredByPrefix.set(key, ranked);
	return ranked;
};

/**
 * The first home of a prompt, taken to keep all its shared parts. Where each VM sees only
 * a small part of the sends, its own record says less than that all send there first.
 */
export const assumedKeeper = (keys: readonly number[], sharedTokens: number, ctx: KeeperContext): Keeper | undefined => {
	const [home] = homesOf(keys, ctx);
	return home && {target: home, source: home, copyableTokens: sharedTokens};
};

/** The target that keeps most of a prompt, or its home while no target is known to keep more than another. */
export const keeperOf = (prompt: Prompt, keys: readonly number[], ctx: KeeperContext): Keeper | undefined => {
	if (keys.length === 0) {
		return undefined;
	}

	const {prompts, targets, nowMs} = ctx;
	const [home] = homesOf(keys, ctx);
	let keeper = home;
	let mostKept = home ? prompts.keptTokens(home.record.id, prompt, keys, nowMs) : 0;
	let source: TargetView | undefined;
	let copyableTokens = 0;
	for (const target of targets) {
		const kept = prompts.keptTokens(target.record.id, prompt, keys, nowMs);
		if (kept > mostKept) {
			keeper = target;
			mostKept = kept;
		}

		const copyable = kept > copyableTokens ? prompts.copyableTokens(target.record.id, prompt, keys, nowMs) : 0;
		if (copyable > copyableTokens) {
			source = target;
			copyableTokens = copyable;
		}
	}

	return keeper && {target: keeper, source, copyableTokens};
};
