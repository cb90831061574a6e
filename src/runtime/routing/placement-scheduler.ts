/** The scheduler of routed requests: one placement for each service, fed with news and asks. */
import {type Clock} from '../../core/clock.js';
import {type Grant, type PendingAsk, type Scheduler} from '../../core/dispatch/types.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {DeadlinePassed, DeadlineUnreachable, NoTarget} from '../../core/errors/refusals-data.js';
import {
	type LeavingTarget, type ObservedLoad, type PlacementEffect, type PlacementMessage, type PlacementRejection,
} from '../../core/placement/messages.js';
import {type FleetLoads, type TargetLoad, type TeamLoad} from '../../core/placement/fleet-loads.js';
import {type SentPrompt} from '../../core/placement/prompt-record.js';
import {type PeerMessage} from '../../core/placement/reservations.js';
import {type Tier} from '../../core/placement/service-queue.js';
import {ServicePlacement} from '../../core/placement/service-placement.js';
import {type FleetBounds, type PlacedAsk} from '../../core/placement/types.js';
import {type FleetNews} from '../../core/routing/types.js';
import {type Log} from '../observe/log.js';
import {type FleetView} from './fleet-view.js';
import {grantFields, rejectFields} from './placement-fields.js';

/** Milliseconds between looks at what waits, while something waits. */
const TICK_MS = 5;
/** Milliseconds for which a grant may be used. */
const GRANT_MS = 1000;
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
	/** Whether this VM is behind its work. */
	readonly isBehind: () => boolean;
	/** Counts requests that left the queue; one that never waited counts as in time. */
	readonly countOutcome: (labels: {readonly service: string; readonly tier: Tier; readonly outcome: 'started' | PlacementRejection}) => void;
	/** Sends a message to another VM; it may be lost. */
	readonly tellPeer: (vm: string, service: string, message: PeerMessage) => void;
};

export type PlacementScheduler = Required<Scheduler> & {
	readonly onNews: (news: FleetNews) => void;
	readonly onUnreachable: (address: string) => void;
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

type Waiter = {
	readonly resolve: (grant: Grant) => void;
	readonly reject: (err: RefusalError) => void;
};

export const createPlacementScheduler = ({vm, dataCentre, bounds, clock, view, vms, log, loads, random, isBehind, countOutcome, tellPeer}: PlacementSchedulerOptions): PlacementScheduler => {
	const placements = new Map<string, ServicePlacement>();
	const waiters = new Map<string, Waiter>();
	const serviceOfGrant = new Map<string, string>();
	let grants = 0;
	let timer: NodeJS.Timeout | undefined;

	const createGrantId = (): string => {
		grants++;
		return `${vm}-${grants}`;
	};

	const perform = (service: string, effects: readonly PlacementEffect[]): void => {
		for (const effect of effects) {
			if (effect.kind === 'tell-peer') {
				tellPeer(effect.vm, service, effect.message);
				continue;
			}

			countOutcome({service, tier: effect.queue?.tier ?? 'in-time', outcome: effect.kind === 'reject' ? effect.reason : 'started'});
			const waiter = waiters.get(effect.ask.requestId);
			waiters.delete(effect.ask.requestId);
			if (effect.kind === 'reject') {
				log.info('request not placed', rejectFields(service, effect, clock.nowMs()));
				waiter?.reject(new RefusalError(refusalOf[effect.reason], {service, waitMs: Math.round(effect.retryAfterMs)}, {retryAfterMs: effect.retryAfterMs}));
				continue;
			}

			const {target, grantId, because} = effect;
			log.routine('request placed', {
				...grantFields(service, effect), vms_heard: loads.heard, config_version: view.inForce()?.config.version,
			});
			serviceOfGrant.set(grantId, service);
			waiter?.resolve({
				grantId, target: target.id, address: target.address, epoch: 0n, instance: target.id, expiresAtMs: clock.nowMs() + GRANT_MS,
				...(because.copyFrom && {copyPromptFrom: because.copyFrom.address}),
			});
		}
	};

	const tell = (service: string, message: PlacementMessage): void => {
		const placement = placements.get(service);
		if (placement) {
			perform(service, placement.handle(message, clock.nowMs()));
			arm();
		}
	};

	const tellAll = (message: PlacementMessage): void => {
		for (const service of placements.keys()) {
			tell(service, message);
		}
	};

	function arm(): void {
		if (timer === undefined && waiters.size > 0) {
			timer = setTimeout(() => {
				timer = undefined;
				tellAll({kind: 'tick'});
				arm();
			}, TICK_MS);
		}
	}

	const onConfig = ({config}: Extract<FleetNews, {kind: 'config'}>): void => {
		for (const service of config.services.values()) {
			if (placements.has(service.name)) {
				tell(service.name, {kind: 'service', service});
				continue;
			}

			placements.set(service.name, new ServicePlacement({
				service, bounds, vm, vms, dataCentre, fleet: loads, createGrantId, random, isBehind,
			}));
			tell(service.name, {kind: 'data-centres-out', names: view.outNames()});
			for (const target of view.targets().values()) {
				if (target.service === service.name) {
					tell(service.name, {kind: 'target', target});
				}
			}
		}
	};

	const ask = (service: string, placed: PlacedAsk): PendingAsk => {
		const granted = new Promise<Grant>((resolve, reject) => {
			waiters.set(placed.requestId, {resolve, reject});
		});
		if (placements.has(service)) {
			tell(service, {kind: 'ask', ask: placed});
		} else {
			perform(service, [{
				kind: 'reject', ask: placed, reason: 'no-target', retryAfterMs: DEFAULT_LATENCY_MS, givesWay: false,
			}]);
		}

		return {
			granted,
			withdraw() {
				waiters.delete(placed.requestId);
				tell(service, {kind: 'withdraw', requestId: placed.requestId});
			},
		};
	};

	return {
		ask: wish => ask(wish.service, {
			...wish, ...(wish.placement ?? {
				targetLatencyMs: DEFAULT_LATENCY_MS, arrivedMs: clock.nowMs(), tried: [], isResumed: false,
			}),
		}),
		isValid({target: id, expiresAtMs}) {
			const target = view.targets().get(id);
			return target !== undefined && !target.isDraining && !view.isOut(target.dataCentre) && clock.nowMs() < expiresAtMs
				&& placements.get(target.service)?.known.isOpen(id, clock.nowMs()) === true;
		},
		end({grantId, target}, result) {
			const service = serviceOfGrant.get(grantId);
			serviceOfGrant.delete(grantId);
			if (service !== undefined) {
				tell(service, {
					kind: 'end', grantId, target, result,
				});
			}
		},
		observe({grantId, target}, observation) {
			const service = serviceOfGrant.get(grantId);
			if (service !== undefined) {
				tell(service, {
					kind: 'observe', grantId, target, observation,
				});
			}
		},
		onNews(news) {
			switch (news.kind) {
				case 'config': {
					onConfig(news);
					break;
				}

				case 'target': {
					tell(news.target.service, news);
					break;
				}

				case 'target-gone':
				case 'targets-current':
				case 'data-centres-out': {
					tellAll(news);
					break;
				}

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
					tell(target.service, {kind: 'unreachable', target: target.id});
				}
			}
		},
		stop() {
			clearTimeout(timer);
		},
		targetLoads: () => [...placements.values()].flatMap(placement => placement.known.loads()),
		teamLoads: () => [...placements.values()].flatMap(placement => placement.teamLoads(clock.nowMs())),
		takeSentPrompts: () => [...placements.values()].flatMap(placement => placement.takeSentPrompts()),
		takeObserved: () => [...placements.values()].flatMap(placement => placement.known.takeObserved(clock.nowMs())),
		onObserved(observed) {
			if (observed.length > 0) {
				tellAll({kind: 'observed-elsewhere', loads: observed});
			}
		},
		leavingTargets: () => [...placements.values()].flatMap(placement => placement.known.leaving(clock.nowMs())),
		onLeavingTargets(targets) {
			for (const leaving of targets) {
				const service = view.targets().get(leaving.target)?.service;
				if (service !== undefined) {
					tell(service, {kind: 'leaving-elsewhere', leaving});
				}
			}
		},
		onPeer(from, service, message) {
			tell(service, {kind: 'peer', from, message});
		},
		onSentPrompts(prompts) {
			for (const sent of prompts) {
				const service = view.targets().get(sent.target)?.service;
				if (service !== undefined) {
					tell(service, {kind: 'sent-elsewhere', sent});
				}
			}
		},
		waiting: () => new Map([...placements].map(([service, placement]) => [service, placement.waitingByTier])),
	};
};
