/**
 * Simulates a large fleet of small VMs whose processors are the bottleneck, from a seed and
 * without I/O. Each step of a request, each message between VMs and standing work cost processor
 * time at the VM where they happen (`_work-costs.ts`); steps wait for the work before them. The
 * load shedder and the placement decide as in the router. Requests are routed to VMs by their
 * caller, so a team whose callers are few can flood a VM while others are idle.
 */
import {createAdmissionControl} from '../../src/core/admission/admission-control.js';
import {createLoadShedder} from '../../src/core/admission/load-shedder.js';
import {retryDelayMs} from '../../src/core/admission/retry-delay.js';
import {type GrantResult, type Observation, type Prompt} from '../../src/core/dispatch/types.js';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {type PlacementEffect, type PlacementMessage} from '../../src/core/placement/messages.js';
import {prefixKeys} from '../../src/core/placement/prefix-cache-estimate.js';
import {type PlacementRequest} from '../../src/core/placement/types.js';
import {createRandom} from '../../tools/load/random.js';
import {createProcessor, type Processor} from './_processor.js';
import {
	createPlacement, createRequest, modelService, plainService, target,
} from './_service.js';
import {type WorkCosts} from './_work-costs.js';

const PREFILL_TOKENS_PER_MS = 55;
/** Milliseconds from the end of the prefill until the first event reaches the VM. */
const FIRST_EVENT_MS = 15;
/** Milliseconds between the events of a response. */
const EVENT_GAP_MS = 12;
/** Milliseconds that a plain target works on a request. */
const PLAIN_WORK_MS = 60;
const PLAIN_SLOTS = 6;
const PEER_LATENCY_MS = 1;
const CALLER_LATENCY_MS = 3;
const REPORT_PERIOD_MS = 400;
const REPORT_PEERS = 8;
const REPORT_VALID_MS = 5000;
/** Milliseconds between the ticks of the placement while requests are queued, between checks of the event loop, and between parts of the standing work. */
const TICK_MS = 5;
const CHECK_MS = 250;
const STANDING_MS = 50;
/** Default of the setting `limits.behind_ms`. */
const BEHIND_MS = 20;
/** Connections in the accept queues of a VM beyond which callers find no connection, and connections that it accepts in a turn of its event loop: one per listener. */
const ACCEPT_BACKLOG = 88;
const ACCEPTS_PER_TURN = 8;
/** Milliseconds between health checks of the load balancer, and missed checks after which a VM gets no new connections. */
const HEALTH_CHECK_MS = 1000;
const MISSES_TO_LEAVE = 2;
/** Milliseconds after which a grant is not valid any more. */
const GRANT_VALIDITY_MS = 1000;
/** Turns of the event loop that a request waits before it is placed, for unread disconnects, and before it is sent, for a connection and another read of all sockets. */
const TURNS_BEFORE_PLACE = 2;
const TURNS_BEFORE_SEND = 3;
/** Times that a request is placed again after a grant that was not used in time. */
const MAX_RETRIES = 10;
/** Latency targets after which a caller abandons a stream without an event, and the least time for that in milliseconds. */
const ABANDON_TARGETS = 4;
const MIN_ABANDON_MS = 2000;
/** Largest Retry-After after which a caller returns, as a share of the time that it still waits. */
const RETURN_SHARE = 1 / 3;

/** Share of the shared tokens that all requests of a kind have in common. */
const COMMON_SHARE = 0.1;
/** Exponent that gives the sizes of prompts a long tail, the mean of an exponentially distributed number to that power, and the largest size. */
const OWN_TOKENS_EXPONENT = 1.5;
const OWN_TOKENS_MEAN = 1.33;
const MAX_OWN_TOKENS = 54_000;

/** A kind of request. */
export type RequestKind = {
	readonly weight: number;
	readonly targetLatencyMs: number;
	readonly timeLimitMs: number;
	readonly worth: number;
	readonly lateWorth: number;
	/** Events of a response; 0 for a plain one. */
	readonly events: number;
	/** Prompt tokens that are shared with other requests and that are not. */
	readonly sharedTokens: number;
	readonly ownTokens: number;
};

/** A caller, or callers that the load balancer sends to the same VM. */
export type CallerSpec = {
	readonly team: string;
	/** VMs of the caller's data centre in the order of a hash of the caller. Its requests, also those that return after a refusal, reach the first one that is in rotation. */
	readonly vms: readonly [number, ...number[]];
	readonly kinds: readonly RequestKind[];
	/** Requests a second. */
	readonly perS: (nowMs: number) => number;
};

export type ChargedFleet = {
	readonly seed: number;
	readonly vms: number;
	/** Share of a processor that each VM has. */
	readonly processorShare: number;
	readonly costs: WorkCosts;
	readonly engines: number;
	readonly plainTargets: number;
	readonly durationMs: number;
	readonly callers: readonly CallerSpec[];
	/** Whether requests are admitted by the budget of processor time, as where the settings name it, in place of the delay of timers. */
	readonly hasBudget?: boolean;
	/** Share of the returning callers that reach another VM of their data centre. */
	readonly returnsElsewhere?: number;
};

export type ChargedFigures = {
	readonly submitted: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	readonly failed: number;
	/** Worth of the responses as a share of the worth of all requests. */
	readonly servedShare: number;
	/** Processor time used in milliseconds, by VM. */
	readonly usedMs: readonly number[];
	/** Requests read, by VM. */
	readonly requests: readonly number[];
	/** Grants that were not used in time. */
	readonly expiredGrants: number;
	readonly noConnection: number;
	readonly shed: number;
	/** Milliseconds from arrival to the first part, in order. */
	readonly firstPartMs: readonly number[];
};

type PlainTarget = {running: number; readonly waiting: Array<(nowMs: number) => void>};
type Engine = {readonly cached: Set<number>; freeAtMs: number; running: number};

/** A request of a caller, over all its attempts. */
type Call = {
	readonly kind: RequestKind;
	readonly caller: CallerSpec;
	readonly startMs: number;
	readonly prompt: Prompt | undefined;
	hasReturned: boolean;
	/** Set once the caller has a result or has left. */
	isOver: boolean;
};

/** An attempt at one VM. */
type Attempt = {
	readonly call: Call;
	readonly vm: number;
	request: PlacementRequest | undefined;
	retries: number;
	grant: {readonly id: string; readonly target: string} | undefined;
	/** Events read from the target but not passed on. */
	unread: number;
	hasStarted: boolean;
	isDone: boolean;
};

const serviceOf = (kind: RequestKind): 'tariff' | 'ledger' => kind.events > 0 ? 'tariff' : 'ledger';

/** Plays the requests of all callers and returns what they got. */
export const playChargedFleet = (fleet: ChargedFleet): ChargedFigures => {
	const {
		seed, vms: size, processorShare, costs, engines: engineCount, plainTargets, durationMs, callers, hasBudget = false, returnsElsewhere = 0,
	} = fleet;
	const random = createRandom(seed);
	const arrivals = createRandom(seed, 1);
	const names = Array.from({length: size}, (_, index) => `vm-${index}`);
	const figures = {
		submitted: 0, inTime: 0, late: 0, refused: 0, failed: 0, expiredGrants: 0, noConnection: 0, shed: 0,
	};
	const worth = {asked: 0, earned: 0};
	const firstPartMs: number[] = [];
	const events = new Map<number, Array<(nowMs: number) => void>>();
	let clockMs = 0;
	/** Calls at a whole millisecond; a time within the present one is met at once, so that chains of short steps add up. */
	const schedule = (atMs: number, act: (nowMs: number) => void): void => {
		const bucket = Math.max(clockMs, Math.ceil(atMs));
		const due = events.get(bucket) ?? [];
		events.set(bucket, due);
		due.push(() => {
			act(atMs);
		});
	};

	const engines = new Map<string, Engine>(Array.from({length: engineCount}, (_, index) => [`t${index}`, {
		cached: new Set<number>(), freeAtMs: 0, running: 0,
	}]));
	const plain = new Map<string, PlainTarget>(Array.from({length: plainTargets}, (_, index) => [`p${index}`, {running: 0, waiting: []}]));
	const attempts = new Map<string, Attempt>();

	const vms = names.map((name, index) => {
		const processor: Processor = createProcessor(processorShare, costs, schedule);
		const loadShedder = createLoadShedder({behindMs: BEHIND_MS, random: () => random.uniform()});
		const vm = {open: 0};
		const admission = createAdmissionControl({
			processorShare: hasBudget ? processorShare : undefined, processors: 1, usedMs: processor.usedMs, idleMs: () => processor.idleMs(clockMs), open: () => vm.open,
		});
		const loads = new FleetLoads();
		const shared = {
			vm: name, vms: names, fleet: loads, random: () => random.uniform(), isVmOverloaded: () => loadShedder.refusedShare() > 0,
		};
		const service = {...modelService, coldPerS: 0, engine: {slots: 64, kvCapacityTokens: 460_000, canCopyPrompts: true}};
		const placements = {
			tariff: createPlacement({...shared, service}),
			ledger: createPlacement({...shared, service: plainService}),
		};
		for (const id of engines.keys()) {
			placements.tariff.handle({kind: 'target', target: target(id)}, 0);
		}

		for (const id of plain.keys()) {
			placements.ledger.handle({kind: 'target', target: target(id, {service: 'ledger', slots: PLAIN_SLOTS})}, 0);
		}

		const acceptQueue: Array<(nowMs: number) => void> = [];
		return {
			index, processor, loadShedder, admission, loads, placements, vm, acceptQueue, isAccepting: false, requests: 0, isTicking: false, misses: 0,
		};
	});
	type Vm = (typeof vms)[number];

	const succeed = ({call}: Attempt, nowMs: number): void => {
		if (call.isOver) {
			return;
		}

		call.isOver = true;
		const elapsedMs = nowMs + CALLER_LATENCY_MS - call.startMs;
		const isInTime = elapsedMs <= call.kind.targetLatencyMs;
		firstPartMs.push(elapsedMs);
		figures[isInTime ? 'inTime' : 'late']++;
		worth.earned += isInTime ? call.kind.worth : call.kind.lateWorth;
	};

	const giveUp = (call: Call, how: 'refused' | 'failed'): void => {
		if (!call.isOver) {
			call.isOver = true;
			figures[how]++;
		}
	};

	const isInRotation = (index: number): boolean => vms[index]!.misses < MISSES_TO_LEAVE;
	const vmOf = ({vms: order}: CallerSpec): number => {
		const inRotation = order.filter(index => isInRotation(index));
		return (inRotation.length * 2 >= order.length ? inRotation[0] : undefined) ?? order[0];
	};

	/** The caller gets a refusal and returns once if it may return soon enough. */
	const onRefusal = ({call, vm}: Attempt, retryAfterMs: number, nowMs: number): void => {
		const remainingMs = call.startMs + call.kind.timeLimitMs - nowMs;
		if (call.isOver || call.hasReturned || retryAfterMs > remainingMs * RETURN_SHARE) {
			giveUp(call, 'refused');
			return;
		}

		call.hasReturned = true;
		schedule(nowMs + retryAfterMs + (2 * CALLER_LATENCY_MS), atMs => {
			const others = call.caller.vms.filter(other => other !== vm);
			arrive(call, others.length > 0 && random.uniform() < returnsElsewhere ? others[Math.floor(random.uniform() * others.length)]! : vmOf(call.caller), atMs);
		});
	};

	const endGrant = (vm: Vm, attempt: Attempt, result: Pick<GrantResult, 'kind'>, nowMs: number): void => {
		const {grant, call} = attempt;
		if (grant) {
			attempt.grant = undefined;
			deliver(vm, serviceOf(call.kind), {
				kind: 'end', grantId: grant.id, target: grant.target, result: {...result, cost: 0, answerMs: 1},
			}, nowMs);
		}
	};

	const finish = (vm: Vm, attempt: Attempt): void => {
		if (!attempt.isDone) {
			attempt.isDone = true;
			vm.vm.open--;
			if (attempt.request) {
				attempts.delete(attempt.request.requestId);
			}
		}
	};

	/** Reads what a target has sent since the last read of this response. */
	const relay = (vm: Vm, attempt: Attempt, {isLast}: {readonly isLast: boolean}, nowMs: number): void => {
		attempt.unread++;
		if (attempt.unread > 1 && !isLast) {
			return;
		}

		const readNow = () => {
			const unread = Math.max(1, attempt.unread);
			attempt.unread = 0;
			return costs.eventMs * (unread - 1);
		};

		vm.processor.step('relay', nowMs, atMs => {
			const {grant, call} = attempt;
			if (!grant || attempt.isDone) {
				return;
			}

			if (!attempt.hasStarted) {
				attempt.hasStarted = true;
				succeed(attempt, atMs);
				const observe = (observation: Observation): void => {
					deliver(vm, serviceOf(call.kind), {
						kind: 'observe', grantId: grant.id, target: grant.target, observation,
					}, atMs);
				};

				observe({kind: 'first-token'});
				const engine = engines.get(grant.target);
				if (engine) {
					observe({kind: 'load', load: {running: engine.running, waiting: 0, slots: 64}});
				}
			}

			if (isLast) {
				vm.processor.step('end', atMs, endMs => {
					endGrant(vm, attempt, {kind: 'answered'}, endMs);
					finish(vm, attempt);
				});
			}
		}, readNow);
	};

	const runAtEngine = (vm: Vm, attempt: Attempt, engine: Engine, nowMs: number): void => {
		const {prompt, kind} = attempt.call;
		let tokens = prompt?.tokens ?? 0;
		for (const [index, key] of (prompt ? prefixKeys(prompt) : []).entries()) {
			tokens -= engine.cached.has(key) ? prompt?.parts[index]?.tokens ?? 0 : 0;
			engine.cached.add(key);
		}

		engine.freeAtMs = Math.max(nowMs, engine.freeAtMs) + (tokens / PREFILL_TOKENS_PER_MS);
		engine.running++;
		const firstMs = engine.freeAtMs + FIRST_EVENT_MS;
		for (let event = 0; event < kind.events; event++) {
			const isLast = event === kind.events - 1;
			schedule(firstMs + (event * EVENT_GAP_MS), atMs => {
				engine.running -= isLast ? 1 : 0;
				if (!attempt.isDone) {
					relay(vm, attempt, {isLast}, atMs);
				}
			});
		}
	};

	const runPlain = (vm: Vm, attempt: Attempt, id: string, nowMs: number): void => {
		const service = plain.get(id)!;
		const start = (startMs: number): void => {
			service.running++;
			schedule(startMs + PLAIN_WORK_MS, atMs => {
				service.running--;
				service.waiting.shift()?.(atMs);
				relay(vm, attempt, {isLast: true}, atMs);
			});
		};

		if (service.running < PLAIN_SLOTS) {
			start(nowMs);
		} else {
			service.waiting.push(start);
		}
	};

	/** Writes a request to the target that was granted, unless the grant has become too old while the write waited. */
	const send = (vm: Vm, attempt: Attempt, grantedMs: number, nowMs: number): void => {
		vm.processor.step('send', nowMs, atMs => {
			const {grant, call} = attempt;
			if (!grant || attempt.isDone) {
				return;
			}

			if (atMs - grantedMs > GRANT_VALIDITY_MS) {
				figures.expiredGrants++;
				attempt.retries++;
				endGrant(vm, attempt, {kind: 'unsent'}, atMs);
				if (attempt.retries > MAX_RETRIES) {
					refuse(vm, attempt, 0, atMs);
				} else {
					ask(vm, attempt, atMs);
				}

				return;
			}

			const engine = engines.get(grant.target);
			if (engine) {
				runAtEngine(vm, attempt, engine, atMs);
			} else {
				runPlain(vm, attempt, grant.target, atMs);
			}
		});
	};

	const refuse = (vm: Vm, attempt: Attempt, retryAfterMs: number, nowMs: number): void => {
		vm.processor.step('refuse', nowMs, atMs => {
			if (!attempt.isDone) {
				finish(vm, attempt);
				onRefusal(attempt, retryAfterMs, atMs + CALLER_LATENCY_MS);
			}
		});
	};

	/** Waits for all work that is queued now, `turns` times. */
	const afterTurns = (vm: Vm, turns: number, nowMs: number, then: (nowMs: number) => void): void => {
		if (turns === 0) {
			then(nowMs);
			return;
		}

		vm.processor.work(0, nowMs, atMs => {
			afterTurns(vm, turns - 1, atMs, then);
		});
	};

	function ask(vm: Vm, attempt: Attempt, nowMs: number): void {
		vm.processor.step('place', nowMs, atMs => {
			if (!attempt.isDone && attempt.request) {
				deliver(vm, serviceOf(attempt.call.kind), {kind: 'ask', request: attempt.request}, atMs);
			}
		});
	}

	const apply = (vm: Vm, service: 'tariff' | 'ledger', effect: PlacementEffect, nowMs: number): void => {
		if (effect.kind === 'tell-peer') {
			const to = vms[names.indexOf(effect.vm)]!;
			vm.processor.step('tell', nowMs, sentMs => {
				schedule(sentMs + PEER_LATENCY_MS, arrivedMs => {
					to.processor.step('receive', arrivedMs, atMs => {
						deliver(to, service, {kind: 'peer', from: names[vm.index]!, message: effect.message}, atMs);
					});
				});
			});
			return;
		}

		const attempt = attempts.get(effect.request.requestId);
		if (!attempt || attempt.isDone) {
			if (effect.kind === 'grant') {
				deliver(vm, service, {
					kind: 'end', grantId: effect.grantId, target: effect.target.id, result: {kind: 'unsent', cost: 0, answerMs: 0},
				}, nowMs);
			}
		} else if (effect.kind === 'grant') {
			attempt.grant = {id: effect.grantId, target: effect.target.id};
			afterTurns(vm, TURNS_BEFORE_SEND, nowMs, turnMs => {
				send(vm, attempt, nowMs, turnMs);
			});
		} else {
			refuse(vm, attempt, effect.retryAfterMs, nowMs);
		}
	};

	function deliver(vm: Vm, service: 'tariff' | 'ledger', message: PlacementMessage, nowMs: number): void {
		for (const effect of vm.placements[service].handle(message, nowMs)) {
			apply(vm, service, effect, nowMs);
		}
	}

	/** The caller disconnects if it has no first part by then. */
	const scheduleDisconnect = (vm: Vm, attempt: Attempt): void => {
		const {call} = attempt;
		const {events: count, targetLatencyMs, timeLimitMs} = call.kind;
		const patienceMs = count > 0 ? Math.min(timeLimitMs, Math.max(MIN_ABANDON_MS, ABANDON_TARGETS * targetLatencyMs)) : timeLimitMs;
		schedule(call.startMs + patienceMs, leftMs => {
			if (attempt.isDone || attempt.hasStarted) {
				return;
			}

			giveUp(call, 'failed');
			vm.processor.step('leave', leftMs, atMs => {
				if (attempt.isDone) {
					return;
				}

				if (attempt.grant) {
					endGrant(vm, attempt, {kind: 'cancelled'}, atMs);
				} else if (attempt.request) {
					deliver(vm, serviceOf(call.kind), {kind: 'withdraw', requestId: attempt.request.requestId}, atMs);
				}

				finish(vm, attempt);
			});
		});
	};

	/** Accepts a few connections at the start of each turn of the event loop. */
	const accept = (vm: Vm, nowMs: number): void => {
		vm.isAccepting = vm.acceptQueue.length > 0;
		for (const read of vm.acceptQueue.splice(0, ACCEPTS_PER_TURN)) {
			vm.processor.work(0, nowMs, read);
		}

		if (vm.isAccepting) {
			vm.processor.work(0, nowMs, atMs => {
				accept(vm, atMs);
			});
		}
	};

	const admit = ({admission, loadShedder}: Vm, team: string, nowMs: number): boolean => admission.hasBudget ? admission.admit(team, nowMs) : loadShedder.admit(team, nowMs);

	const shed = (vm: Vm, attempt: Attempt, nowMs: number): void => {
		figures.shed++;
		vm.processor.step('shed', nowMs, atMs => {
			finish(vm, attempt);
			const {startMs, kind} = attempt.call;
			const share = vm.admission.hasBudget ? vm.admission.refusedShare() : vm.loadShedder.refusedShare();
			onRefusal(attempt, retryDelayMs(share, startMs + kind.timeLimitMs - atMs, () => random.uniform()), atMs + CALLER_LATENCY_MS);
		});
	};

	const read = (vm: Vm, attempt: Attempt, headMs: number): void => {
		const {kind, caller: {team}, prompt, startMs, hasReturned} = attempt.call;
		vm.requests++;
		vm.processor.step('read', headMs, atMs => {
			if (attempt.isDone) {
				return;
			}

			attempt.request = createRequest(team, headMs, {
				...(prompt && {prompt}),
				...(hasReturned && {firstAttemptMs: startMs}),
				targetLatencyMs: kind.targetLatencyMs,
				callerLeavesMs: startMs + Math.max(MIN_ABANDON_MS, ABANDON_TARGETS * kind.targetLatencyMs),
			});
			attempts.set(attempt.request.requestId, attempt);
			afterTurns(vm, TURNS_BEFORE_PLACE, atMs, turnMs => {
				ask(vm, attempt, turnMs);
			});
		});
	};

	function arrive(call: Call, index: number, nowMs: number): void {
		const vm = vms[index]!;
		if (vm.acceptQueue.length >= ACCEPT_BACKLOG) {
			figures.noConnection++;
			giveUp(call, 'failed');
			return;
		}

		const attempt: Attempt = {
			call, vm: index, request: undefined, retries: 0, grant: undefined, unread: 0, hasStarted: false, isDone: false,
		};
		vm.vm.open++;
		scheduleDisconnect(vm, attempt);
		vm.acceptQueue.push(headMs => {
			if (attempt.isDone) {
				return;
			}

			if (admit(vm, call.caller.team, headMs)) {
				read(vm, attempt, headMs);
			} else {
				shed(vm, attempt, headMs);
			}
		});
		if (!vm.isAccepting) {
			accept(vm, nowMs);
		}
	}

	/** The load balancer asks whether the VM is ready. A response that takes longer than the period counts as missed. */
	const checkHealth = (vm: Vm, dueMs: number): void => {
		schedule(dueMs, nowMs => {
			let isAnswered = false;
			vm.processor.work(0, nowMs, () => {
				isAnswered = !vm.loadShedder.isOverloaded();
			});
			schedule(nowMs + HEALTH_CHECK_MS, atMs => {
				vm.misses = isAnswered ? 0 : vm.misses + 1;
				checkHealth(vm, atMs);
			});
		});
	};

	const startTimers = (vm: Vm): void => {
		const check = (dueMs: number): void => {
			schedule(dueMs, nowMs => {
				vm.processor.work(0, nowMs, atMs => {
					vm.loadShedder.recordLoopDelay(Math.max(0, atMs - dueMs));
					vm.admission.tick(atMs);
					check(atMs + CHECK_MS);
				});
			});
		};

		const standingWork = (dueMs: number): void => {
			schedule(dueMs, nowMs => {
				vm.processor.work(costs.standingMsPerS * STANDING_MS / 1000, nowMs, () => undefined);
				standingWork(dueMs + STANDING_MS);
			});
		};

		const report = (dueMs: number): void => {
			schedule(dueMs, nowMs => {
				vm.processor.work(0, nowMs, atMs => {
					const loads = vm.placements.tariff.knownTargets.takeObservedLoads(atMs);
					const teams = vm.placements.tariff.teamLoads(atMs);
					vm.loads.expire(atMs, REPORT_VALID_MS, size - 1);
					for (let peer = 0; peer < REPORT_PEERS; peer++) {
						const to = vms[Math.floor(random.uniform() * size)]!;
						if (to !== vm) {
							schedule(atMs + PEER_LATENCY_MS, arrivedMs => {
								to.processor.work(0, arrivedMs, readMs => {
									deliver(to, 'tariff', {kind: 'observed-elsewhere', loads}, readMs);
									to.loads.addReport({
										vm: names[vm.index]!, incarnation: 'i', sequence: atMs, targets: [], teams,
									}, readMs);
								});
							});
						}
					}

					report(dueMs + REPORT_PERIOD_MS);
				});
			});
		};

		check(CHECK_MS * random.uniform());
		standingWork(STANDING_MS * random.uniform());
		report(REPORT_PERIOD_MS * random.uniform());
		const tick = (dueMs: number): void => {
			schedule(dueMs, nowMs => {
				if (!vm.isTicking) {
					vm.isTicking = true;
					vm.processor.work(0, nowMs, atMs => {
						vm.isTicking = false;
						deliver(vm, 'tariff', {kind: 'tick'}, atMs);
						deliver(vm, 'ledger', {kind: 'tick'}, atMs);
					});
				}

				tick(dueMs + TICK_MS);
			});
		};

		tick(0);
	};

	for (const vm of vms) {
		startTimers(vm);
		checkHealth(vm, HEALTH_CHECK_MS * random.uniform());
	}

	const pickKind = (kinds: readonly RequestKind[]): RequestKind => {
		let draw = arrivals.uniform() * kinds.reduce((sum, {weight}) => sum + weight, 0);
		return kinds.find(({weight}) => {
			draw -= weight;
			return draw < 0;
		}) ?? kinds[0]!;
	};

	const createPrompt = ({sharedTokens, ownTokens, events: count}: RequestKind): Prompt | undefined => {
		if (count === 0) {
			return undefined;
		}

		const tokens = Math.ceil(sharedTokens + Math.min(MAX_OWN_TOKENS, ownTokens * (arrivals.exponential(1) ** OWN_TOKENS_EXPONENT) / OWN_TOKENS_MEAN));
		const commonTokens = Math.ceil(sharedTokens * COMMON_SHARE);
		const subject = `s${count}-${Math.floor(arrivals.uniform() * 100)}`;
		return {
			model: 'm', tokens, outputTokens: 300,
			parts: [
				{id: `common-${count}`, tokens: commonTokens},
				{id: subject, tokens: sharedTokens - commonTokens},
				{id: `own-${figures.submitted}`, tokens: tokens - sharedTokens},
			],
		};
	};

	for (const caller of callers) {
		const {kinds, perS} = caller;
		// Thinning of a Poisson process at the highest rate.
		const most = Math.max(...Array.from({length: Math.ceil(durationMs / 500)}, (_, index) => perS(index * 500)));
		for (let atMs = arrivals.exponential(1000 / most); atMs < durationMs; atMs += arrivals.exponential(1000 / most)) {
			if (arrivals.uniform() * most < perS(atMs)) {
				const kind = pickKind(kinds);
				const call: Call = {
					kind, caller, startMs: atMs, prompt: createPrompt(kind), hasReturned: false, isOver: false,
				};
				figures.submitted++;
				worth.asked += kind.worth;
				schedule(atMs + CALLER_LATENCY_MS, nowMs => {
					arrive(call, vmOf(caller), nowMs);
				});
			}
		}
	}

	const LAST_RESPONSES_MS = 12_000;
	for (; clockMs < durationMs + LAST_RESPONSES_MS; clockMs++) {
		// An event may add events to its own millisecond. They run after it in the same loop.
		for (const act of events.get(clockMs) ?? []) {
			act(clockMs);
		}

		events.delete(clockMs);
	}

	return {
		...figures,
		servedShare: worth.earned / worth.asked,
		usedMs: vms.map(({processor}) => processor.usedMs()),
		requests: vms.map(({requests}) => requests),
		firstPartMs: firstPartMs.toSorted((a, b) => a - b),
	};
};
