/** Finds the target that a prompt's shared parts belong to, and one that can pass them on. */
import {hash32} from '../membership/rendezvous.js';
import {type Prompt} from '../dispatch/types.js';
import {type PlacedTarget} from './placed-target.js';
import {type PromptRecord} from './prompt-record.js';

/** Where a prompt's shared parts are. */
export type Keeper = {
	/** The target that they belong to. */
	readonly target: PlacedTarget;
	/** The target from which others can copy most of them now. */
	readonly source: PlacedTarget | undefined;
	readonly copyableTokens: number;
};

export type KeeperContext = {
	/** Targets that may get requests at all. */
	readonly targets: readonly PlacedTarget[];
	/** Targets that are not cold, by which homes of prompts are chosen. */
	readonly homes: readonly PlacedTarget[];
	/** Homes of prompts by the last of their `sharedKeys`, as long as `homes` stays the same. */
	readonly homeOfPrompt: Map<number, PlacedTarget>;
	readonly prompts: PromptRecord;
	readonly nowMs: number;
};

/** The home of a prompt's shared parts, which all VMs choose alike by a hash. */
const homeOf = (key: number, {homes, homeOfPrompt}: KeeperContext): PlacedTarget | undefined => {
	let home = homeOfPrompt.get(key);
	if (!home) {
		let highest = -1;
		for (const target of homes) {
			const weight = hash32(`${key}|${target.record.id}`);
			if (weight > highest) {
				highest = weight;
				home = target;
			}
		}

		if (home) {
			homeOfPrompt.set(key, home);
		}
	}

	return home;
};

/** The target that keeps most of a prompt, or its home while no target is known to keep more than another. */
export const keeperOf = (prompt: Prompt, keys: readonly number[], ctx: KeeperContext): Keeper | undefined => {
	const key = keys.at(-1);
	if (key === undefined) {
		return undefined;
	}

	const {prompts, targets, nowMs} = ctx;
	const home = homeOf(key, ctx);
	let keeper = home;
	let mostKept = home ? prompts.keptTokens(home.record.id, prompt, keys, nowMs) : 0;
	let source: PlacedTarget | undefined;
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
