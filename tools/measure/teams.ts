/** The sixteen teams of an experiment: a few large, spread unevenly. */
import {LEDGER_SERVICE, MODEL_SERVICE} from './fleets.js';
import {type MixSpec, type TeamLoadSpec} from './types.js';

const TEAMS = 16;
const LARGE_TEAMS = 3;
const LARGE_WEIGHT = 4;

const model: MixSpec = {
	service: MODEL_SERVICE, kind: 'completion', weight: 1, cost: {distribution: 'uniform', min: 8, max: 40},
};
const debit: MixSpec = {service: LEDGER_SERVICE, kind: 'debit', weight: 0.2};

export const defaultMix: readonly MixSpec[] = [model, debit];
export const modelOnlyMix: readonly MixSpec[] = [model];

const nameOf = (index: number): string => `team-${String(index + 1).padStart(2, '0')}`;

/** Every second team arrives at one router only, the others at all. */
const unevenRouters = (index: number, routers: number) => index % 2 === 1 ? {routers: [index % routers]} : {};

/** Sixteen teams, each made by `make`. */
export const sixteen = (fieldsFor: (index: number, isLarge: boolean) => Partial<TeamLoadSpec>): readonly TeamLoadSpec[] =>
	Array.from({length: TEAMS}, (_, index) => ({
		name: nameOf(index),
		weight: index < LARGE_TEAMS ? LARGE_WEIGHT : 1,
		concurrency: index < LARGE_TEAMS ? 40 : 14,
		mix: defaultMix,
		maxRetries: 3,
		...fieldsFor(index, index < LARGE_TEAMS),
	}));

/**
 * As `backlogged`, but every second team arrives at two routers of different data
 * centres: where routers come and go, the balancer leaves no team with a router that is
 * not there.
 */
export const backloggedOnTwoRouters = (routers: number): readonly TeamLoadSpec[] =>
	sixteen(index => index % 2 === 1 ? {routers: [index % routers, (index + 3) % routers]} : {});

/** All teams wait all the time, spread unevenly over the routers. */
export const backlogged = (routers: number): readonly TeamLoadSpec[] => sixteen(index => unevenRouters(index, routers));
