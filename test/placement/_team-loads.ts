/** Demands of teams on a virtual fleet in which some have been served less than half of their share, from a seed. */
import {type Prompt} from '../../src/core/dispatch/types.js';
import {runFleet, type FleetFigures, type FleetLoad} from './_fleet-model.js';
import {prompt} from './_service.js';

export const LATENCY_TARGET_MS = 800;
const DURATION_MS = 18_000;
const VMS = 40;
const ENGINES = 16;
/** What the engines prefill in a second. */
const CAPACITY_PER_S = ENGINES * 60_000;
const AVERAGE_TOKENS = 12_000;
const SMALL_TEAMS = 8;
const HEAVY_TEAMS = 4;
/** What the small teams ask for together, as a share of the capacity. */
const SMALL_SHARE = 0.15;

/** Conditions of a play beside the demand. */
export type Conditions = Pick<FleetLoad, 'lagMs' | 'diesAtMs' | 'returnsAfterRefusal'> & {readonly vms?: number};

/** What teams ask for, as shares of the capacity. All teams ask for prompts of the same sizes. */
export type MixedDemand = {
	/** What one team asks for at all VMs. */
	readonly wide: number;
	/** What each of four teams asks for at all VMs. */
	readonly heavy: number;
	/** What one team asks for at a few VMs. */
	readonly narrow: (nowMs: number) => number;
	readonly narrowVms: number;
	/** Whether a quarter of the engines hardly works for two seconds. */
	readonly losesEngines: boolean;
};

/** Returns the tokens of a prompt: a quarter of the prompts are large, a quarter are of medium size. */
const tokensOf = (draw: number, index: number): number => {
	const place = (index * 0.7548) % 1;
	if (place < 0.25) {
		return 14_000 + Math.floor(draw * 8000);
	}

	return place < 0.5 ? 6000 + Math.floor(draw * 4000) : 5000;
};

/** Returns a number in [0, 1) for each request, spread evenly over successive ones. */
const placeOf = (index: number): number => (index * 0.618_034) % 1;

export const playMixed = (seed: number, {wide, heavy, narrow, narrowVms, losesEngines}: MixedDemand, {vms = VMS, ...conditions}: Conditions = {}): FleetFigures => {
	const mostNarrow = Math.max(narrow(0), narrow(DURATION_MS));
	const most = wide + (heavy * HEAVY_TEAMS) + SMALL_SHARE + mostNarrow;
	return runFleet({
		seed, vms, engines: ENGINES, requestsPerS: most * CAPACITY_PER_S / AVERAGE_TOKENS, durationMs: DURATION_MS, latencyTargetMs: LATENCY_TARGET_MS, tokensPerS: CAPACITY_PER_S,
		promptOf: (draw, index) => prompt(`subject-${Math.floor(draw * 500)}-${index % 3}`, tokensOf(draw, index)),
		...(losesEngines && {slowdownOf: (engine, nowMs) => engine < ENGINES / 4 && nowMs > 8000 && nowMs < 10_000 ? 50 : 1}),
		sourceOf(draw, index, nowMs) {
			const anyVm = Math.floor(draw * vms);
			const place = (placeOf(index) * most) - SMALL_SHARE;
			if (place < 0) {
				return {team: `small-${index % SMALL_TEAMS}`, vm: anyVm};
			}

			if (place < narrow(nowMs)) {
				return {team: 'narrow', vm: Math.floor(draw * narrowVms)};
			}

			const heavyTeam = Math.floor((place - mostNarrow) / heavy);
			return {team: heavyTeam >= 0 && heavyTeam < HEAVY_TEAMS ? `heavy-${heavyTeam}` : 'wide', vm: anyVm};
		},
		...conditions,
	});
};

/** Tokens of the prompts of the team whose prompts are the largest, and of the other team. */
const LARGE = {least: 18_000, spread: 4000};
const SMALL = {least: 2000, spread: 2000};
const LARGE_SHARE = 0.25;
const SMALL_PROMPTS_SHARE = 2;
/** Part of the VMs that the large prompts arrive at. */
const LARGE_VMS_SHARE = 0.25;

const meanOf = ({least, spread}: typeof LARGE): number => least + (spread / 2);

/** A prompt that shares only the part common to all. */
const ownPrompt = (subject: string, tokens: number): Prompt => ({
	model: 'm', parts: [{id: 'common', tokens: 500}, {id: `own-${subject}`, tokens: tokens - 500}], tokens, outputTokens: 300,
});

/** One team asks for a quarter of the capacity in large prompts at a quarter of the VMs, another for twice the capacity in small ones at all VMs. */
export const playLargestPrompts = (seed: number, {vms = VMS, ...conditions}: Conditions = {}): FleetFigures => {
	const largePerS = LARGE_SHARE * CAPACITY_PER_S / meanOf(LARGE);
	const smallPerS = SMALL_PROMPTS_SHARE * CAPACITY_PER_S / meanOf(SMALL);
	const isLarge = (index: number): boolean => placeOf(index) < largePerS / (largePerS + smallPerS);
	return runFleet({
		seed, vms, engines: ENGINES, requestsPerS: largePerS + smallPerS, durationMs: DURATION_MS, latencyTargetMs: LATENCY_TARGET_MS, tokensPerS: CAPACITY_PER_S,
		promptOf(draw, index) {
			const {least, spread} = isLarge(index) ? LARGE : SMALL;
			return ownPrompt(`${index}`, least + Math.floor(draw * spread));
		},
		sourceOf: (draw, index) => isLarge(index)
			? {team: 'large', vm: Math.floor(draw * vms * LARGE_VMS_SHARE)}
			: {team: 'wide', vm: Math.floor(draw * vms)},
		...conditions,
	});
};

/** All teams together ask for less than the engines can do. */
export const playCalm = (seed: number, share: number, {vms = VMS, ...conditions}: Conditions = {}): FleetFigures =>
	playMixed(seed, {
		wide: share * 0.5, heavy: share * 0.1, narrow: () => 0.05, narrowVms: 3, losesEngines: false,
	}, {vms, ...conditions});
