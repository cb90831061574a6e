/** Works out the load of each role at the planned size from measured slopes. */
import {type Series, type SlopesResult} from './types.js';
import {planned, defaultTiming} from './planned-size.js';

export type RoleCost = {
	readonly role: string;
	readonly mechanism: string;
	/** Milliseconds of processor time a second at one VM; undefined where another limit counts. */
	readonly cpuMsPerS?: number;
	readonly kbPerS?: number;
	/** Load on the platform, against what it bears. */
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
		throw new TypeError(`no series ${name}`);
	}

	return found;
};

/** Cost at a size: between two measured sizes on the line through them, beyond by the fitted line. */
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

/** The figures that the roles are made of. Costs of one message are in milliseconds. */
const unitCosts = (result: SlopesResult) => {
	const at = (name: string, size: number) => costAt(findSeries(result, name), size);
	return {
		/** A report that arrives by itself and its answer, at either side. */
		exchangeMs: at('link/members/spread', PEERS) / PEERS / MS_PER_S,
		/** The same when all members' reports arrive together. */
		togetherMs: at('link/members/together', PEERS) / PEERS / MS_PER_S,
		/** One frame to each peer from one timer. */
		fanOutMs: at('link/peers/cpu', PEERS) / MS_PER_S,
		exchangeKb: at('link/size/bytes', 1) / BYTES_PER_KB,
		exchangeKbOf: (teams: number) => at('link/size/bytes', teams) / BYTES_PER_KB,
		heartbeatMs: at('membership/heartbeat', planned.vmsPerDataCentre) / MS_PER_S,
		idleRoundMs: at('pool/plan-per-round/idle-members', planned.vmsPerDataCentre) / MS_PER_S,
		idlePerReportMs: at('pool/plan-per-report/idle-members', planned.vmsPerDataCentre) / MS_PER_S,
		busyRoundMs: (teams: number) => at('pool/plan-per-round/teams', teams) / MS_PER_S,
		busyPerReportMs: (teams: number) => at('pool/plan-per-report/teams', teams) / MS_PER_S,
		versionMs: at('config/version', planned.targets),
		documentKb: (findSeries(result, 'config/version').points.at(-1)?.extra?.bytes ?? 0) / BYTES_PER_KB,
	};
};

const perS = (periodMs: number): number => MS_PER_S / periodMs;

/** Today's design, role by role, at one VM. */
export const rolesToday = (result: SlopesResult): readonly RoleCost[] => {
	const cost = unitCosts(result);
	const heartbeatsPerS = perS(defaultTiming.heartbeatMs);
	const idleReportsPerS = perS(defaultTiming.idleTickMs);
	const busyReportsPerS = perS(defaultTiming.tickMs);
	const versionsPerS = planned.configChangesPerDay / SECONDS_PER_DAY;
	const otherDataCentres = planned.dataCentres - 1;
	const pools = planned.services * planned.dataCentres;
	return [
		{
			role: 'membership',
			mechanism: `a heartbeat to and from ${PEERS} VMs of the data centre every ${defaultTiming.heartbeatMs} ms`,
			cpuMsPerS: heartbeatsPerS * (cost.fanOutMs + (PEERS * ((cost.exchangeMs / 2) + cost.heartbeatMs))),
			kbPerS: heartbeatsPerS * PEERS * cost.exchangeKb,
		},
		{
			role: 'entry router as pool member, nothing waits',
			mechanism: `a report to the dispatcher of each of ${planned.services} pools every ${defaultTiming.idleTickMs} ms`,
			cpuMsPerS: idleReportsPerS * planned.services * cost.exchangeMs,
			kbPerS: idleReportsPerS * planned.services * cost.exchangeKb,
		},
		{
			role: 'dispatcher of one pool, nothing waits',
			mechanism: `reports of ${PEERS} members every ${defaultTiming.idleTickMs} ms, shared plans`,
			cpuMsPerS: idleReportsPerS * ((PEERS * cost.exchangeMs) + cost.idleRoundMs),
			kbPerS: idleReportsPerS * PEERS * cost.exchangeKb,
		},
		{
			role: `dispatcher of one pool, ${TEAMS_PER_POOL} teams backlogged`,
			mechanism: `reports of ${PEERS} members every ${defaultTiming.tickMs} ms, shared plans`,
			cpuMsPerS: busyReportsPerS * ((PEERS * cost.exchangeMs) + cost.busyRoundMs(TEAMS_PER_POOL)),
			kbPerS: busyReportsPerS * PEERS * cost.exchangeKb,
		},
		{
			role: 'service exchange of one backlogged pool',
			mechanism: `cumulative service of ${TEAMS_PER_POOL} teams to and from ${otherDataCentres} data centres every ${defaultTiming.exchangeMs} ms`,
			cpuMsPerS: perS(defaultTiming.exchangeMs) * otherDataCentres * cost.exchangeMs,
			kbPerS: perS(defaultTiming.exchangeMs) * otherDataCentres * cost.exchangeKbOf(TEAMS_PER_POOL),
		},
		{
			role: 'configuration',
			mechanism: 'each version as a whole document, from one reader in each data centre to the others',
			cpuMsPerS: versionsPerS * cost.versionMs,
			kbPerS: versionsPerS * cost.documentKb,
		},
		{
			role: 'configuration reader on the platform',
			mechanism: `one read a data centre every ${defaultTiming.configPollMs} ms`,
			platformPerS: {value: planned.dataCentres * perS(defaultTiming.configPollMs), limit: planned.platformReadsPerS, what: 'reads'},
		},
		{
			role: 'lease holder',
			mechanism: `a row for each of ${pools} pools, renewed every ${defaultTiming.leaseRenewMs} ms`,
			platformPerS: {value: pools * perS(defaultTiming.leaseRenewMs), limit: planned.platformWritesPerS, what: 'rows written'},
		},
		{
			role: 'claims, one request in 1000 with a key',
			mechanism: 'two rows for each request with an idempotency key',
			platformPerS: {value: 2 * planned.requestsPerS / 1000, limit: planned.platformWritesPerS, what: 'rows written'},
		},
	];
};

/** The same mechanisms with the changes that the page names. */
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
			cpuMsPerS: (PEERS * cost.togetherMs) + (5 * cost.idleRoundMs),
			kbPerS: PEERS * cost.exchangeKbOf(5),
		},
		{
			role: `dispatcher of one pool, ${TEAMS_PER_POOL} teams backlogged`,
			mechanism: 'tick of 500 ms, reports together',
			cpuMsPerS: 2 * ((PEERS * cost.togetherMs) + cost.busyRoundMs(TEAMS_PER_POOL)),
			kbPerS: 2 * PEERS * cost.exchangeKb,
		},
		{
			role: `dispatcher of the hot pool, ${planned.backloggedTeams} teams backlogged`,
			mechanism: 'tick of 1000 ms, reports together',
			cpuMsPerS: (PEERS * cost.togetherMs) + cost.busyRoundMs(planned.backloggedTeams),
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
