/** Guards against teams below half of their share in a large fleet, whose VMs know each other's teams from samples. */
import process from 'node:process';
import test from 'ava';
import {missedHalves} from '../../tools/measure/team-halves.js';
import {runFleet, type FleetFigures} from './_fleet-model.js';
import {prompt} from './_service.js';

/** Seeds of each case; more by hand. */
const SEEDS = Number(process.env.TEAM_HALVES_SEEDS ?? 2);
const LATENCY_TARGET_MS = 800;
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

/** What teams ask for, as shares of the capacity. */
type Load = {
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

const run = (seed: number, {wide, heavy, narrow, narrowVms, losesEngines}: Load): FleetFigures => {
	const mostNarrow = Math.max(narrow(0), narrow(DURATION_MS));
	const most = wide + (heavy * HEAVY_TEAMS) + SMALL_SHARE + mostNarrow;
	return runFleet({
		seed, vms: VMS, engines: ENGINES, requestsPerS: most * CAPACITY_PER_S / AVERAGE_TOKENS, durationMs: DURATION_MS, latencyTargetMs: LATENCY_TARGET_MS, tokensPerS: CAPACITY_PER_S,
		promptOf: (draw, index) => prompt(`subject-${Math.floor(draw * 500)}-${index % 3}`, tokensOf(draw, index)),
		...(losesEngines && {slowdownOf: (engine, nowMs) => engine < ENGINES / 4 && nowMs > 8000 && nowMs < 10_000 ? 50 : 1}),
		sourceOf(draw, index, nowMs) {
			const anyVm = Math.floor(draw * VMS);
			const place = ((index * 0.618_034) % 1 * most) - SMALL_SHARE;
			if (place < 0) {
				return {team: `small-${index % SMALL_TEAMS}`, vm: anyVm};
			}

			if (place < narrow(nowMs)) {
				return {team: 'narrow', vm: Math.floor(draw * narrowVms)};
			}

			const heavyTeam = Math.floor((place - mostNarrow) / heavy);
			return {team: heavyTeam >= 0 && heavyTeam < HEAVY_TEAMS ? `heavy-${heavyTeam}` : 'wide', vm: anyVm};
		},
	});
};

const cases: ReadonlyArray<{readonly title: string; readonly load: Load}> = [
	{
		title: 'a team asks for three times the capacity, and one that did for as much as it asks for little at three VMs', load: {
			wide: 3, heavy: 0.5, narrow: nowMs => nowMs < 7000 ? 1 : 0.2, narrowVms: 3, losesEngines: true,
		},
	},
	{
		title: 'all requests of a team reach one VM', load: {
			wide: 1.5, heavy: 0.5, narrow: () => 0.2, narrowVms: 1, losesEngines: false,
		},
	},
];

for (const {title, load} of cases) {
	test(`no team gets less than half of its share while others are served: ${title}`, t => {
		for (let seed = 1; seed <= SEEDS; seed++) {
			const {requests, utilization} = run(seed, load);
			const missed = missedHalves(requests, ({arrivedMs, firstTokenMs = Infinity}) => firstTokenMs - arrivedMs > LATENCY_TARGET_MS);
			t.deepEqual(missed, [], `seed ${seed}`);
			t.true(utilization > 0.8, `seed ${seed}: the engines are used ${utilization}`);
		}
	});
}
