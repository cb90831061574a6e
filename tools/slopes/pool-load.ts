/** Runs the decision code of the dispatcher and the members of one pool in virtual time, and measures its processor time. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Allotment, type Report} from '../../src/core/dispatch/messages.js';
import {PoolDispatcher} from '../../src/core/dispatch/pool-dispatcher.js';
import {type MemberEffect, PoolMember} from '../../src/core/dispatch/pool-member.js';
import {type Grant} from '../../src/core/dispatch/types.js';
import {createCpuTimer} from './processor-time.js';

const TICK_MS = 40;
const SLOTS_PER_TARGET = 8;
const MEMBERS_PER_TEAM = 3;
const MAX_RUN_TICKS = 25;

export type PoolSizes = {
	readonly members: number;
	readonly targets: number;
	/** Number of backlogged teams; the callers of each use three members. */
	readonly teams: number;
	/** Requests that each team has queued or running at each of its members; a new request follows each that ends. */
	readonly requestsPerMember: number;
};

export type PoolCost = {
	/** Processor time of the dispatcher for the reports of one round, in microseconds. */
	readonly dispatcherUs: number;
	/** Processor time of all members for one round, in microseconds. */
	readonly membersUs: number;
	/** Requests started per round. */
	readonly startsPerRound: number;
	/** Requests in the queues of all members after the last round. */
	readonly waiting: number;
};

type RunningRequest = {readonly member: PoolMember; readonly team: string; readonly grant: Grant; readonly endMs: number};

/**
 * Runs rounds of one tick each: due requests end, the members report, the dispatcher plans, and
 * the members apply their allotments. The dispatcher plans once per round or after each report.
 */
export const runPool = (sizes: PoolSizes, {seed, rounds, planOncePerRound}: {readonly seed: number; readonly rounds: number; readonly planOncePerRound: boolean}): PoolCost => {
	const random = xoroshiro128plus(seed);
	const dispatcherTime = createCpuTimer();
	const memberTime = createCpuTimer();
	let nowMs = 0;
	let requests = 0;
	let starts = 0;
	let running: RunningRequest[] = [];

	const dispatcher = new PoolDispatcher({
		service: 'tariff', dataCentre: 'colombo', vm: 'vm-0', epoch: 1n, expectedMembers: [], weightOf: () => 1,
		settings: () => ({
			tickMs: TICK_MS, slotLeaseMs: 2000, maxRunMs: 60_000, maxRemoteLead: 2000,
		}),
	}, nowMs);
	const contract = {
		coldLimit: SLOTS_PER_TARGET, warmLimit: SLOTS_PER_TARGET, growAfterAnswers: 1, checksFencing: true,
	};
	dispatcher.setTargets(Array.from({length: sizes.targets}, (_, index) => ({name: `tariff-${index}`, contract, isInService: true})), nowMs);
	const members = Array.from({length: sizes.members}, (_, index) => new PoolMember({
		service: 'tariff',
		dataCentre: 'colombo',
		vm: `vm-${index}`,
		vmIncarnation: '1',
		addressOf: target => `${target}:1`,
		choose: (_request, candidates) => candidates[0]!,
		maxQueuedOf: () => 1000,
	}));
	const memberByVm = new Map(members.map((member, index) => [`vm-${index}`, member]));

	const submitRequest = (member: PoolMember, team: string): void => {
		requests++;
		applyEffects(member, member.submit({
			requestId: `request-${requests}`, team, service: 'tariff', estimatedCost: uniformInt(random, 1, 100), deadlineMs: Infinity,
		}, nowMs));
	};

	const applyEffects = (member: PoolMember, effects: readonly MemberEffect[]): void => {
		for (const effect of effects) {
			if (effect.kind === 'start') {
				starts++;
				running.push({
					member, team: effect.request.team, grant: effect.grant, endMs: nowMs + (TICK_MS * uniformInt(random, 1, MAX_RUN_TICKS)),
				});
			}
		}
	};

	const endDueRequests = (): void => {
		const due = running.filter(({endMs}) => endMs <= nowMs);
		running = running.filter(({endMs}) => endMs > nowMs);
		for (const {member, team, grant} of due) {
			applyEffects(member, member.end(grant, {
				kind: 'answered', cost: 50, answerMs: 500, instance: 'i',
			}, nowMs));
			submitRequest(member, team);
		}
	};

	const handleReports = (reports: readonly Report[]): readonly Allotment[] => {
		const allotments: Allotment[] = [];
		for (const report of reports) {
			dispatcher.onReport(report, nowMs);
			if (!planOncePerRound) {
				allotments.push(...dispatcher.plan(nowMs));
			}
		}

		return planOncePerRound ? dispatcher.plan(nowMs) : allotments;
	};

	const runRound = (): void => {
		nowMs += TICK_MS;
		memberTime.measure(endDueRequests);
		const reports = memberTime.measure(() => members.map(member => member.buildReport(nowMs)).filter(report => report !== undefined));
		const allotments = dispatcherTime.measure(() => handleReports(reports));
		memberTime.measure(() => {
			for (const allotment of allotments) {
				const member = memberByVm.get(allotment.member)!;
				applyEffects(member, member.onAllotment(allotment, nowMs));
			}
		});
	};

	for (const member of members) {
		member.setHolder({vm: 'vm-0', epoch: 1n});
	}

	runRound();
	for (let team = 0; team < sizes.teams; team++) {
		for (let memberIndex = 0; memberIndex < Math.min(MEMBERS_PER_TEAM, sizes.members); memberIndex++) {
			for (let count = 0; count < sizes.requestsPerMember; count++) {
				submitRequest(members[(team + (memberIndex * 7)) % sizes.members]!, `team-${team}`);
			}
		}
	}

	for (let warmUp = 0; warmUp < rounds / 2; warmUp++) {
		runRound();
	}

	dispatcherTime.reset();
	memberTime.reset();
	starts = 0;
	for (let count = 0; count < rounds; count++) {
		runRound();
	}

	return {
		dispatcherUs: dispatcherTime.totalUs() / rounds,
		membersUs: memberTime.totalUs() / rounds,
		startsPerRound: starts / rounds,
		waiting: members.map(member => member.queued).reduce((sum, count) => sum + count, 0),
	};
};
