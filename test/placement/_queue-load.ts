/**
 * Simulates one VM of a fleet in front of plain targets that no other VM uses, from a seed and
 * without I/O. Each target runs as many requests as it has slots and queues the others.
 */
import {type PlacementInput} from '../../src/core/dispatch/types.js';
import {type PlacementEffect, type PlacementMessage} from '../../src/core/placement/messages.js';
import {type PlacementRequest} from '../../src/core/placement/types.js';
import {createRandom} from '../../tools/load/random.js';
import {
	createRequest, createPlacement, plainService, target,
} from './_service.js';

const TICK_MS = 5;

export type QueueLoad = {
	readonly seed: number;
	/** Number of VMs of the fleet, which decides whether the queue has a second tier. */
	readonly vms: number;
	readonly targets: number;
	readonly slots: number;
	/** Returns the milliseconds that a request takes at a target, from a random number in [0, 1). */
	readonly serviceMs: (draw: number) => number;
	readonly durationMs: number;
	readonly requestsPerS: (nowMs: number) => number;
	/** Returns a request's team, the fields that depend on its route, and the time until its deadline. */
	readonly requestOf: (draw: number, index: number) => {readonly team: string; readonly placement: Partial<PlacementInput>; readonly timeLeftMs?: number};
	/** Other messages to the placement, with the times at which they are handled. */
	readonly messages?: ReadonlyArray<{readonly atMs: number; readonly message: PlacementMessage}>;
	/** Times between which the process is paused. */
	readonly pause?: {readonly fromMs: number; readonly toMs: number};
};

export type Outcome = {
	readonly request: PlacementRequest;
	readonly kind: 'in-time' | 'late' | 'refused';
	/** Milliseconds from arrival to the response or the refusal. */
	readonly elapsedMs: number;
	readonly decidedMs: number;
	readonly retryAfterMs: number;
	readonly reason: string;
};

export type QueueRun = {
	readonly outcomes: readonly Outcome[];
	/** Started requests, in the order of their starts. */
	readonly started: ReadonlyArray<{readonly request: PlacementRequest; readonly atMs: number}>;
};

export const runQueue = ({seed, vms, targets, slots, serviceMs, durationMs, requestsPerS, requestOf, messages = [], pause}: QueueLoad): QueueRun => {
	const random = createRandom(seed);
	const placement = createPlacement({
		vms: Array.from({length: vms}, (_, index) => `vm-${index + 1}`), service: {...plainService, name: 'tariff'}, random: () => random.uniform(),
	});
	const outcomes: Outcome[] = [];
	const started: Array<{request: PlacementRequest; atMs: number}> = [];
	/** Times at which the slots of each target become free. */
	const slotFreeMs = new Map<string, number[]>();
	let ends: Array<{readonly atMs: number; readonly sentMs: number; readonly grantId: string; readonly target: string}> = [];
	for (let index = 0; index < targets; index++) {
		placement.handle({kind: 'target', target: target(`t${index}`, {slots})}, 0);
		slotFreeMs.set(`t${index}`, Array.from({length: slots}, () => 0));
	}

	const perform = (effects: readonly PlacementEffect[], nowMs: number): void => {
		for (const effect of effects) {
			if (effect.kind === 'reject') {
				outcomes.push({
					request: effect.request, kind: 'refused', elapsedMs: nowMs - effect.request.arrivedMs, decidedMs: nowMs, retryAfterMs: effect.retryAfterMs, reason: effect.reason,
				});
			} else if (effect.kind === 'grant') {
				const times = slotFreeMs.get(effect.target.id)!;
				const slot = times.indexOf(Math.min(...times));
				const endMs = Math.max(nowMs, times[slot]!) + serviceMs(random.uniform());
				times[slot] = endMs;
				ends.push({
					atMs: endMs, sentMs: nowMs, grantId: effect.grantId, target: effect.target.id,
				});
				started.push({request: effect.request, atMs: nowMs});
				const elapsedMs = endMs - effect.request.arrivedMs;
				outcomes.push({
					request: effect.request, kind: elapsedMs <= effect.request.targetLatencyMs ? 'in-time' : 'late', elapsedMs, decidedMs: nowMs, retryAfterMs: 0, reason: '',
				});
			}
		}
	};

	let arrivalsDue = 0;
	let index = 0;
	const unhandled: PlacementRequest[] = [];
	for (let nowMs = 0; nowMs < durationMs; nowMs++) {
		arrivalsDue += requestsPerS(nowMs) / 1000;
		for (; arrivalsDue >= 1; arrivalsDue--) {
			const {team, placement: terms, timeLeftMs} = requestOf(random.uniform(), index);
			index++;
			const request = createRequest(team, nowMs, terms);
			unhandled.push(timeLeftMs === undefined ? request : {...request, deadlineMs: nowMs + timeLeftMs});
		}

		if (pause && nowMs >= pause.fromMs && nowMs < pause.toMs) {
			continue;
		}

		for (const {message} of messages.filter(({atMs}) => atMs === nowMs)) {
			perform(placement.handle(message, nowMs), nowMs);
		}

		for (const {grantId, target: id, sentMs} of ends.filter(({atMs}) => atMs <= nowMs)) {
			perform(placement.handle({
				kind: 'end', grantId, target: id, result: {kind: 'answered', cost: 0, answerMs: nowMs - sentMs},
			}, nowMs), nowMs);
		}

		ends = ends.filter(({atMs}) => atMs > nowMs);
		if (nowMs % TICK_MS === 0) {
			perform(placement.handle({kind: 'tick'}, nowMs), nowMs);
		}

		for (const arrived of unhandled.splice(0)) {
			perform(placement.handle({kind: 'ask', request: arrived}, nowMs), nowMs);
		}
	}

	return {outcomes, started};
};

export const countOf = ({outcomes}: QueueRun, kind: Outcome['kind'], matches: (outcome: Outcome) => boolean = () => true): number =>
	outcomes.filter(outcome => outcome.kind === kind && matches(outcome)).length;
