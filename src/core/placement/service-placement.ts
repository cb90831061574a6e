/**
 * Places the requests of one service on its targets. Every VM decides alone, on what it
 * sent itself and what answers report; a hash of the shared prompt parts lets all VMs
 * choose the same target for equal prompts without messages. Requests that no target
 * can start in time wait, in the order of their teams' shares.
 */
import {FairShares} from '../fair/fair-shares.js';
import {hash32} from '../membership/rendezvous.js';
import {type RoutedService, type TargetRecord} from '../routing/types.js';
import {type PlacementEffect, type PlacementMessage, type PlacementReason} from './messages.js';
import {PlacedTarget} from './placed-target.js';
import {createPromptRecord, sharedKeys, type PromptRecord} from './prompt-record.js';
import {createReadRate, type ReadRate} from './read-rate.js';
import {type FleetBounds, type PlacedAsk} from './types.js';

/** Part of the target latency that a prompt may take to be read; the rest is for the way and for errors of the prediction. */
const READ_SHARE = 0.55;
/** Part of the target latency for which a request waits before it is refused. */
const WAIT_SHARE = 0.6;
/** Part of a model engine's memory that is planned with, since output lengths are only hints. */
const MEMORY_SHARE = 0.85;
/** Milliseconds that one more running request costs the others, as a price when targets are compared. */
const RUNNING_PRICE_MS = 2;
/** Milliseconds that another data centre costs, as a price when targets are compared. */
const OTHER_DATA_CENTRE_PRICE_MS = 3;
/** Largest part of the targets that is passed over after failures; more would crowd the rest. */
const MAX_PASSED_OVER_SHARE = 0.34;
/** Retry-After bounds in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 2000;
/** What is told when no target is known. */
const NO_TARGET_RETRY_AFTER_MS = 1000;
/** Weight of one request in the average of tokens to read. */
const AVERAGE_WEIGHT = 0.05;

type Message<Kind extends PlacementMessage['kind']> = Extract<PlacementMessage, {kind: Kind}>;

export type ServicePlacementOptions = {
	readonly service: RoutedService;
	readonly bounds: FleetBounds;
	/** Name of this VM and of all VMs, this one included. */
	readonly vm: string;
	readonly vms: () => readonly string[];
	readonly dataCentre: string;
	readonly createGrantId: () => string;
};

type Candidate = {
	readonly target: PlacedTarget;
	readonly newTokens: number;
	readonly reason: PlacementReason;
	readonly price: number;
};

export class ServicePlacement {
	#service: RoutedService;
	readonly #options: ServicePlacementOptions;
	readonly #targets = new Map<string, PlacedTarget>();
	readonly #waiting = new Map<string, PlacedAsk[]>();
	readonly #shares = new FairShares(() => 1);
	readonly #prompts: PromptRecord = createPromptRecord();
	readonly #readRate: ReadRate = createReadRate();
	#out: ReadonlySet<string> = new Set();
	#averageNewTokens = 0;

	constructor(options: ServicePlacementOptions) {
		this.#options = options;
		this.#service = options.service;
	}

	/** Asks that wait. */
	get waiting(): number {
		return [...this.#waiting.values()].reduce((sum, asks) => sum + asks.length, 0);
	}

	targets(): readonly PlacedTarget[] {
		return [...this.#targets.values()];
	}

	handle(message: PlacementMessage, nowMs: number): readonly PlacementEffect[] {
		switch (message.kind) {
			case 'service': {
				this.#service = message.service;
				return [];
			}

			case 'target': {
				this.#onTarget(message.target, nowMs);
				return this.#dispatch(nowMs);
			}

			case 'target-gone': {
				this.#targets.delete(message.id);
				this.#prompts.forget(message.id);
				return [];
			}

			case 'data-centres-out': {
				this.#out = message.names;
				return [];
			}

			case 'ask': {
				return this.#onAsk(message.ask, nowMs);
			}

			case 'withdraw': {
				this.#withdraw(message.requestId);
				return [];
			}

			case 'end': {
				this.#onEnd(message, nowMs);
				return this.#dispatch(nowMs);
			}

			case 'observe': {
				this.#onObserve(message, nowMs);
				return this.#dispatch(nowMs);
			}

			case 'unreachable': {
				this.#targets.get(message.target)?.noteUnreachable();
				return [];
			}

			case 'tick': {
				return [...this.#expire(nowMs), ...this.#dispatch(nowMs)];
			}
		}
	}

	#onTarget(record: TargetRecord, nowMs: number): void {
		const known = this.#targets.get(record.id);
		if (!known) {
			this.#targets.set(record.id, new PlacedTarget(record, nowMs));
		} else if (known.update(record, nowMs)) {
			this.#prompts.forget(record.id);
		}
	}

	#onAsk(ask: PlacedAsk, nowMs: number): readonly PlacementEffect[] {
		if (this.#usable(ask, nowMs).length === 0) {
			return [{kind: 'reject', ask, reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS}];
		}

		const queue = this.#waiting.get(ask.team);
		if (queue) {
			queue.push(ask);
		} else {
			this.#shares.activate(ask.team, this.#waiting.keys());
			this.#waiting.set(ask.team, [ask]);
		}

		return this.#dispatch(nowMs);
	}

	#withdraw(requestId: string): void {
		for (const [team, queue] of this.#waiting) {
			const rest = queue.filter(ask => ask.requestId !== requestId);
			this.#setQueue(team, rest);
		}
	}

	#setQueue(team: string, queue: PlacedAsk[]): void {
		if (queue.length === 0) {
			this.#waiting.delete(team);
		} else {
			this.#waiting.set(team, queue);
		}
	}

	#onEnd({grantId, target: id, result}: Message<'end'>, nowMs: number): void {
		const target = this.#targets.get(id);
		if (!target) {
			return;
		}

		target.end(grantId);
		if (result.kind === 'failed' || result.kind === 'overloaded') {
			target.noteFailed(nowMs);
		} else if (result.kind === 'answered') {
			target.noteAnswered();
		}
	}

	#onObserve({grantId, target: id, observation}: Message<'observe'>, nowMs: number): void {
		const target = this.#targets.get(id);
		if (!target) {
			return;
		}

		switch (observation.kind) {
			case 'load': {
				target.noteLoad(observation.load, nowMs);
				break;
			}

			case 'first-token': {
				const backlog = target.readingTokens;
				const placed = target.noteFirstToken(grantId);
				if (placed) {
					this.#readRate.note(Math.max(placed.newTokens, backlog / 2), nowMs - placed.sentMs);
				}

				break;
			}

			case 'misdirected': {
				target.isMisdirected = true;
				break;
			}
		}
	}

	/** Requests a second that this VM may send to one cold target. */
	#coldLimit(target: string): number {
		const {bounds, vm, vms} = this.#options;
		const total = Math.floor((this.#service.coldPerS * bounds.coldFactor) + bounds.coldSlack);
		const names = vms();
		if (names.length <= total) {
			return Math.floor(total / names.length);
		}

		const own = hash32(`${target}|${vm}`);
		const before = names.filter(name => name !== vm && hash32(`${target}|${name}`) > own).length;
		return before < total ? 1 : 0;
	}

	#isUsable(target: PlacedTarget, ask: PlacedAsk, nowMs: number): boolean {
		const {record} = target;
		return !record.isDraining && !target.isMisdirected && !this.#out.has(record.dataCentre) && !ask.tried.includes(record.id)
			&& (!target.isCold(nowMs) || this.#service.coldPerS === 0 || target.hasColdRoom(this.#coldLimit(record.id), nowMs));
	}

	#usable(ask: PlacedAsk, nowMs: number): readonly PlacedTarget[] {
		const all = this.targets().filter(target => !target.record.isDraining && !target.isMisdirected && !this.#out.has(target.record.dataCentre));
		const untried = all.filter(({record}) => !ask.tried.includes(record.id));
		const failing = untried.filter(target => target.isPassedOver(nowMs)).toSorted((a, b) => b.failuresInRow - a.failuresInRow);
		const passedOver = new Set(failing.slice(0, Math.floor(untried.length * MAX_PASSED_OVER_SHARE)));
		return untried.filter(target => !passedOver.has(target));
	}

	/** Memory and slots bound what a model engine takes; a plain target takes what it has slots for. */
	#hasRoom(target: PlacedTarget, ask: PlacedAsk, nowMs: number): boolean {
		const others = target.othersRunning(nowMs);
		const {engine} = this.#service;
		if (!ask.prompt || !engine) {
			return target.running + others < target.record.slots * 2;
		}

		const held = ask.prompt.tokens + ask.prompt.outputTokens;
		const perRequest = target.running > 0 ? target.heldTokens / target.running : held;
		const tokens = target.heldTokens + (others * perRequest) + held;
		return target.running + others < engine.slots && (target.running === 0 || tokens <= engine.kvCapacityTokens * MEMORY_SHARE);
	}

	#candidate(target: PlacedTarget, ask: PlacedAsk, homeRank: number, nowMs: number): Candidate {
		const {prompt} = ask;
		const others = target.othersRunning(nowMs);
		const shared = prompt ? prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0) : 0;
		const known = prompt ? this.#prompts.keptTokens(target.record.id, prompt, nowMs) : 0;
		const keptTokens = homeRank === 0 ? Math.max(known, shared) : known;
		const newTokens = prompt ? Math.max(0, prompt.tokens - keptTokens) : 0;
		const backlog = target.readingTokens + (target.reportedWaiting(nowMs) * this.#averageNewTokens);
		const predictedMs = (backlog + newTokens) / this.#readRate.tokensPerMs();
		const isElsewhere = target.record.dataCentre !== this.#options.dataCentre;
		return {
			target,
			newTokens,
			price: predictedMs + ((target.running + others) * RUNNING_PRICE_MS) + (isElsewhere ? OTHER_DATA_CENTRE_PRICE_MS : 0),
			reason: {
				predictedMs, keptTokens, running: target.running, othersRunning: others, isCold: target.isCold(nowMs), waitedMs: nowMs - ask.arrivedMs,
			},
		};
	}

	/** The target at which the request costs least, among those that can start it in time. */
	#choose(ask: PlacedAsk, nowMs: number): Candidate | undefined {
		const usable = this.#usable(ask, nowMs);
		const key = ask.prompt && sharedKeys(ask.prompt).at(-1);
		const rank = key === undefined
			? new Map<PlacedTarget, number>()
			: new Map(usable
				.map(target => ({target, weight: hash32(`${key}|${target.record.id}`)}))
				.toSorted((a, b) => b.weight - a.weight)
				.map(({target}, index) => [target, index]));
		const limitMs = ask.targetLatencyMs * READ_SHARE;
		return usable
			.filter(target => this.#isUsable(target, ask, nowMs) && this.#hasRoom(target, ask, nowMs))
			.map(target => this.#candidate(target, ask, rank.get(target) ?? Infinity, nowMs))
			.filter(({reason, target}) => reason.predictedMs <= limitMs || target.running + reason.othersRunning === 0)
			.toSorted((a, b) => a.price - b.price)[0];
	}

	/** Starts what can start, the team that is furthest behind first. */
	#dispatch(nowMs: number): readonly PlacementEffect[] {
		const effects: PlacementEffect[] = [];
		const blocked = new Set<string>();
		while (true) {
			const team = this.#shares.lowest([...this.#waiting.keys()].filter(name => !blocked.has(name)));
			const queue = team === undefined ? undefined : this.#waiting.get(team);
			const ask = queue?.[0];
			if (team === undefined || !queue || !ask) {
				return effects;
			}

			const candidate = this.#choose(ask, nowMs);
			if (candidate) {
				this.#setQueue(team, queue.slice(1));
				effects.push(this.#grant(ask, candidate, nowMs));
			} else {
				blocked.add(team);
			}
		}
	}

	#grant(ask: PlacedAsk, {target, newTokens, reason}: Candidate, nowMs: number): PlacementEffect {
		const grantId = this.#options.createGrantId();
		const {prompt} = ask;
		const heldTokens = prompt ? prompt.tokens + prompt.outputTokens : 0;
		target.place(grantId, {
			newTokens, heldTokens, isReading: prompt !== undefined, sentMs: nowMs,
		}, nowMs);
		if (prompt) {
			this.#prompts.noteSent(target.record.id, prompt, nowMs);
			this.#averageNewTokens += (newTokens - this.#averageNewTokens) * AVERAGE_WEIGHT;
		}

		this.#shares.confirm(ask.team, prompt ? newTokens + (2 * prompt.outputTokens) : 1);
		return {
			kind: 'grant', ask, grantId, target: target.record, because: reason,
		};
	}

	#expire(nowMs: number): readonly PlacementEffect[] {
		const effects: PlacementEffect[] = [];
		for (const [team, queue] of this.#waiting) {
			const late = queue.filter(ask => nowMs >= Math.min(ask.deadlineMs, ask.arrivedMs + (ask.targetLatencyMs * WAIT_SHARE)));
			if (late.length > 0) {
				this.#setQueue(team, queue.filter(ask => !late.includes(ask)));
				effects.push(...late.map(ask => ({
					kind: 'reject', ask, reason: 'too-late', retryAfterMs: this.#retryAfterMs(),
				} as const)));
			}
		}

		return effects;
	}

	/** Time until what is being read now has been read, on average over the targets. */
	#retryAfterMs(): number {
		const targets = this.targets();
		const tokens = targets.reduce((sum, target) => sum + target.readingTokens, 0) / Math.max(1, targets.length);
		return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokens / this.#readRate.tokensPerMs()));
	}
}
