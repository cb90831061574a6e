/** Estimates the load of each role at the planned fleet size from the measured series. */
import {type Series, type SlopesResult} from './types.js';
import {planned, controlIntervals} from './planned-size.js';

export type RoleCost = {
	readonly role: string;
	readonly mechanism: string;
	/** Milliseconds of processor time a second at one VM; undefined where the platform is the limit. */
	readonly cpuMsPerS?: number;
	readonly kbPerS?: number;
	/** Load on the platform and the most that it sustains, both a second. */
	readonly platformPerS?: {readonly value: number; readonly limit: number; readonly what: string};
};

const MS_PER_S = 1000;
const SECONDS_PER_DAY = 86_400;
const BYTES_PER_KB = 1000;
const PEERS = planned.vmsPerDataCentre - 1;
const TARGETS_PER_POOL = Math.round(planned.targets / planned.services / planned.dataCentres);
const TEAMS_PER_POOL = Math.round(planned.backloggedTeams / planned.services);

const findSeries = ({series}: SlopesResult, name: string): Series => {
	const found = series.find(each => each.name === name);
	if (!found) {
		throw new TypeError(`the results contain no series ${name}`);
	}

	return found;
};

/** Estimates the cost at a size: interpolates between two measured sizes, and uses the fitted line outside the measured range. */
export const costAt = ({points, fit}: Series, size: number): number => {
	const above = points.findIndex(point => point.size >= size);
	const upper = points[above];
	if (upper?.size === size) {
		return upper.value;
	}

	const lower = points[above - 1];
	if (!upper || !lower) {
		return fit.fixed + (fit.slope * size);
	}

	return lower.value + ((upper.value - lower.value) * (size - lower.size) / (upper.size - lower.size));
};

/** Derives the unit costs that the roles consist of. Costs of one message or round are in milliseconds of processor time. */
const unitCosts = (result: SlopesResult) => {
	const costOf = (name: string, size: number) => costAt(findSeries(result, name), size);
	return {
		/** A report that arrives on its own, and its reply: the cost at each of the two ends. */
		exchangeMs: costOf('link/members/spread', PEERS) / PEERS / MS_PER_S,
		/** The same when the reports of all members arrive at the same time. */
		simultaneousMs: costOf('link/members/together', PEERS) / PEERS / MS_PER_S,
		/** One frame to each peer, all sent in one timer callback. */
		fanOutMs: costOf('link/peers/cpu', PEERS) / MS_PER_S,
		exchangeKb: costOf('link/size/bytes', 1) / BYTES_PER_KB,
		exchangeKbOf: (teams: number) => costOf('link/size/bytes', teams) / BYTES_PER_KB,
		heartbeatMs: costOf('membership/heartbeat', planned.vmsPerDataCentre) / MS_PER_S,
		idleRoundMs: costOf('pool/plan-per-round/idle-members', planned.vmsPerDataCentre) / MS_PER_S,
		idlePerReportMs: costOf('pool/plan-per-report/idle-members', planned.vmsPerDataCentre) / MS_PER_S,
		busyRoundMs: (teams: number) => costOf('pool/plan-per-round/teams', teams) / MS_PER_S,
		busyPerReportMs: (teams: number) => costOf('pool/plan-per-report/teams', teams) / MS_PER_S,
		versionMs: costOf('config/version', planned.targets),
		documentKb: (findSeries(result, 'config/version').points.at(-1)?.extra?.bytes ?? 0) / BYTES_PER_KB,
	};
};

const perS = (periodMs: number): number => MS_PER_S / periodMs;

/** Returns the load of each role in the current design, at one VM. */
export const rolesToday = (result: SlopesResult): readonly RoleCost[] => {
	const cost = unitCosts(result);
	const heartbeatsPerS = perS(controlIntervals.heartbeatMs);
	const idleReportsPerS = perS(controlIntervals.idleTickMs);
	const busyReportsPerS = perS(controlIntervals.tickMs);
	const versionsPerS = planned.configChangesPerDay / SECONDS_PER_DAY;
	const otherDataCentres = planned.dataCentres - 1;
	const pools = planned.services * planned.dataCentres;
	return [
		{
			role: 'membership',
			mechanism: `a heartbeat to and from ${PEERS} VMs of the data centre every ${controlIntervals.heartbeatMs} ms`,
			cpuMsPerS: heartbeatsPerS * (cost.fanOutMs + (PEERS * ((cost.exchangeMs / 2) + cost.heartbeatMs))),
			kbPerS: heartbeatsPerS * PEERS * cost.exchangeKb,
		},
		{
			role: 'entry router as pool member, nothing waits',
			mechanism: `a report to the dispatcher of each of ${planned.services} pools every ${controlIntervals.idleTickMs} ms`,
			cpuMsPerS: idleReportsPerS * planned.services * cost.exchangeMs,
			kbPerS: idleReportsPerS * planned.services * cost.exchangeKb,
		},
		{
			role: 'dispatcher of one pool, nothing waits',
			mechanism: `reports of ${PEERS} members every ${controlIntervals.idleTickMs} ms, shared plans`,
			cpuMsPerS: idleReportsPerS * ((PEERS * cost.exchangeMs) + cost.idleRoundMs),
			kbPerS: idleReportsPerS * PEERS * cost.exchangeKb,
		},
		{
			role: `dispatcher of one pool, ${TEAMS_PER_POOL} teams backlogged`,
			mechanism: `reports of ${PEERS} members every ${controlIntervals.tickMs} ms, shared plans`,
			cpuMsPerS: busyReportsPerS * ((PEERS * cost.exchangeMs) + cost.busyRoundMs(TEAMS_PER_POOL)),
			kbPerS: busyReportsPerS * PEERS * cost.exchangeKb,
		},
		{
			role: 'service exchange of one backlogged pool',
			mechanism: `cumulative service of ${TEAMS_PER_POOL} teams to and from ${otherDataCentres} data centres every ${controlIntervals.exchangeMs} ms`,
			cpuMsPerS: perS(controlIntervals.exchangeMs) * otherDataCentres * cost.exchangeMs,
			kbPerS: perS(controlIntervals.exchangeMs) * otherDataCentres * cost.exchangeKbOf(TEAMS_PER_POOL),
		},
		{
			role: 'configuration',
			mechanism: 'each version as a whole document, from one reader in each data centre to the others',
			cpuMsPerS: versionsPerS * cost.versionMs,
			kbPerS: versionsPerS * cost.documentKb,
		},
		{
			role: 'configuration reader on the platform',
			mechanism: `one read a data centre every ${controlIntervals.configPollMs} ms`,
			platformPerS: {value: planned.dataCentres * perS(controlIntervals.configPollMs), limit: planned.platformReadsPerS, what: 'reads'},
		},
		{
			role: 'lease holder',
			mechanism: `a row for each of ${pools} pools, renewed every ${controlIntervals.leaseRenewMs} ms`,
			platformPerS: {value: pools * perS(controlIntervals.leaseRenewMs), limit: planned.platformWritesPerS, what: 'rows written'},
		},
		{
			role: 'claims, one request in 1000 with a key',
			mechanism: 'two rows for each request with an idempotency key',
			platformPerS: {value: 2 * planned.requestsPerS / 1000, limit: planned.platformWritesPerS, what: 'rows written'},
		},
	];
};

/** Returns the load of each role with the changes that the page proposes. */
export const rolesChanged = (result: SlopesResult): readonly RoleCost[] => {
	const cost = unitCosts(result);
	const pools = planned.services * planned.dataCentres;
	const dispatcherVms = 8;
	return [
		{
			role: 'membership and pool reports of a member, nothing waits',
			mechanism: 'pools of a data centre at 8 VMs; one frame with heartbeat and reports to each of them every second',
			cpuMsPerS: dispatcherVms * cost.exchangeMs,
			kbPerS: dispatcherVms * cost.exchangeKbOf(Math.ceil(planned.services / dispatcherVms)),
		},
		{
			role: 'dispatcher of 5 pools, nothing waits',
			mechanism: 'the same frames, received at one moment a second that the allotment names',
			cpuMsPerS: (PEERS * cost.simultaneousMs) + (5 * cost.idleRoundMs),
			kbPerS: PEERS * cost.exchangeKbOf(5),
		},
		{
			role: `dispatcher of one pool, ${TEAMS_PER_POOL} teams backlogged`,
			mechanism: 'tick of 500 ms, reports together',
			cpuMsPerS: 2 * ((PEERS * cost.simultaneousMs) + cost.busyRoundMs(TEAMS_PER_POOL)),
			kbPerS: 2 * PEERS * cost.exchangeKb,
		},
		{
			role: `dispatcher of the hot pool, ${planned.backloggedTeams} teams backlogged`,
			mechanism: 'tick of 1000 ms, reports together',
			cpuMsPerS: (PEERS * cost.simultaneousMs) + cost.busyRoundMs(planned.backloggedTeams),
			kbPerS: (PEERS * cost.exchangeKb) + (3 * planned.backloggedTeams * (cost.exchangeKbOf(1000) / 1000)),
		},
		{
			role: 'service exchange of one backlogged pool',
			mechanism: 'every 1000 ms, only teams whose service changed',
			cpuMsPerS: (planned.dataCentres - 1) * cost.exchangeMs,
			kbPerS: (planned.dataCentres - 1) * cost.exchangeKbOf(TEAMS_PER_POOL),
		},
		{
			role: 'lease holder',
			mechanism: 'lease of 12 s renewed every 4 s',
			platformPerS: {value: pools / 4, limit: planned.platformWritesPerS, what: 'rows written'},
		},
	];
};
