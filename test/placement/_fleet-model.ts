/**
 * Simulates a large fleet in front of model engines, from a seed and without I/O: many VMs
 * with one placement each, messages between them that take some milliseconds, and engines
 * that prefill one prompt at a time and cache every prompt.
 */
import {type Prompt} from '../../src/core/dispatch/types.js';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {type PlacementEffect, type PlacementMessage} from '../../src/core/placement/messages.js';
import {prefixKeys} from '../../src/core/placement/prefix-cache-estimate.js';
import {type PlacementRequest} from '../../src/core/placement/types.js';
import {type ServicePlacement} from '../../src/core/placement/service-placement.js';
import {createRandom} from '../../tools/load/random.js';
import {type RecordedRequest} from '../../tools/measure/team-halves.js';
import {
	createRequest, createPlacement, modelService, target,
} from './_service.js';

const PREFILL_TOKENS_PER_MS = 60;
/** Milliseconds from the end of the prefill until the first token reaches the VM. */
const FIRST_TOKEN_MS = 15;
/** Milliseconds from the first token to the end of a response. */
const GENERATE_MS = 500;
/** Milliseconds that a message between VMs takes. */
const PEER_LATENCY_MS = 2;
/** Milliseconds between the load reports of a VM. */
const REPORT_PERIOD_MS = 400;
/** Number of VMs that each load report is sent to. */
const REPORT_PEERS = 8;
/** Milliseconds for which a load report is valid. */
const REPORT_VALID_MS = 5000;
const TICK_MS = 5;

export type FleetLoad = {
	readonly seed: number;
	readonly vms: number;
	readonly engines: number;
	readonly requestsPerS: number;
	readonly durationMs: number;
	readonly latencyTargetMs: number;
	/** Returns the milliseconds that a message waits at the VM that receives it, from a random number in [0, 1). Messages do not wait if absent. */
	readonly lagMs?: (vm: number, draw: number) => number;
	/** Returns how many times as long as typical an engine takes at a moment, as its responses report; 1 if absent. */
	readonly slowdownOf?: (engine: number, nowMs: number) => number;
	/** Time at which a VM dies. From then on, it receives no requests and sends nothing. No VM dies if absent. */
	readonly diesAtMs?: (vm: number) => number;
	/** Returns the prompt of a request, from a random number in [0, 1) and the index of the request. */
	readonly promptOf: (draw: number, index: number) => Prompt;
	/** Returns the team of a request and the VM that it arrives at, from a random number in [0, 1). If absent, 20 teams take turns at random VMs, and VMs do not report their teams. */
	readonly sourceOf?: (draw: number, index: number, nowMs: number) => {readonly team: string; readonly vm: number};
	/** Tokens that all engines are configured to sustain per second. */
	readonly tokensPerS?: number;
	/** Whether a refused caller returns once, at another VM, when its Retry-After is at most a third of the time that it still waits. */
	readonly returnsAfterRefusal?: boolean;
};

export type FleetFigures = {
	readonly submitted: number;
	readonly inTime: number;
	/** Requests of the first tier whose first token came after the latency target. */
	readonly late: number;
	/** Requests of the second tier, which were late when they were started. */
	readonly servedLate: number;
	readonly refused: number;
	/** Requests without a first token or a refusal at the end, whose latency target had passed by then. */
	readonly unanswered: number;
	/** Tokens of shared prefixes that an engine prefilled although another engine had them cached. */
	readonly prefilledAgain: number;
	readonly prefilledTokens: number;
	/** Tokens of shared prefixes that an engine prefilled while they were being prefilled for another request. */
	readonly prefilledInParallel: number;
	/** Messages about reservations between VMs. */
	readonly messages: number;
	/** Share of the engines' time that was used for prefill. */
	readonly utilization: number;
	/** All requests, in the order of arrival. */
	readonly requests: readonly RecordedRequest[];
};

type Event = {readonly atMs: number; readonly act: (nowMs: number) => void};

/** Milliseconds for which a caller waits for the first token. */
const PATIENCE_MS = 10_000;
/** Largest Retry-After after which a caller returns, as a share of the time that it still waits. */
const RETURN_SHARE = 1 / 3;

type Engine = {
	/** Keys of the cached prefixes. */
	readonly cached: Set<number>;
	/** Time at which the engine has prefilled all prompts that were sent to it. */
	freeAtMs: number;
	running: number;
	waiting: number;
};

export const runFleet = ({seed, vms: size, engines: count, requestsPerS, durationMs, latencyTargetMs, promptOf, lagMs = () => 0, diesAtMs = () => Infinity, slowdownOf, sourceOf, tokensPerS, returnsAfterRefusal = false}: FleetLoad): FleetFigures => {
	const random = createRandom(seed);
	const lags = createRandom(seed + 1000);
	const names = Array.from({length: size}, (_, index) => `vm-${index}`);
	/** Events by the millisecond in which they happen. */
	const events = new Map<number, Event[]>();
	const schedule = (atMs: number, act: Event['act']): void => {
		const bucket = Math.ceil(atMs);
		const due = events.get(bucket) ?? [];
		events.set(bucket, due);
		due.push({atMs: bucket, act});
	};

	const engines = new Map<string, Engine>(Array.from({length: count}, (_, index) => [`t${index}`, {
		cached: new Set(), freeAtMs: 0, running: 0, waiting: 0,
	}]));
	const cachedAnywhere = new Set<number>();
	const figures = {
		submitted: 0, inTime: 0, late: 0, servedLate: 0, refused: 0, prefilledAgain: 0, prefilledTokens: 0, prefilledInParallel: 0, messages: 0,
	};
	/** Number of requests for which each shared prefix is being prefilled now, by its key. */
	const inPrefill = new Map<number, number>();
	const vms: ServicePlacement[] = [];
	const loadsOf = names.map(() => new FleetLoads());
	const requests = new Map<string, {-readonly [Key in keyof RecordedRequest]: RecordedRequest[Key]}>();

	const tokensToPrefill = (prompt: Prompt, engine: Engine, source: Engine | undefined): number => {
		let {tokens} = prompt;
		for (const [index, key] of prefixKeys(prompt).entries()) {
			const partTokens = prompt.parts[index]?.tokens ?? 0;
			if (engine.cached.has(key) || source?.cached.has(key)) {
				tokens -= partTokens;
			} else if (cachedAnywhere.has(key)) {
				figures.prefilledAgain += partTokens;
			} else if ((inPrefill.get(key) ?? 0) > 0) {
				figures.prefilledInParallel += partTokens;
			}
		}

		return tokens;
	};

	const runRequest = (vm: number, effect: Extract<PlacementEffect, {kind: 'grant'}>, nowMs: number): void => {
		const engine = engines.get(effect.target.id)!;
		const {prompt} = effect.request;
		if (!prompt) {
			return;
		}

		const tokens = tokensToPrefill(prompt, engine, effect.details.copyFrom && engines.get(effect.details.copyFrom.id));
		figures.prefilledTokens += tokens;
		for (const key of prefixKeys(prompt)) {
			inPrefill.set(key, (inPrefill.get(key) ?? 0) + 1);
		}

		const prefilledMs = Math.max(nowMs, engine.freeAtMs) + (tokens / PREFILL_TOKENS_PER_MS * (slowdownOf?.(Number(effect.target.id.slice(1)), nowMs) ?? 1));
		engine.freeAtMs = prefilledMs;
		engine.waiting++;
		const {grantId, target: {id}} = effect;
		schedule(prefilledMs + FIRST_TOKEN_MS, firstMs => {
			engine.waiting--;
			engine.running++;
			for (const key of prefixKeys(prompt)) {
				inPrefill.set(key, (inPrefill.get(key) ?? 1) - 1);
				engine.cached.add(key);
				cachedAnywhere.add(key);
			}

			const record = requests.get(effect.request.requestId);
			if (record) {
				record.firstTokenMs = firstMs;
			}

			const isInTime = firstMs - effect.request.arrivedMs <= latencyTargetMs;
			const lateFigure = effect.queue?.tier === 'late' ? 'servedLate' : 'late';
			figures[isInTime ? 'inTime' : lateFigure]++;
			deliver(vm, {
				kind: 'observe', grantId, target: id, observation: {
					kind: 'load', load: {
						running: engine.running, waiting: engine.waiting, slots: 64, ...(slowdownOf && {workPercent: 100 * slowdownOf(Number(id.slice(1)), firstMs)}),
					},
				},
			}, firstMs);
			deliver(vm, {
				kind: 'observe', grantId, target: id, observation: {kind: 'first-token'},
			}, firstMs);
		});
		schedule(prefilledMs + FIRST_TOKEN_MS + GENERATE_MS, endMs => {
			engine.running--;
			deliver(vm, {
				kind: 'end', grantId, target: id, result: {kind: 'answered', cost: 0, answerMs: 1},
			}, endMs);
		});
	};

	/** Requests that were refused, and that callers brought back. */
	const refused = new Set<string>();
	const returned = new Set<string>();
	const onRefusal = ({request, retryAfterMs}: Extract<PlacementEffect, {kind: 'reject'}>, nowMs: number): void => {
		figures.refused++;
		refused.add(request.requestId);
		const remainingMs = request.arrivedMs + PATIENCE_MS - nowMs;
		if (returnsAfterRefusal && !returned.has(request.requestId) && retryAfterMs <= remainingMs * RETURN_SHARE) {
			schedule(nowMs + retryAfterMs, atMs => {
				const again = createRequest(request.team, atMs, {prompt: request.prompt!, targetLatencyMs: latencyTargetMs, firstAttemptMs: request.arrivedMs});
				returned.add(again.requestId);
				submit(again, Math.floor(lags.uniform() * size), atMs);
			});
		}
	};

	function submit(request: PlacementRequest, vm: number, nowMs: number): void {
		if (nowMs >= diesAtMs(vm)) {
			return;
		}

		figures.submitted++;
		requests.set(request.requestId, {
			team: request.team, tokens: request.prompt?.tokens ?? 0, arrivedMs: nowMs, firstTokenMs: undefined,
		});
		deliver(vm, {kind: 'ask', request}, nowMs);
	}

	function deliver(vm: number, message: PlacementMessage, nowMs: number): void {
		if (nowMs >= diesAtMs(vm)) {
			return;
		}

		for (const effect of vms[vm]!.handle(message, nowMs)) {
			if (effect.kind === 'grant') {
				runRequest(vm, effect, nowMs);
			} else if (effect.kind === 'reject') {
				onRefusal(effect, nowMs);
			} else {
				const to = names.indexOf(effect.vm);
				figures.messages++;
				schedule(nowMs + PEER_LATENCY_MS + lagMs(to, lags.uniform()), arrivedMs => {
					deliver(to, {kind: 'peer', from: names[vm]!, message: effect.message}, arrivedMs);
				});
			}
		}
	}

	for (const [index, vm] of names.entries()) {
		const placement = createPlacement({
			vm, vms: names, fleet: loadsOf[index]!, random: () => random.uniform(), service: {
				...modelService, coldPerS: 0, tokensPerS, engine: {slots: 64, kvCapacityTokens: 465_000, canCopyPrompts: true},
			},
		});
		for (const id of engines.keys()) {
			placement.handle({kind: 'target', target: target(id)}, 0);
		}

		vms.push(placement);
	}

	for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
		for (let vm = 0; vm < size; vm++) {
			schedule(nowMs, () => {
				deliver(vm, {kind: 'tick'}, nowMs);
				if ((nowMs + (vm * TICK_MS)) % REPORT_PERIOD_MS === 0) {
					const loads = vms[vm]!.knownTargets.takeObservedLoads(nowMs);
					const teams = vms[vm]!.teamLoads(nowMs);
					loadsOf[vm]!.expire(nowMs, REPORT_VALID_MS, size - 1);
					for (let peer = 0; peer < REPORT_PEERS; peer++) {
						const to = Math.floor(random.uniform() * size);
						deliver(to, {kind: 'observed-elsewhere', loads}, nowMs);
						if (sourceOf && to !== vm) {
							loadsOf[to]!.addReport({
								vm: names[vm]!, incarnation: 'i', sequence: nowMs, targets: [], teams,
							}, nowMs);
						}
					}
				}
			});
		}
	}

	const gapMs = 1000 / requestsPerS;
	for (let nowMs = 0, index = 0; nowMs < durationMs; nowMs += gapMs, index++) {
		const prompt = promptOf(random.uniform(), index);
		const draw = random.uniform();
		const {team, vm} = sourceOf?.(draw, index, nowMs) ?? {team: `team-${index % 20}`, vm: Math.floor(draw * size)};
		schedule(nowMs, () => {
			submit(createRequest(team, nowMs, {prompt, targetLatencyMs: latencyTargetMs}), vm, nowMs);
		});
	}

	for (let nowMs = 0; nowMs < durationMs; nowMs++) {
		// An event may add events to its own millisecond. They run after it in the same loop.
		for (const event of events.get(nowMs) ?? []) {
			event.act(nowMs);
		}

		events.delete(nowMs);
	}

	const unanswered = [...requests].filter(([id, {arrivedMs, firstTokenMs}]) => firstTokenMs === undefined && !refused.has(id) && arrivedMs + latencyTargetMs < durationMs).length;
	return {
		...figures, unanswered, requests: [...requests.values()], utilization: figures.prefilledTokens / PREFILL_TOKENS_PER_MS / (durationMs * count),
	};
};
