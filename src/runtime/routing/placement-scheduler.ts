/**
 * The scheduler of routed requests: one placement for each service, fed with news and asks.
 * During a roll-out the targets of the new version have a placement of their own, so that
 * prompts, queues and loads of the two versions stay apart.
 */
import {type Clock} from '../../core/clock.js';
import {type Grant, type PendingGrant, type Scheduler} from '../../core/dispatch/types.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {DeadlinePassed, DeadlineUnreachable, NoTarget} from '../../core/errors/refusals-data.js';
import {
	type LeavingTarget, type ObservedLoad, type PlacementEffect, type PlacementMessage, type PlacementRejection,
} from '../../core/placement/messages.js';
import {type PromptLoss, type LossCriteria} from '../../core/placement/prompt-loss.js';
import {planExchange} from '../../core/placement/exchange-plan.js';
import {type FleetLoads, type TargetLoad, type TeamLoad} from '../../core/placement/fleet-loads.js';
import {type SentPrompt} from '../../core/placement/prefix-cache-estimate.js';
import {type PeerMessage} from '../../core/placement/reservations.js';
import {type Tier} from '../../core/placement/service-queue.js';
import {ServicePlacement} from '../../core/placement/service-placement.js';
import {type FleetBounds, type PlacementRequest} from '../../core/placement/types.js';
import {coldLimit} from '../../core/placement/cold-limit.js';
import {type FleetUpdate, type RoutedService, type TargetRecord} from '../../core/routing/types.js';
import {type Log} from '../observe/log.js';
import {type RolloutTask} from '../rollout/rollout-task.js';
import {type FleetView} from './fleet-view.js';
import {grantFields, rejectFields} from './placement-fields.js';

/** Milliseconds between looks at what waits, while something waits. */
const TICK_MS = 5;
/** Milliseconds for which a grant may be used. */
const GRANT_MS = 1000;
/**
 * Milliseconds for which a grant for a cold target may be used: its rate is counted at the
 * grant, over a window that is longer than a second by this.
 */
const COLD_GRANT_MS = 100;
/** Target latency of requests that name none. */
const DEFAULT_LATENCY_MS = 1000;

export type PlacementSchedulerOptions = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly bounds: FleetBounds;
	readonly clock: Clock;
	readonly view: FleetView;
	/** Names of the VMs of the fleet, this one included. */
	readonly vms: () => readonly string[];
	readonly log: Log;
	readonly loads: FleetLoads;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	/** Whether what is known of the fleet is as of now; false after a pause of the process. */
	readonly isCurrent?: () => boolean;
	/** Whether this VM is behind its work. */
	readonly isVmOverloaded: () => boolean;
	/** Absent when versions of targets are ignored. */
	readonly rollout?: Pick<RolloutTask, 'evidence' | 'versionSplit' | 'usesNewVersion' | 'maySend'>;
	/** Counts requests that left the queue; one that never waited counts as in time. */
	readonly countOutcome: (labels: {readonly service: string; readonly tier: Tier; readonly outcome: 'started' | PlacementRejection}) => void;
	/** Sends a message to another VM; it may be lost. */
	readonly tellPeer: (vm: string, service: string, message: PeerMessage) => void;
};

/**
 * Milliseconds without a sign of life after which an engine of a large fleet counts as
 * silent, at the least: most signs are heard of in the reports of other VMs, some two a
 * second of each engine, so that a healthy one is not heard of for as long once in 20 times.
 */
const SAMPLED_SILENCE_MS = 1500;

/** What a call that waits for a model engine tells, and asks. */
export type StartWatch = {
	/** The first byte is written now. */
	readonly noteWritten: (grant: Grant) => void;
	/** The target sends something. */
	readonly noteActivity: (grant: Grant) => void;
	/** Why a prompt is lost; `not-judged` unless it was sent to a model engine that is known. */
	readonly detectLoss: (grant: Grant, limits: LossCriteria) => PromptLoss | 'not-judged' | undefined;
};

export type PlacementScheduler = Required<Scheduler> & {
	readonly starts: StartWatch;
	readonly onNews: (news: FleetUpdate) => void;
	readonly onUnreachable: (address: string) => void;
	/** The targets of a service are divided anew between versions. */
	readonly onLanes: (service: string) => void;
	readonly stop: () => void;
	/** What this VM reports to the others. */
	readonly targetLoads: () => readonly TargetLoad[];
	readonly teamLoads: () => readonly TeamLoad[];
	/** Prompts that were sent since the last call, for the report to the other VMs. */
	readonly takeSentPrompts: () => readonly SentPrompt[];
	/** What targets said of their load since the last call, for the report to the other VMs. */
	readonly takeObserved: () => readonly ObservedLoad[];
	/** Takes in what targets said of their load to another VM. */
	readonly onObserved: (loads: readonly ObservedLoad[]) => void;
	/** Takes in the prompts that another VM has sent. */
	readonly onSentPrompts: (sent: readonly SentPrompt[]) => void;
	/** Targets whose answers have begun to say that they leave. */
	readonly leavingTargets: () => readonly LeavingTarget[];
	readonly onLeavingTargets: (leaving: readonly LeavingTarget[]) => void;
	/** Takes in what another VM says of reservations. */
	readonly onPeer: (from: string, service: string, message: PeerMessage) => void;
	/** Asks that wait, by service and tier. */
	readonly waiting: () => ReadonlyMap<string, Readonly<Record<Tier, number>>>;
};

const refusalOf = {'no-target': NoTarget, 'too-late': DeadlinePassed, 'no-turn': DeadlineUnreachable} as const;

/** The targets of a service that are placed together: all of them, or those of one side of a roll-out. */
type Lane = {
	readonly service: string;
	readonly placement: ServicePlacement;
	/** Grants that have not ended. */
	open: number;
};

type ServiceLanes = {
	main: Lane;
	next: (Lane & {readonly version: string}) | undefined;
};

type OpenGrant = {readonly lane: Lane; readonly version: string};

type Waiter = {
	readonly ask: PlacementRequest;
	lane: Lane | undefined;
	readonly resolve: (grant: Grant) => void;
	readonly reject: (err: RefusalError) => void;
};

/** Sums what the lanes of one service report of a team. */
const mergeTeams = (loads: readonly TeamLoad[]): readonly TeamLoad[] => {
	const merged = new Map<string, TeamLoad>();
	for (const load of loads) {
		const key = `${load.service} ${load.team}`;
		const known = merged.get(key);
		merged.set(key, known
			? {
				...load, use: known.use + load.use, asked: known.asked + load.asked, waits: known.waits || load.waits,
			}
			: load);
	}

	return [...merged.values()];
};

export const createPlacementScheduler = ({
	vm, dataCentre, bounds, clock, view, vms, log, loads, random, isCurrent = () => true, isVmOverloaded, rollout, countOutcome, tellPeer,
}: PlacementSchedulerOptions): PlacementScheduler => {
	const lanesOf = new Map<string, ServiceLanes>();
	/** Lanes that get no more requests and whose last ones run to their end. */
	const retired = new Set<Lane>();
	const laneOfTarget = new Map<string, Lane>();
	const waiters = new Map<string, Waiter>();
	const openGrants = new Map<string, OpenGrant>();
	let grants = 0;
	let timer: NodeJS.Timeout | undefined;

	const createGrantId = (): string => {
		grants++;
		return `${vm}-${grants}`;
	};

	const allLanes = (): readonly Lane[] => [...[...lanesOf.values()].flatMap(({main, next}) => next ? [main, next] : [main]), ...retired];
	const allPlacements = (): readonly ServicePlacement[] => allLanes().map(({placement}) => placement);

	const prune = (lane: Lane): void => {
		if (lane.open === 0 && lane.placement.waiting === 0) {
			retired.delete(lane);
		}
	};

	const perform = (service: string, lane: Lane | undefined, effects: readonly PlacementEffect[]): void => {
		for (const effect of effects) {
			if (effect.kind === 'tell-peer') {
				tellPeer(effect.vm, service, effect.message);
				continue;
			}

			countOutcome({service, tier: effect.queue?.tier ?? 'in-time', outcome: effect.kind === 'reject' ? effect.reason : 'started'});
			const waiter = waiters.get(effect.request.requestId);
			waiters.delete(effect.request.requestId);
			if (effect.kind === 'reject') {
				log.info('request not placed', rejectFields(service, effect, clock.nowMs()));
				waiter?.reject(new RefusalError(refusalOf[effect.reason], {service, waitMs: Math.round(effect.retryAfterMs)}, {retryAfterMs: effect.retryAfterMs}));
				continue;
			}

			const {target, grantId, details} = effect;
			log.routine('request placed', {
				...grantFields(service, effect), ...(rollout && {version: target.version}), vms_heard: loads.reportingVms, config_version: view.inForce()?.config.version,
			});
			if (lane) {
				lane.open++;
				openGrants.set(grantId, {lane, version: target.version ?? ''});
			}

			rollout?.evidence.noteSent(grantId, {
				service, route: effect.request.kind ?? '', version: target.version ?? '', isCold: details.isCold, targetLatencyMs: effect.request.targetLatencyMs, sentMs: clock.nowMs(),
			});
			waiter?.resolve({
				grantId, target: target.id, address: target.address, epoch: 0n, instance: target.id, expiresAtMs: clock.nowMs() + GRANT_MS,
				...(details.copyFrom && {copyPromptFrom: details.copyFrom.address}),
			});
		}
	};

	const tell = (lane: Lane | undefined, message: PlacementMessage): void => {
		if (lane) {
			perform(lane.service, lane, lane.placement.handle(message, clock.nowMs()));
			arm();
		}
	};

	const tellAll = (message: PlacementMessage): void => {
		for (const lane of allLanes()) {
			tell(lane, message);
		}
	};

	const laneOfId = (id: string): Lane | undefined => laneOfTarget.get(id);

	function arm(): void {
		if (timer === undefined && waiters.size > 0) {
			timer = setTimeout(() => {
				timer = undefined;
				tellAll({kind: 'tick'});
				arm();
			}, TICK_MS);
		}
	}

	const createLane = (service: RoutedService): Lane => {
		const lane: Lane = {
			service: service.name, open: 0, placement: new ServicePlacement({
				service, bounds, vm, vms, dataCentre, fleet: loads, createGrantId, random, isVmOverloaded,
			}),
		};
		tell(lane, {kind: 'data-centres-out', names: view.outNames()});
		return lane;
	};

	/** The lane in which a target of a version belongs now; undefined when the version may not be used. */
	const laneFor = (service: string, version: string): Lane | undefined => {
		const lanes = lanesOf.get(service);
		const division = rollout?.versionSplit(service);
		if (!lanes || !division) {
			return lanes?.main;
		}

		if (lanes.next?.version === version) {
			return lanes.next;
		}

		const isMain = division.before ? division.before.includes(version) : !division.unconfirmed.has(version);
		return isMain ? lanes.main : undefined;
	};

	const onTarget = (target: TargetRecord): void => {
		const lane = laneFor(target.service, target.version ?? '');
		const known = laneOfTarget.get(target.id);
		if (known && known !== lane) {
			laneOfTarget.delete(target.id);
			tell(known, {kind: 'target-gone', id: target.id});
		}

		if (lane) {
			laneOfTarget.set(target.id, lane);
			tell(lane, {kind: 'target', target});
		}
	};

	const tellTargets = (service: string): void => {
		for (const target of view.targets().values()) {
			if (target.service === service) {
				onTarget(target);
			}
		}
	};

	/** Requests that wait in a lane that is no longer used wait in the other one. */
	const moveWaiting = (from: Lane, to: Lane): void => {
		for (const [requestId, waiter] of waiters) {
			if (waiter.lane === from) {
				tell(from, {kind: 'withdraw', requestId});
				waiter.lane = to;
				tell(to, {kind: 'ask', request: waiter.ask});
			}
		}
	};

	const retire = (lane: Lane): void => {
		retired.add(lane);
		prune(lane);
	};

	const onLanes = (service: string): void => {
		const lanes = lanesOf.get(service);
		const config = view.inForce()?.config.services.get(service);
		const division = rollout?.versionSplit(service);
		if (!lanes || !config || !division) {
			return;
		}

		const {main, next} = lanes;
		if (next && next.version !== division.next) {
			lanes.next = undefined;
			// The version that was rolled out is the service's own now, with what is known of its targets.
			const isCompleted = division.before?.includes(next.version) === true;
			lanes.main = isCompleted ? next : main;
			retire(isCompleted ? main : next);
		}

		if (division.next !== undefined && !lanes.next) {
			lanes.next = Object.assign(createLane(config), {version: division.next});
		}

		tellTargets(service);
		for (const lane of retired) {
			if (lane.service === service) {
				moveWaiting(lane, lanes.main);
				prune(lane);
			}
		}
	};

	const onConfig = ({config}: Extract<FleetUpdate, {kind: 'config'}>): void => {
		for (const service of config.services.values()) {
			const lanes = lanesOf.get(service.name);
			if (lanes) {
				tell(lanes.main, {kind: 'service', service});
				tell(lanes.next, {kind: 'service', service});
				continue;
			}

			lanesOf.set(service.name, {main: createLane(service), next: undefined});
			if (rollout) {
				onLanes(service.name);
			} else {
				tellTargets(service.name);
			}
		}
	};

	const hasUsable = (lane: Lane): boolean => lane.placement.knownTargets.usable().length > 0;

	/** Whether a target of the new version can take a request now: a cold one bears few, and a VM's part of these may be none. */
	const hasRoom = (lane: Lane): boolean => {
		const nowMs = clock.nowMs();
		const coldPerS = view.inForce()?.config.services.get(lane.service)?.coldPerS ?? 0;
		return lane.placement.knownTargets.usable().some(target => coldPerS === 0 || !target.isCold(nowMs) || target.hasColdCapacity(coldLimit(target.record.id, {
			bounds, coldPerS, vm, vms: vms(),
		}), nowMs));
	};

	const laneOfAsk = (service: string, {requestId, tried}: PlacementRequest): Lane | undefined => {
		const lanes = lanesOf.get(service);
		return lanes?.next && rollout?.usesNewVersion(service, {id: requestId, isRepeat: tried.length > 0}, {hasBefore: hasUsable(lanes.main), hasNext: hasRoom(lanes.next)})
			? lanes.next
			: lanes?.main;
	};

	const ask = (service: string, placed: PlacementRequest): PendingGrant => {
		const lane = laneOfAsk(service, placed);
		const waiter: {current: Waiter | undefined} = {current: undefined};
		const granted = new Promise<Grant>((resolve, reject) => {
			waiter.current = {
				resolve, reject, ask: placed, lane,
			};
			waiters.set(placed.requestId, waiter.current);
		});
		const tellWhenCurrent = (): void => {
			const {current} = waiter;
			if (!current?.lane || waiters.get(placed.requestId) !== current) {
				return;
			}

			if (isCurrent()) {
				tell(current.lane, {kind: 'ask', request: placed});
			} else {
				setTimeout(tellWhenCurrent, TICK_MS);
			}
		};

		if (lane) {
			tellWhenCurrent();
		} else {
			perform(service, undefined, [{
				kind: 'reject', request: placed, reason: 'no-target', retryAfterMs: DEFAULT_LATENCY_MS, givesWay: false,
			}]);
		}

		return {
			granted,
			withdraw() {
				waiters.delete(placed.requestId);
				tell(waiter.current?.lane, {kind: 'withdraw', requestId: placed.requestId});
			},
		};
	};

	const targetOf = ({grantId, target}: Grant) => openGrants.get(grantId)?.lane.placement.knownTargets.get(target);

	const starts: StartWatch = {
		noteWritten(grant) {
			targetOf(grant)?.lossDetector.noteWritten(grant.grantId, clock.nowMs());
		},
		noteActivity(grant) {
			targetOf(grant)?.lossDetector.noteActivity(clock.nowMs());
		},
		detectLoss(grant, limits) {
			const service = openGrants.get(grant.grantId)?.lane.service ?? '';
			const target = targetOf(grant);
			if (!target || !view.inForce()?.config.services.get(service)?.engine) {
				return 'not-judged';
			}

			const silenceMs = Math.max(limits.silenceMs, planExchange(vms().length - 1).isFullMesh ? 0 : SAMPLED_SILENCE_MS);
			return target.lossDetector.detectLoss(grant.grantId, {...limits, silenceMs}, clock.nowMs());
		},
	};

	/** Whether a target may still get a request of its version. */
	const mayGet = ({service, version = ''}: TargetRecord): boolean => {
		const lanes = lanesOf.get(service);
		return !rollout || !lanes || rollout.maySend(service, version, lanes.next === undefined || hasUsable(lanes.main));
	};

	return {
		starts,
		submit: wish => ask(wish.service, {
			...wish, ...(wish.placement ?? {
				targetLatencyMs: DEFAULT_LATENCY_MS, arrivedMs: clock.nowMs(), tried: [], isResumed: false,
			}),
		}),
		isValid({target: id, expiresAtMs}) {
			const target = view.targets().get(id);
			const nowMs = clock.nowMs();
			if (!isCurrent() || target === undefined || target.isDraining || view.isOut(target.dataCentre)) {
				return false;
			}

			const known = laneOfId(id)?.placement.knownTargets;
			const endsMs = known?.get(id)?.isCold(nowMs) ? expiresAtMs - GRANT_MS + COLD_GRANT_MS : expiresAtMs;
			return nowMs < endsMs && known?.isOpen(id, nowMs) === true && mayGet(target);
		},
		end({grantId, target}, result) {
			const grant = openGrants.get(grantId);
			openGrants.delete(grantId);
			if (grant) {
				const {lane} = grant;
				if (rollout) {
					// Only failures are excused, and looking at all targets for each answer costs time.
					const isExcused = result.kind === 'failed'
						&& (view.targets().get(target)?.isDraining !== false || !lane.placement.knownTargets.usable().some(({record}) => record.id === target));
					rollout.evidence.noteEnd(grantId, result, isExcused, clock.nowMs());
				}

				lane.open--;
				tell(lane, {
					kind: 'end', grantId, target, result,
				});
				prune(lane);
			}
		},
		observe({grantId, target}, observation) {
			const grant = openGrants.get(grantId);
			if (grant) {
				if (observation.kind === 'first-token') {
					rollout?.evidence.noteFirstPart(grantId, clock.nowMs());
				} else if (observation.kind === 'load') {
					rollout?.evidence.noteAnswering(grantId);
				}

				tell(grant.lane, {
					kind: 'observe', grantId, target, observation,
				});
			}
		},
		onLanes,
		onNews(news) {
			switch (news.kind) {
				case 'config': {
					onConfig(news);
					break;
				}

				case 'target': {
					onTarget(news.target);
					break;
				}

				case 'target-gone': {
					laneOfTarget.delete(news.id);
					tellAll(news);
					break;
				}

				case 'targets-current':
				case 'data-centres-out': {
					tellAll(news);
					break;
				}

				case 'rollout-order':
				case 'all-targets':
				case 'source-lost':
				case 'source-regained': {
					break;
				}
			}
		},
		onUnreachable(address) {
			for (const target of view.targets().values()) {
				if (target.address === address) {
					log.warn('target unreachable', {target: target.id, address});
					tell(laneOfId(target.id), {kind: 'unreachable', target: target.id});
				}
			}
		},
		stop() {
			clearTimeout(timer);
		},
		targetLoads: () => allPlacements().flatMap(placement => placement.knownTargets.loads()),
		teamLoads: () => mergeTeams(allPlacements().flatMap(placement => placement.teamLoads(clock.nowMs()))),
		takeSentPrompts: () => allPlacements().flatMap(placement => placement.takeSentPrompts()),
		takeObserved: () => allPlacements().flatMap(placement => placement.knownTargets.takeObservedLoads(clock.nowMs())),
		onObserved(observed) {
			if (observed.length > 0) {
				tellAll({kind: 'observed-elsewhere', loads: observed});
			}
		},
		leavingTargets: () => allPlacements().flatMap(placement => placement.knownTargets.leavingTargets(clock.nowMs())),
		onLeavingTargets(targets) {
			for (const leaving of targets) {
				tell(laneOfId(leaving.target), {kind: 'leaving-elsewhere', leaving});
			}
		},
		onPeer(from, service, message) {
			const lanes = lanesOf.get(service);
			if (message.kind === 'answer') {
				// Grants are unique: only the lane that asked knows the id.
				for (const lane of allLanes()) {
					if (lane.service === service) {
						tell(lane, {kind: 'peer', from, message});
					}
				}
			} else {
				const target = message.kind === 'request' ? message.wish.target : message.target;
				tell(laneOfId(target) ?? lanes?.main, {kind: 'peer', from, message});
			}
		},
		onSentPrompts(prompts) {
			for (const sent of prompts) {
				tell(laneOfId(sent.target), {kind: 'sent-elsewhere', sent});
			}
		},
		waiting() {
			const waiting = new Map<string, Record<Tier, number>>();
			for (const {service, placement: {waitingByTier}} of allLanes()) {
				const sum = waiting.get(service);
				waiting.set(service, {'in-time': (sum?.['in-time'] ?? 0) + waitingByTier['in-time'], late: (sum?.late ?? 0) + waitingByTier.late});
			}

			return waiting;
		},
	};
};
