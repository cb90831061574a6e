/**
 * One VM of a large fleet in front of plain targets that no other VM uses, by a seed and
 * without I/O. Each target runs as many requests as it has slots and lets the rest wait.
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
	/** VMs of the fleet, which decide whether the second tier is on. */
	readonly vms: number;
	readonly targets: number;
	readonly slots: number;
	/** Milliseconds that a request takes at a target, by a draw in [0, 1). */
	readonly serviceMs: (draw: number) => number;
	readonly forMs: number;
	readonly requestsPerS: (nowMs: number) => number;
	/** A request's team, and what its route says. */
	readonly requestOf: (draw: number, index: number) => {readonly team: string; readonly placement: Partial<PlacementInput>; readonly timeLeftMs?: number};
	/** Other messages at certain times. */
	readonly news?: ReadonlyArray<{readonly atMs: number; readonly message: PlacementMessage}>;
	/** Times between which the process is stopped. */
	readonly frozen?: {readonly fromMs: number; readonly toMs: number};
};

export type Outcome = {
	readonly ask: PlacementRequest;
	readonly kind: 'in-time' | 'late' | 'refused';
	/** Milliseconds from arrival to the first part, or to the refusal. */
	readonly afterMs: number;
	readonly decidedMs: number;
	readonly retryAfterMs: number;
	readonly reason: string;
};

export type QueueRun = {
	readonly outcomes: readonly Outcome[];
	/** Order in which requests were started. */
	readonly started: ReadonlyArray<{readonly ask: PlacementRequest; readonly atMs: number}>;
};

export const runQueue = ({seed, vms, targets, slots, serviceMs, forMs, requestsPerS, requestOf, news = [], frozen}: QueueLoad): QueueRun => {
	const random = createRandom(seed);
	const placement = createPlacement({
		vms: Array.from({length: vms}, (_, index) => `vm-${index + 1}`), service: {...plainService, name: 'tariff'}, random: () => random.uniform(),
	});
	const outcomes: Outcome[] = [];
	const started: Array<{ask: PlacementRequest; atMs: number}> = [];
	/** Times at which the slots of each target are free. */
	const free = new Map<string, number[]>();
	let ends: Array<{readonly atMs: number; readonly sentMs: number; readonly grantId: string; readonly target: string}> = [];
	for (let index = 0; index < targets; index++) {
		placement.handle({kind: 'target', target: target(`t${index}`, {slots})}, 0);
		free.set(`t${index}`, Array.from({length: slots}, () => 0));
	}

	const perform = (effects: readonly PlacementEffect[], nowMs: number): void => {
		for (const effect of effects) {
			if (effect.kind === 'reject') {
				outcomes.push({
					ask: effect.request, kind: 'refused', afterMs: nowMs - effect.request.arrivedMs, decidedMs: nowMs, retryAfterMs: effect.retryAfterMs, reason: effect.reason,
				});
			} else if (effect.kind === 'grant') {
				const times = free.get(effect.target.id)!;
				const slot = times.indexOf(Math.min(...times));
				const endMs = Math.max(nowMs, times[slot]!) + serviceMs(random.uniform());
				times[slot] = endMs;
				ends.push({
					atMs: endMs, sentMs: nowMs, grantId: effect.grantId, target: effect.target.id,
				});
				started.push({ask: effect.request, atMs: nowMs});
				const afterMs = endMs - effect.request.arrivedMs;
				outcomes.push({
					ask: effect.request, kind: afterMs <= effect.request.targetLatencyMs ? 'in-time' : 'late', afterMs, decidedMs: nowMs, retryAfterMs: 0, reason: '',
				});
			}
		}
	};

	let owed = 0;
	let index = 0;
	const held: PlacementRequest[] = [];
	for (let nowMs = 0; nowMs < forMs; nowMs++) {
		owed += requestsPerS(nowMs) / 1000;
		for (; owed >= 1; owed--) {
			const {team, placement: terms, timeLeftMs} = requestOf(random.uniform(), index);
			index++;
			const made = createRequest(team, nowMs, terms);
			held.push(timeLeftMs === undefined ? made : {...made, deadlineMs: nowMs + timeLeftMs});
		}

		if (frozen && nowMs >= frozen.fromMs && nowMs < frozen.toMs) {
			continue;
		}

		for (const {message} of news.filter(({atMs}) => atMs === nowMs)) {
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

		for (const made of held.splice(0)) {
			perform(placement.handle({kind: 'ask', request: made}, nowMs), nowMs);
		}
	}

	return {outcomes, started};
};

export const countOf = ({outcomes}: QueueRun, kind: Outcome['kind'], isMeant: (outcome: Outcome) => boolean = () => true): number =>
	outcomes.filter(outcome => outcome.kind === kind && isMeant(outcome)).length;
