/** The sixteen teams of an experiment: three large ones and thirteen small ones. */
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

/** Every second team sends its requests to one router only, the others to all routers. */
const unevenRouters = (index: number, routers: number) => index % 2 === 1 ? {routers: [index % routers]} : {};

/** Builds sixteen teams; `fieldsFor` gives the fields of a team that differ from the defaults. */
export const makeTeams = (fieldsFor: (index: number, isLarge: boolean) => Partial<TeamLoadSpec>): readonly TeamLoadSpec[] =>
	Array.from({length: TEAMS}, (_, index) => ({
		name: nameOf(index),
		weight: index < LARGE_TEAMS ? LARGE_WEIGHT : 1,
		concurrency: index < LARGE_TEAMS ? 40 : 14,
		mix: defaultMix,
		maxRetries: 3,
		...fieldsFor(index, index < LARGE_TEAMS),
	}));

/**
 * Builds the teams of `backlogged`, but every second team sends to two routers of different data
 * centres: where routers restart, a load balancer would not leave a team with only a router
 * that is down.
 */
export const backloggedOnTwoRouters = (routers: number): readonly TeamLoadSpec[] =>
	makeTeams(index => index % 2 === 1 ? {routers: [index % routers, (index + 3) % routers]} : {});

/** Builds teams that have queued requests all the time, spread unevenly over the routers. */
export const backlogged = (routers: number): readonly TeamLoadSpec[] => makeTeams(index => unevenRouters(index, routers));
