/** Measures the processor time of the decision code at several sizes of its input. */
import {createConfigVersions} from '../../src/core/config/config-versions.js';
import {createMembership} from '../../src/core/membership/membership.js';
import {type KnownVm} from '../../src/core/membership/types.js';
import {toSeries} from './fit.js';
import {type PoolCost, type PoolSizes, runPool} from './pool-load.js';
import {meanUs} from './processor-time.js';
import {sampleDocument} from './sample-documents.js';
import {tickSeries} from './service-trials.js';
import {type Point, type Series} from './types.js';

export type Trial = {readonly name: string; readonly run: () => Promise<readonly Series[]>};

const BUSY_POOL: PoolSizes = {
	members: 61, targets: 15, teams: 13, requestsPerMember: 4,
};
const IDLE_POOL: PoolSizes = {...BUSY_POOL, teams: 0};
/** Most measured rounds of one point. */
const MAX_ROUNDS = 60;
/** Processor time of the dispatcher that bounds the measured rounds of one point: the more a round costs, the fewer are measured. */
const MAX_DISPATCHER_US = 3_000_000;

type PoolTrialSpec = {
	readonly name: string;
	readonly title: string;
	readonly variable: keyof PoolSizes;
	readonly base: PoolSizes;
	readonly sizes: readonly number[];
	readonly cost: (cost: PoolCost, size: number) => number;
	readonly planOncePerRound: boolean;
};

const poolSeries = (seed: number, varied: PoolTrialSpec): Series => {
	const points = varied.sizes.map((size): Point => {
		const sizes = {...varied.base, [varied.variable]: size};
		const probe = runPool(sizes, {seed, rounds: 4, planOncePerRound: varied.planOncePerRound});
		const rounds = Math.max(6, Math.min(MAX_ROUNDS, Math.floor(MAX_DISPATCHER_US / Math.max(1, probe.dispatcherUs))));
		const cost = runPool(sizes, {seed, rounds, planOncePerRound: varied.planOncePerRound});
		return {size, value: varied.cost(cost, size), extra: {startsPerRound: cost.startsPerRound, waiting: cost.waiting}};
	});
	return toSeries({
		name: varied.name, title: varied.title, variable: varied.variable, unit: 'us', points,
	});
};

const poolTrials = (seed: number): readonly Trial[] => {
	const dispatcherTimeOf = ({dispatcherUs}: PoolCost): number => dispatcherUs;
	const varied: ReadonlyArray<Omit<PoolTrialSpec, 'name' | 'planOncePerRound'> & {readonly name: string}> = [
		{
			name: 'teams', title: 'dispatcher, one round of reports, requests are queued', variable: 'teams', base: BUSY_POOL, sizes: [5, 13, 48, 160, 480], cost: dispatcherTimeOf,
		},
		{
			name: 'targets', title: 'dispatcher, one round of reports, requests are queued', variable: 'targets', base: BUSY_POOL, sizes: [5, 15, 50, 150, 555], cost: dispatcherTimeOf,
		},
		{
			name: 'members', title: 'dispatcher, one round of reports, requests are queued', variable: 'members', base: BUSY_POOL, sizes: [7, 20, 61, 122], cost: dispatcherTimeOf,
		},
		{
			name: 'idle-members', title: 'dispatcher, one round of reports, no requests are queued', variable: 'members', base: IDLE_POOL, sizes: [7, 20, 61, 122], cost: dispatcherTimeOf,
		},
		{
			name: 'idle-targets', title: 'dispatcher, one round of reports, no requests are queued', variable: 'targets', base: IDLE_POOL, sizes: [5, 15, 50, 150, 555], cost: dispatcherTimeOf,
		},
		{
			name: 'member-teams', title: 'all members, one round, requests are queued', variable: 'teams', base: BUSY_POOL, sizes: [5, 13, 48, 160, 480], cost: ({membersUs}) => membersUs,
		},
	];
	return varied.flatMap(each => [false, true].map(planOncePerRound => {
		const name = `pool/${planOncePerRound ? 'plan-per-round' : 'plan-per-report'}/${each.name}`;
		return {name, run: async () => [poolSeries(seed, {...each, name, planOncePerRound})]};
	}));
};

const knownVm = (index: number): KnownVm => ({
	id: `dc-1-vm-${index}`, dataCentre: 'dc-1', control: `10.1.0.${index}:7000`, admin: `10.1.0.${index}:7001`, state: 'live',
});

/** Measures the handling of one heartbeat at a given number of known VMs. */
const heartbeatUs = (vms: number): number => {
	const self = {...knownVm(0), incarnation: '1'};
	const known = Array.from({length: vms}, (_, index) => knownVm(index));
	const membership = createMembership({self, seeds: known});
	const heard = known.map(({id}) => id);
	let nowMs = 0;
	return meanUs(2000, index => {
		nowMs += 5;
		membership.handle({
			kind: 'heartbeat', from: {vm: heard[1 + (index % (vms - 1))]!, dataCentre: 'dc-1', incarnation: '1'}, heard, isLeaving: false, configVersion: 1, sentMs: nowMs, echoMs: nowMs,
		}, nowMs);
	});
};

const membershipTrial: Trial = {
	name: 'membership/heartbeat',
	run: async () => [toSeries({
		name: 'membership/heartbeat', title: 'handling of one heartbeat', variable: 'VMs', unit: 'us',
		points: [7, 20, 61, 180].map(vms => ({size: vms, value: heartbeatUs(vms)})),
	})],
};

const PLANNED_DOCUMENT = {teams: 4800, services: 37, dataCentres: 18};

/** Measures the handling of one new configuration version at a given number of targets in the document. */
const configPoint = (targets: number): Point => {
	const runs = targets > 1000 ? 10 : 40;
	const documents = Array.from({length: 2 * runs}, (_, index) => JSON.stringify(sampleDocument({
		...PLANNED_DOCUMENT, teams: Math.round(PLANNED_DOCUMENT.teams * targets / 10_000), targets, version: index + 1,
	})));
	const versions = createConfigVersions({dataCentre: 'dc-1', startedMs: 0});
	let next = 0;
	const value = meanUs(runs, () => {
		versions.handle({kind: 'document', document: documents[next] ?? ''}, next);
		next++;
	});
	return {size: targets, value: value / 1000, extra: {bytes: documents[0]?.length ?? 0}};
};

const configTrial: Trial = {
	name: 'config/version',
	run: async () => [toSeries({
		name: 'config/version', title: 'handling of one new version of the whole document, teams in proportion', variable: 'targets', unit: 'ms',
		points: [100, 1000, 3000, 10_000].map(targets => configPoint(targets)),
	})],
};

/** Returns the trials that run within this process. */
export const decisionSeries = (seed: number): readonly Trial[] => [
	...poolTrials(seed),
	membershipTrial,
	configTrial,
	{name: 'service/tick', run: async () => tickSeries()},
];
