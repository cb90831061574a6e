/**
 * Schedules routed requests. Each service has a placement, which receives its requests and the
 * fleet updates and chooses the targets. During a roll-out the targets of the new version have a
 * placement of their own, so that prompts, queues and loads of the old and new versions are separate.
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
import {type PeerMessage} from '../../core/placement/peer-messages.js';
import {NO_EFFORT} from '../../core/placement/reservations.js';
import {type Tier} from '../../core/placement/service-queue.js';
import {ServicePlacement} from '../../core/placement/service-placement.js';
import {ORDINARY_PRECEDENCE} from '../../core/placement/start-limits.js';
import {type FleetBounds, type PlacementRequest} from '../../core/placement/types.js';
import {coldLimit} from '../../core/placement/cold-limit.js';
import {MIN_TICK_MS, nextTickMs} from '../../core/placement/tick-pace.js';
import {type FleetUpdate, type RoutedService, type TargetRecord} from '../../core/routing/types.js';
import {type Log} from '../observe/log.js';
import {type RolloutTask} from '../rollout/rollout-task.js';
import {type FleetView} from './fleet-view.js';
import {grantFields, rejectFields} from './placement-fields.js';

/** Milliseconds for which a grant is valid. */
const GRANT_VALIDITY_MS = 1000;
/**
 * Milliseconds for which a grant for a cold target is valid. The rate limit of a cold target
 * counts the grants of a second plus this time, so that the requests that start in any one second
 * stay within the limit.
 */
const COLD_GRANT_VALIDITY_MS = 100;
/** Latency target, in milliseconds, of requests that have none. */
const DEFAULT_LATENCY_MS = 1000;

/** Outcome of a request with a prompt. */
export type PromptOutcome = {
	readonly service: string;
	readonly route: string;
	readonly promptTokens: number;
	readonly outcome: 'started' | PlacementRejection;
	/** Number of reservations that were requested. */
	readonly attempts: number;
};

export type PlacementSchedulerOptions = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly bounds: FleetBounds;
	readonly clock: Clock;
	readonly view: FleetView;
	/** Returns the names of the VMs of the fleet, including this one. */
	readonly vms: () => readonly string[];
	readonly log: Log;
	readonly loads: FleetLoads;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	/** Whether the known state of the fleet is current; false after a pause of the process until the store has been read again. */
	readonly isCurrent?: () => boolean;
	/** Returns the milliseconds since the store's last response to this VM, for the log. */
	readonly storeAgeMs?: () => number;
	/** Absent if the versions of targets are ignored. */
	readonly rollout?: Pick<RolloutTask, 'evidence' | 'versionSplit' | 'usesNewVersion' | 'maySend'>;
	/** Whether this VM is overloaded and refuses a share of the requests. */
	readonly isVmOverloaded: () => boolean;
	/** Counts the outcome of a request that was granted or rejected. A request that was never queued counts as in time. */
	readonly countOutcome: (labels: {readonly service: string; readonly tier: Tier; readonly outcome: 'started' | PlacementRejection}) => void;
	/** Counts the outcome of a request with a prompt, and the reservations that were requested for it. */
	readonly countPrompt?: (outcome: PromptOutcome) => void;
	/** Sends a reservation message to another VM; the message may be lost. */
	readonly sendToPeer: (vm: string, service: string, message: PeerMessage) => void;
};

/**
 * Shortest time without activity, in milliseconds, after which a model engine of a large fleet
 * counts as unresponsive. Most activity of an engine is known only from the reports of other VMs,
 * and about two reports a second mention it. The probability that no report mentions a healthy
 * engine within this time is 1 in 20.
 */
const MIN_SAMPLED_SILENCE_MS = 1500;

/** Loss detection for prompts that were sent to a model engine, as the calls to targets use it. */
export type LossWatch = {
	/** Records that the request of a grant is being written to the target. */
	readonly noteWritten: (grant: Grant) => void;
	/** Records that the target of a grant sent data. */
	readonly noteActivity: (grant: Grant) => void;
	/** Returns why the prompt of a grant counts as lost, or `undefined` if it does not. Returns `not-judged` if its target is unknown or is no model engine. */
	readonly detectLoss: (grant: Grant, limits: LossCriteria) => PromptLoss | 'not-judged' | undefined;
};

export type PlacementScheduler = Required<Scheduler> & {
	readonly lossWatch: LossWatch;
	readonly onFleetUpdate: (update: FleetUpdate) => void;
	readonly onUnreachable: (address: string) => void;
	/** Applies a new split of a service's targets between versions. */
	readonly onVersionSplit: (service: string) => void;
	readonly stop: () => void;
	/** Returns the loads of targets that this VM reports to the others. */
	readonly targetLoads: () => readonly TargetLoad[];
	readonly teamLoads: () => readonly TeamLoad[];
	/** Returns the prompts that were sent since the last call, for the report to the other VMs. */
	readonly takeSentPrompts: () => readonly SentPrompt[];
	/** Returns the loads that targets reported since the last call, for the report to the other VMs. */
	readonly takeObserved: () => readonly ObservedLoad[];
	/** Records the loads that targets reported to another VM. */
	readonly onObserved: (loads: readonly ObservedLoad[]) => void;
	/** Records the prompts that another VM sent to targets. */
	readonly onSentPrompts: (sent: readonly SentPrompt[]) => void;
	/** Returns the targets whose responses announce that they are leaving. */
	readonly leavingTargets: () => readonly LeavingTarget[];
	readonly onLeavingTargets: (leaving: readonly LeavingTarget[]) => void;
	/** Handles a reservation message of another VM. */
	readonly onPeerMessage: (from: string, service: string, message: PeerMessage) => void;
	/** Returns the number of queued requests by service and tier. */
	readonly queuedByTier: () => ReadonlyMap<string, Readonly<Record<Tier, number>>>;
};

const refusalOf = {'no-target': NoTarget, 'too-late': DeadlinePassed, 'no-turn': DeadlineUnreachable} as const;

/** Targets of a service that share one placement. During a roll-out a service has two such groups, one for the old versions and one for the new version; otherwise it has one. */
type VersionGroup = {
	readonly service: string;
	readonly placement: ServicePlacement;
	/** Number of grants that have not ended. */
	open: number;
};

type ServiceVersionGroups = {
	/** Targets of the old versions, or all usable ones while there is no roll-out. */
	main: VersionGroup;
	/** Targets of the version that is rolled out. */
	next: (VersionGroup & {readonly version: string}) | undefined;
};

type OpenGrant = {readonly group: VersionGroup; readonly version: string};

type Waiter = {
	readonly request: PlacementRequest;
	group: VersionGroup | undefined;
	readonly resolve: (grant: Grant) => void;
	readonly reject: (err: RefusalError) => void;
};

/** Sums the loads of a team over the version groups of each service. */
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
	vm, dataCentre, bounds, clock, view, vms, log, loads, random, isCurrent = () => true, storeAgeMs, isVmOverloaded, rollout, countOutcome, countPrompt = () => undefined, sendToPeer,
}: PlacementSchedulerOptions): PlacementScheduler => {
	const groupsOf = new Map<string, ServiceVersionGroups>();
	/** Version groups that receive no new requests but still have queued or running ones. */
	const retired = new Set<VersionGroup>();
	const groupOfTarget = new Map<string, VersionGroup>();
	const waiters = new Map<string, Waiter>();
	const openGrants = new Map<string, OpenGrant>();
	let grants = 0;
	let timer: NodeJS.Timeout | undefined;
	let tickPauseMs = MIN_TICK_MS;
	/** Requests that wait for the known state of the fleet to be current. One timer checks this for all of them. */
	const held: Waiter[] = [];
	let heldTimer: NodeJS.Timeout | undefined;

	const createGrantId = (): string => {
		grants++;
		return `${vm}-${grants}`;
	};

	const allGroups = (): readonly VersionGroup[] => [...[...groupsOf.values()].flatMap(({main, next}) => next ? [main, next] : [main]), ...retired];
	const allPlacements = (): readonly ServicePlacement[] => allGroups().map(({placement}) => placement);

	const prune = (group: VersionGroup): void => {
		if (group.open === 0 && group.placement.waiting === 0) {
			retired.delete(group);
		}
	};

	const applyEffects = (service: string, group: VersionGroup | undefined, effects: readonly PlacementEffect[]): void => {
		for (const effect of effects) {
			if (effect.kind === 'tell-peer') {
				sendToPeer(effect.vm, service, effect.message);
				continue;
			}

			const outcome = effect.kind === 'reject' ? effect.reason : 'started';
			const {request: {kind: route = '', prompt}, effort: {attempts}} = effect;
			countOutcome({service, tier: effect.queue?.tier ?? 'in-time', outcome});
			if (prompt) {
				countPrompt({
					service, route, promptTokens: prompt.tokens, outcome, attempts,
				});
			}

			const waiter = waiters.get(effect.request.requestId);
			waiters.delete(effect.request.requestId);
			if (effect.kind === 'reject') {
				log.info('request not placed', rejectFields(service, effect, clock.nowMs()));
				waiter?.reject(new RefusalError(refusalOf[effect.reason], {service, waitMs: Math.round(effect.retryAfterMs)}, {retryAfterMs: effect.retryAfterMs}));
				continue;
			}

			const {target, grantId, details} = effect;
			log.routine('request placed', {
				...grantFields(service, effect), ...(rollout && {version: target.version}), vms_heard: loads.reportingVms, config_version: view.activeConfig()?.config.version,
				...(storeAgeMs && {store_age_ms: Math.round(storeAgeMs())}),
			});
			if (group) {
				group.open++;
				openGrants.set(grantId, {group, version: target.version ?? ''});
			}

			rollout?.evidence.noteSent(grantId, {
				service, route: effect.request.kind ?? '', version: target.version ?? '', isCold: details.isCold, targetLatencyMs: effect.request.targetLatencyMs, sentMs: clock.nowMs(),
			});
			waiter?.resolve({
				grantId, target: target.id, address: target.address, epoch: 0n, instance: target.id, expiresAtMs: clock.nowMs() + GRANT_VALIDITY_MS,
				...(details.copyFrom && {copyPromptFrom: details.copyFrom.address}),
			});
		}
	};

	const deliver = (group: VersionGroup | undefined, message: PlacementMessage): void => {
		if (group) {
			applyEffects(group.service, group, group.placement.handle(message, clock.nowMs()));
			armTimer();
		}
	};

	const deliverToAll = (message: PlacementMessage): void => {
		for (const group of allGroups()) {
			deliver(group, message);
		}
	};

	const groupOfId = (id: string): VersionGroup | undefined => groupOfTarget.get(id);

	/** Whether requests of any VM are in line for a target that this VM owns. */
	const hasLines = (): boolean => {
		for (const {main, next} of groupsOf.values()) {
			if (main.placement.hasLines || next?.placement.hasLines) {
				return true;
			}
		}

		return false;
	};

	function armTimer(): void {
		if (timer === undefined && (waiters.size > 0 || hasLines())) {
			timer = setTimeout(() => {
				timer = undefined;
				const startMs = clock.nowMs();
				deliverToAll({kind: 'tick'});
				tickPauseMs = nextTickMs(clock.nowMs() - startMs);
				armTimer();
			}, tickPauseMs);
		}
	}

	const createGroup = (service: RoutedService): VersionGroup => {
		const group: VersionGroup = {
			service: service.name, open: 0, placement: new ServicePlacement({
				service, bounds, vm, vms, dataCentre, fleet: loads, createGrantId, random, isVmOverloaded,
			}),
		};
		deliver(group, {kind: 'data-centres-out', names: view.dataCentresOut()});
		return group;
	};

	/** Returns the group of the targets of a version; `undefined` if the version may not be used. */
	const groupFor = (service: string, version: string): VersionGroup | undefined => {
		const groups = groupsOf.get(service);
		const split = rollout?.versionSplit(service);
		if (!groups || !split) {
			return groups?.main;
		}

		if (groups.next?.version === version) {
			return groups.next;
		}

		const isMain = split.before ? split.before.includes(version) : !split.unconfirmed.has(version);
		return isMain ? groups.main : undefined;
	};

	const onTarget = (target: TargetRecord): void => {
		const group = groupFor(target.service, target.version ?? '');
		const known = groupOfTarget.get(target.id);
		if (known && known !== group) {
			groupOfTarget.delete(target.id);
			deliver(known, {kind: 'target-gone', id: target.id});
		}

		if (group) {
			groupOfTarget.set(target.id, group);
			deliver(group, {kind: 'target', target});
		}
	};

	const deliverTargets = (service: string): void => {
		for (const target of view.targets().values()) {
			if (target.service === service) {
				onTarget(target);
			}
		}
	};

	/** Moves the queued requests of a retired group to the group that replaces it. */
	const moveQueued = (from: VersionGroup, to: VersionGroup): void => {
		for (const [requestId, waiter] of waiters) {
			if (waiter.group === from) {
				deliver(from, {kind: 'withdraw', requestId});
				waiter.group = to;
				deliver(to, {kind: 'ask', request: waiter.request});
			}
		}
	};

	const retire = (group: VersionGroup): void => {
		retired.add(group);
		prune(group);
	};

	const onVersionSplit = (service: string): void => {
		const groups = groupsOf.get(service);
		const config = view.activeConfig()?.config.services.get(service);
		const split = rollout?.versionSplit(service);
		if (!groups || !config || !split) {
			return;
		}

		const {main, next} = groups;
		if (next && next.version !== split.next) {
			groups.next = undefined;
			// After a completed roll-out the group of the new version becomes the main one and keeps the known state of its targets.
			const isCompleted = split.before?.includes(next.version) === true;
			groups.main = isCompleted ? next : main;
			retire(isCompleted ? main : next);
		}

		if (split.next !== undefined && !groups.next) {
			groups.next = Object.assign(createGroup(config), {version: split.next});
		}

		deliverTargets(service);
		for (const group of retired) {
			if (group.service === service) {
				moveQueued(group, groups.main);
				prune(group);
			}
		}
	};

	const onConfig = ({config}: Extract<FleetUpdate, {kind: 'config'}>): void => {
		for (const service of config.services.values()) {
			const groups = groupsOf.get(service.name);
			if (groups) {
				deliver(groups.main, {kind: 'service', service});
				deliver(groups.next, {kind: 'service', service});
				continue;
			}

			groupsOf.set(service.name, {main: createGroup(service), next: undefined});
			if (rollout) {
				onVersionSplit(service.name);
			} else {
				deliverTargets(service.name);
			}
		}
	};

	const hasUsableTarget = (group: VersionGroup): boolean => group.placement.knownTargets.usable().length > 0;

	/** Whether a target of the new version can accept a request now. A cold target sustains only a few requests a second, and this VM's share of them may be zero. */
	const hasCapacity = (group: VersionGroup): boolean => {
		const nowMs = clock.nowMs();
		const coldPerS = view.activeConfig()?.config.services.get(group.service)?.coldPerS ?? 0;
		return group.placement.knownTargets.usable().some(target => coldPerS === 0 || !target.isCold(nowMs) || target.hasColdCapacity(coldLimit(target.record.id, {
			bounds, coldPerS, vm, vms: vms(),
		}), nowMs));
	};

	const groupOfRequest = (service: string, {requestId, tried}: PlacementRequest): VersionGroup | undefined => {
		const groups = groupsOf.get(service);
		return groups?.next && rollout?.usesNewVersion(service, {id: requestId, isRepeat: tried.length > 0}, {hasBefore: hasUsableTarget(groups.main), hasNext: hasCapacity(groups.next)})
			? groups.next
			: groups?.main;
	};

	const deliverRequest = (waiter: Waiter): void => {
		if (waiters.get(waiter.request.requestId) === waiter) {
			deliver(waiter.group, {kind: 'ask', request: waiter.request});
		}
	};

	/** Delivers the requests that wait for the known state of the fleet to be current, once it is. */
	const deliverHeld = (): void => {
		heldTimer = undefined;
		try {
			while (held.length > 0 && isCurrent()) {
				const waiter = held.shift();
				if (waiter) {
					deliverRequest(waiter);
				}
			}
		} finally {
			// An exception ends only the request that caused it.
			armHeldTimer();
		}
	};

	function armHeldTimer(): void {
		if (held.length > 0) {
			heldTimer ??= setTimeout(deliverHeld, MIN_TICK_MS);
		}
	}

	const deliverWhenCurrent = (waiter: Waiter): void => {
		if (isCurrent()) {
			deliverRequest(waiter);
		} else {
			held.push(waiter);
			armHeldTimer();
		}
	};

	const submitRequest = (service: string, placementRequest: PlacementRequest): PendingGrant => {
		const group = groupOfRequest(service, placementRequest);
		const waiter: {current: Waiter | undefined} = {current: undefined};
		const granted = new Promise<Grant>((resolve, reject) => {
			waiter.current = {
				resolve, reject, request: placementRequest, group,
			};
			waiters.set(placementRequest.requestId, waiter.current);
		});
		if (group && waiter.current) {
			deliverWhenCurrent(waiter.current);
		} else {
			applyEffects(service, undefined, [{
				kind: 'reject', request: placementRequest, reason: 'no-target', retryAfterMs: DEFAULT_LATENCY_MS, precedence: ORDINARY_PRECEDENCE, teamFigures: {team: placementRequest.team, usage: 0, shareUsage: Infinity}, effort: NO_EFFORT,
			}]);
		}

		return {
			granted,
			withdraw() {
				waiters.delete(placementRequest.requestId);
				deliver(waiter.current?.group, {kind: 'withdraw', requestId: placementRequest.requestId});
			},
		};
	};

	const targetOf = ({grantId, target}: Grant) => openGrants.get(grantId)?.group.placement.knownTargets.get(target);

	const lossWatch: LossWatch = {
		noteWritten(grant) {
			targetOf(grant)?.lossDetector.noteWritten(grant.grantId, clock.nowMs());
		},
		noteActivity(grant) {
			targetOf(grant)?.lossDetector.noteActivity(clock.nowMs());
		},
		detectLoss(grant, limits) {
			const service = openGrants.get(grant.grantId)?.group.service ?? '';
			const target = targetOf(grant);
			if (!target || !view.activeConfig()?.config.services.get(service)?.engine) {
				return 'not-judged';
			}

			const silenceMs = Math.max(limits.silenceMs, planExchange(vms().length - 1).isFullMesh ? 0 : MIN_SAMPLED_SILENCE_MS);
			return target.lossDetector.detectLoss(grant.grantId, {...limits, silenceMs}, clock.nowMs());
		},
	};

	/** Whether the roll-out still allows sending requests to the version of this target. */
	const mayReceive = ({service, version = ''}: TargetRecord): boolean => {
		const groups = groupsOf.get(service);
		return !rollout || !groups || rollout.maySend(service, version, groups.next === undefined || hasUsableTarget(groups.main));
	};

	return {
		lossWatch,
		submit: request => submitRequest(request.service, {
			...request, ...(request.placement ?? {
				targetLatencyMs: DEFAULT_LATENCY_MS, arrivedMs: clock.nowMs(), tried: [], isResumed: false,
			}),
		}),
		isValid({target: id, expiresAtMs}) {
			const target = view.targets().get(id);
			const nowMs = clock.nowMs();
			if (!isCurrent() || target === undefined || target.isDraining || view.isDataCentreOut(target.dataCentre)) {
				return false;
			}

			const known = groupOfId(id)?.placement.knownTargets;
			const endsMs = known?.get(id)?.isCold(nowMs) ? expiresAtMs - GRANT_VALIDITY_MS + COLD_GRANT_VALIDITY_MS : expiresAtMs;
			return nowMs < endsMs && known?.isOpen(id, nowMs) === true && mayReceive(target);
		},
		end({grantId, target}, result) {
			const grant = openGrants.get(grantId);
			openGrants.delete(grantId);
			if (grant) {
				const {group} = grant;
				if (rollout) {
					// The evidence ignores failures at a leaving target. Other results skip the scan of all targets, which takes time.
					const isTargetLeaving = result.kind === 'failed'
						&& (view.targets().get(target)?.isDraining !== false || !group.placement.knownTargets.usable().some(({record}) => record.id === target));
					rollout.evidence.noteEnd(grantId, result, isTargetLeaving, clock.nowMs());
				}

				group.open--;
				deliver(group, {
					kind: 'end', grantId, target, result,
				});
				prune(group);
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

				deliver(grant.group, {
					kind: 'observe', grantId, target, observation,
				});
			}
		},
		onVersionSplit,
		onFleetUpdate(update) {
			switch (update.kind) {
				case 'config': {
					onConfig(update);
					break;
				}

				case 'target': {
					onTarget(update.target);
					break;
				}

				case 'target-gone': {
					groupOfTarget.delete(update.id);
					deliverToAll(update);
					break;
				}

				case 'targets-current':
				case 'data-centres-out': {
					deliverToAll(update);
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
					deliver(groupOfId(target.id), {kind: 'unreachable', target: target.id});
				}
			}
		},
		stop() {
			clearTimeout(timer);
			clearTimeout(heldTimer);
		},
		targetLoads: () => allPlacements().flatMap(placement => placement.knownTargets.loads()),
		teamLoads: () => mergeTeams(allPlacements().flatMap(placement => placement.teamLoads(clock.nowMs()))),
		takeSentPrompts: () => allPlacements().flatMap(placement => placement.takeSentPrompts()),
		takeObserved: () => allPlacements().flatMap(placement => placement.knownTargets.takeObservedLoads(clock.nowMs())),
		onObserved(observed) {
			if (observed.length > 0) {
				deliverToAll({kind: 'observed-elsewhere', loads: observed});
			}
		},
		leavingTargets: () => allPlacements().flatMap(placement => placement.knownTargets.leavingTargets(clock.nowMs())),
		onLeavingTargets(targets) {
			for (const leaving of targets) {
				deliver(groupOfId(leaving.target), {kind: 'leaving-elsewhere', leaving});
			}
		},
		onPeerMessage(from, service, message) {
			const groups = groupsOf.get(service);
			if (message.kind === 'answer') {
				// Ids of reservation requests are unique, so only the group that sent the request accepts the reply.
				for (const group of allGroups()) {
					if (group.service === service) {
						deliver(group, {kind: 'peer', from, message});
					}
				}
			} else {
				const target = message.kind === 'request' ? message.wish.target : message.target;
				deliver(groupOfId(target) ?? groups?.main, {kind: 'peer', from, message});
			}
		},
		onSentPrompts(prompts) {
			for (const sent of prompts) {
				deliver(groupOfId(sent.target), {kind: 'sent-elsewhere', sent});
			}
		},
		queuedByTier() {
			const queued = new Map<string, Record<Tier, number>>();
			for (const {service, placement: {waitingByTier}} of allGroups()) {
				const sum = queued.get(service);
				queued.set(service, {'in-time': (sum?.['in-time'] ?? 0) + waitingByTier['in-time'], late: (sum?.late ?? 0) + waitingByTier.late});
			}

			return queued;
		},
	};
};
