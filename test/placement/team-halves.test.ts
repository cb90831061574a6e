/** Guards against teams below half of their share, and against large prompts that are not served, in a large fleet whose VMs know each other's teams from samples. */
import process from 'node:process';
import test from 'ava';
import {sizeShares} from '../../tools/measure/size-shares.js';
import {missedHalves, type RecordedRequest} from '../../tools/measure/team-halves.js';
import {type FleetFigures} from './_fleet-model.js';
import {
	LATENCY_TARGET_MS, playCalm, playLargestPrompts, playMixed, type MixedDemand,
} from './_team-loads.js';

/** Seeds of each case; more by hand. */
const SEEDS = Number(process.env.TEAM_HALVES_SEEDS ?? 2);
const LARGE_FLEET_VMS = 120;
/** Least share of the engines' time that is used for prefill while more is asked than they can do. */
const MIN_UTILIZATION = 0.8;

const isLate = ({arrivedMs, firstTokenMs = Infinity}: RecordedRequest): boolean => firstTokenMs - arrivedMs > LATENCY_TARGET_MS;

const THRICE_THE_CAPACITY: MixedDemand = {
	wide: 3, heavy: 0.5, narrow: nowMs => nowMs < 7000 ? 1 : 0.2, narrowVms: 3, losesEngines: true,
};
const NARROW_TEAM: MixedDemand = {
	wide: 1.5, heavy: 0.5, narrow: () => 0.2, narrowVms: 1, losesEngines: false,
};

const cases: ReadonlyArray<{
	readonly title: string;
	readonly play: (seed: number) => FleetFigures;
	/** Whether all teams ask for prompts of the same sizes. */
	readonly asksAlike: boolean;
}> = [
	{
		title: 'a team asks for three times the capacity, and one that did for as much as it asks for little at three VMs',
		play: seed => playMixed(seed, THRICE_THE_CAPACITY),
		asksAlike: true,
	},
	{
		title: 'all requests of a team reach one VM',
		play: seed => playMixed(seed, NARROW_TEAM),
		asksAlike: true,
	},
	{
		title: 'the prompts of a team at a quarter of the VMs are six times as large as those of another',
		play: seed => playLargestPrompts(seed),
		asksAlike: false,
	},
	{
		title: 'a team asks for three times the capacity of a fleet of 120 VMs',
		play: seed => playMixed(seed, THRICE_THE_CAPACITY, {vms: LARGE_FLEET_VMS}),
		asksAlike: true,
	},
];

/** Cases that are played by hand only, with `TEAM_HALVES_SEEDS`. */
const casesByHand: typeof cases = [
	{
		title: 'all requests of a team reach one VM of 300',
		play: seed => playMixed(seed, NARROW_TEAM, {vms: 300}),
		asksAlike: true,
	},
	{
		title: 'refused callers return, all requests of a team reach one VM',
		play: seed => playMixed(seed, NARROW_TEAM, {returnsAfterRefusal: true}),
		asksAlike: true,
	},
	{
		title: 'messages wait for 10 to 60 ms at each third of 120 VMs',
		play: seed => playMixed(seed, THRICE_THE_CAPACITY, {vms: LARGE_FLEET_VMS, lagMs: (vm, draw) => vm % 3 === 0 ? 10 + (draw * 50) : 0}),
		asksAlike: true,
	},
	{
		title: 'a fifth of the VMs dies between 4 and 8 s',
		play: seed => playMixed(seed, THRICE_THE_CAPACITY, {diesAtMs: vm => vm % 5 === 4 ? 4000 + (vm * 100) : Infinity}),
		asksAlike: true,
	},
];

for (const {title, play, asksAlike} of process.env.TEAM_HALVES_SEEDS === undefined ? cases : [...cases, ...casesByHand]) {
	const figures = new Map<number, FleetFigures>();
	const figuresOf = (seed: number): FleetFigures => {
		const known = figures.get(seed) ?? play(seed);
		figures.set(seed, known);
		return known;
	};

	test.serial(`no team gets less than half of its share while others are served: ${title}`, t => {
		for (let seed = 1; seed <= SEEDS; seed++) {
			const {requests, utilization} = figuresOf(seed);
			t.deepEqual(missedHalves(requests, isLate), [], `seed ${seed}`);
			t.true(utilization > MIN_UTILIZATION, `seed ${seed}: the engines are used ${utilization}`);
		}
	});

	if (asksAlike) {
		test.serial(`large prompts are in time at least half as often as all: ${title}`, t => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const {largest, next, all} = sizeShares(figuresOf(seed).requests, request => !isLate(request));
				t.true(largest >= all / 2 && next >= all / 2, `seed ${seed}: ${largest}, ${next} of ${all}`);
			}
		});
	}
}

test.serial('nearly all requests are in time while the teams ask for half of the capacity', t => {
	for (let seed = 1; seed <= SEEDS; seed++) {
		const {inTime, submitted} = playCalm(seed, 0.5);
		t.true(inTime >= submitted * 0.98, `seed ${seed}: ${inTime} of ${submitted}`);
	}
});
