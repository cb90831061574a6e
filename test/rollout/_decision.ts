/**
 * Simulates the decisions of one coordinator in virtual time, without I/O and reproducibly from
 * a seed: a store that never fails, and VMs that report evidence from their requests and follow
 * announcements after a delay.
 */
import {RolloutCoordinator, type CoordinatorEffect} from '../../src/core/rollout/coordinator.js';
import {EvidenceCounter} from '../../src/core/rollout/evidence.js';
import {type RolloutState, type RolloutWrite} from '../../src/core/rollout/types.js';
import {createRandom} from '../../tools/load/random.js';

/** How a version behaves at a moment of the roll-out. */
export type Behaviour = (at: {readonly route: number; readonly atMs: number; readonly share: number}) => {
	/** Share of the requests that fail. */
	readonly failed: number;
	/** Multiple of the old version's response time. */
	readonly factor: number;
	/** Share of the requests that get no response. */
	readonly hanging?: number;
};

export type Decision = {
	readonly seed: number;
	readonly requestsPerS: number;
	readonly vms: number;
	readonly durationMs: number;
	readonly next: Behaviour;
	/** Share of the requests that fail at every version, and the standard deviation of the logarithms of the response times. */
	readonly failed?: number;
	readonly deviation?: number;
};

export type DecisionFigures = {
	readonly phase: RolloutState['phase'];
	readonly reason: string;
	/** Milliseconds from the order to the write of the final phase. */
	readonly endMs: number;
	/** Requests that the new version got before it was rolled back; 0 when it was completed. */
	readonly exposed: number;
	/** Number of all requests until the time limit. */
	readonly requests: number;
	/** Milliseconds from the 50th bad response to the last request that was sent to the new version. */
	readonly afterBadMs: number;
};

const CHECK_MS = 200;
const REPORT_MS = 300;
/** Duration of a call to the store. */
const STORE_MS = 20;
/** Longest time until the announcement of a step reaches a VM. */
const MAX_ANNOUNCEMENT_DELAY_MS = 900;
const COLD_MS = 3000;
/** Time until the caches of a new target are full, and how many times slower it is while they are empty. */
const CACHE_MS = 4000;
const EMPTY_CACHE_FACTOR = 2;
const ROUTES = [{weight: 0.5, ms: 60, latencyMs: 300}, {weight: 0.3, ms: 200, latencyMs: 600}, {weight: 0.15, ms: 350, latencyMs: 1000}, {weight: 0.05, ms: 120, latencyMs: 500}];
/** Response times vary with the load as a sine wave of this relative amplitude and period. */
const LOAD_WAVE_AMPLITUDE = 0.4;
const LOAD_WAVE_MS = 4000;
const BAD_FACTOR = 2.5;
const ROLLBACK_AFTER_BAD_RESPONSES = 50;
/** Time from the end of the roll-out to the end of the run, in which all VMs receive the last announcement. */
const LAST_ANNOUNCEMENT_MS = 1200;

type ScheduledEvent = {readonly atMs: number; readonly act: (nowMs: number) => void};

export const runDecision = ({seed, requestsPerS, vms, durationMs, next, failed = 0.002, deviation = 0.6}: Decision): DecisionFigures => {
	const random = createRandom(seed);
	const draw = () => random.uniform();
	const normal = () => Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
	const eventsByMs = Array.from<ScheduledEvent[] | undefined>({length: durationMs * 2});
	const at = (atMs: number, act: ScheduledEvent['act']): void => {
		const index = Math.max(0, Math.ceil(atMs));
		if (index < eventsByMs.length) {
			(eventsByMs[index] ??= []).push({atMs, act});
		}
	};

	const order = {
		version: 10, to: 'v2', durationMs, orderedMs: 0,
	};
	const newTargetsMs = 1000 + (draw() * 2000);
	const coordinator = new RolloutCoordinator({share: 0.1, slack: 50, rollbackMs: 5000});
	const counters = Array.from({length: vms}, (_, index) => new EvidenceCounter(`i${index}`));
	const shares = Array.from({length: vms}, () => 0);
	const lastAnnouncements = Array.from({length: vms}, () => 0);
	const revisions = Array.from({length: vms}, () => 0);
	let state: RolloutState | undefined;
	let revision = 0;
	let announcedShare = 0;
	let announcedRevision = -1;
	let announcements = 0;
	const end = {phase: 'trial' as RolloutState['phase'], reason: '', endMs: Infinity};
	let exposed = 0;
	let grants = 0;
	const badMs: number[] = [];
	let lastSentMs = 0;

	const announce = (share: number, atRevision: number, nowMs: number): void => {
		announcedShare = share;
		announcedRevision = atRevision;
		announcements++;
		const number = announcements;
		for (const vm of counters.keys()) {
			at(nowMs + (draw() * MAX_ANNOUNCEMENT_DELAY_MS), () => {
				if (number > lastAnnouncements[vm]!) {
					lastAnnouncements[vm] = number;
					shares[vm] = share;
					revisions[vm] = atRevision;
				}
			});
		}
	};

	const read = (nowMs: number): void => {
		at(nowMs + STORE_MS, then => {
			perform(coordinator.handle({kind: 'read', stored: state && {state, revision}}, then), then);
		});
	};

	const write = ({state: next, reason}: RolloutWrite, nowMs: number): void => {
		at(nowMs + STORE_MS, then => {
			state = next;
			revision++;
			if (state.phase === 'completed' || state.phase === 'rolled-back') {
				Object.assign(end, {phase: state.phase, reason, endMs: then});
			}

			perform(coordinator.handle({kind: 'written', revision}, then), then);
		});
	};

	function perform(effects: readonly CoordinatorEffect[], nowMs: number): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'read': {
					read(nowMs);
					break;
				}

				case 'write': {
					write(effect.write, nowMs);
					break;
				}

				case 'announce': {
					const share = effect.isHeld ? 0 : effect.stored.state.share;
					if (share !== announcedShare || effect.stored.revision !== announcedRevision) {
						announce(share, effect.stored.revision, nowMs);
					}

					break;
				}

				case 'step-down':
				case 'log': {
					break;
				}
			}
		}
	}

	const arrive = (nowMs: number): void => {
		const vm = Math.floor(draw() * vms);
		let pick = draw();
		const route = Math.max(0, ROUTES.findIndex(({weight}) => {
			pick -= weight;
			return pick < 0;
		}));
		const {ms, latencyMs} = ROUTES[route]!;
		const isNext = nowMs >= newTargetsMs && draw() < shares[vm]!;
		const isCold = isNext && nowMs < newTargetsMs + COLD_MS;
		const behaviour = isNext ? next({route, atMs: nowMs, share: announcedShare}) : {failed: 0, factor: 1};
		const cacheFactor = isNext ? 1 + ((EMPTY_CACHE_FACTOR - 1) * Math.max(0, 1 - ((nowMs - newTargetsMs - COLD_MS) / CACHE_MS))) : 1;
		const usualMs = ms * (1 + (LOAD_WAVE_AMPLITUDE * Math.sin(nowMs / LOAD_WAVE_MS * 2 * Math.PI))) * Math.exp(normal() * deviation);
		const hangs = draw() < (behaviour.hanging ?? 0);
		const fails = draw() < failed + behaviour.failed;
		const takesMs = hangs ? latencyMs * 1.5 : usualMs * behaviour.factor * cacheFactor * (isCold ? 2 : 1);
		if (isNext) {
			exposed++;
			lastSentMs = nowMs;
			if (fails || hangs || behaviour.factor > BAD_FACTOR) {
				at(nowMs + takesMs, then => {
					badMs.push(then);
				});
			}
		}

		const grant = `g${grants++}`;
		const counter = counters[vm]!;
		counter.noteSent(grant, {
			service: 's', route: `r${route}`, version: isNext ? 'v2' : 'v1', isCold, targetLatencyMs: latencyMs, sentMs: nowMs,
		});
		at(nowMs + takesMs, then => {
			if (fails) {
				counter.noteAnswering(grant);
			}

			counter.noteEnd(grant, {kind: fails || hangs ? 'failed' : 'answered', cost: 0, answerMs: then - nowMs}, false, then);
		});
	};

	for (const [vm, counter] of counters.entries()) {
		counter.startOrder('s', order);
		for (let atMs = draw() * REPORT_MS; atMs < durationMs; atMs += REPORT_MS) {
			at(atMs, then => {
				const report = counter.report('s', revisions[vm]!, then);
				if (report) {
					coordinator.handle({
						kind: 'evidence', vm: `vm-${vm}`, report, vms,
					}, then);
				}
			});
		}
	}

	let nextArrivalMs = 0;
	for (let nowMs = 0; nowMs < Math.min(durationMs, end.endMs + LAST_ANNOUNCEMENT_MS); nowMs++) {
		for (; nextArrivalMs <= nowMs; nextArrivalMs += -Math.log(1 - draw()) * 1000 / requestsPerS) {
			arrive(nowMs);
		}

		for (const {act} of eventsByMs[nowMs] ?? []) {
			act(nowMs);
		}

		if (nowMs % CHECK_MS === 0) {
			const hasTargets = nowMs >= newTargetsMs;
			perform(coordinator.handle({
				kind: 'look', inputs: {
					isCoordinator: true, order, before: ['v1'], newTargets: hasTargets ? 10 : 0, newSlots: hasTargets ? 160 : 0, oldSlots: 160, vms, heldRevision: undefined, wallMs: nowMs,
				},
			}, nowMs), nowMs);
		}
	}

	const untilEnd = end.phase === 'completed' ? 0 : exposed;
	return {
		...end, exposed: untilEnd, requests: requestsPerS * durationMs / 1000, afterBadMs: badMs.length < ROLLBACK_AFTER_BAD_RESPONSES || end.phase === 'completed' ? 0 : Math.max(0, lastSentMs - badMs.toSorted((a, b) => a - b)[ROLLBACK_AFTER_BAD_RESPONSES - 1]!),
	};
};
