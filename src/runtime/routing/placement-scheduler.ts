/** The scheduler of routed requests: one placement for each service, fed with news and asks. */
import {type Clock} from '../../core/clock.js';
import {type Grant, type PendingAsk, type Scheduler} from '../../core/dispatch/types.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {DeadlinePassed, DeadlineUnreachable, NoTarget} from '../../core/errors/refusals-data.js';
import {
	type LeavingTarget, type ObservedLoad, type PlacementEffect, type PlacementMessage,
} from '../../core/placement/messages.js';
import {type Loss, type WaitLimits} from '../../core/placement/awaited-starts.js';
import {planExchange} from '../../core/placement/exchange-plan.js';
import {type FleetLoads, type TargetLoad, type TeamLoad} from '../../core/placement/fleet-loads.js';
import {type SentPrompt} from '../../core/placement/prompt-record.js';
import {type PeerMessage} from '../../core/placement/reservations.js';
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
	readonly isBehind: () => boolean;
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
	readonly noteSign: (grant: Grant) => void;
	/** Why a prompt is lost; `not-judged` unless it was sent to a model engine that is known. */
	readonly lossOf: (grant: Grant, limits: WaitLimits) => Loss | 'not-judged' | undefined;
};

export type PlacementScheduler = Required<Scheduler> & {
	readonly starts: StartWatch;
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
	/** Asks that wait, by service. */
	readonly waiting: () => ReadonlyMap<string, number>;
};

const refusalOf = {'no-target': NoTarget, 'too-late': DeadlinePassed, 'no-turn': DeadlineUnreachable} as const;

type Waiter = {
	readonly resolve: (grant: Grant) => void;
	readonly reject: (err: RefusalError) => void;
};

export const createPlacementScheduler = ({vm, dataCentre, bounds, clock, view, vms, log, loads, random, isCurrent = () => true, isBehind, tellPeer}: PlacementSchedulerOptions): PlacementScheduler => {
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
		const tellWhenCurrent = (): void => {
			if (isCurrent()) {
				tell(service, {kind: 'ask', ask: placed});
			} else if (waiters.has(placed.requestId)) {
				setTimeout(tellWhenCurrent, TICK_MS);
			}
		};

		if (placements.has(service)) {
			tellWhenCurrent();
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

	const targetOf = ({grantId, target}: Grant) => placements.get(serviceOfGrant.get(grantId) ?? '')?.known.get(target);

	const starts: StartWatch = {
		noteWritten(grant) {
			targetOf(grant)?.awaited.noteWritten(grant.grantId, clock.nowMs());
		},
		noteSign(grant) {
			targetOf(grant)?.awaited.noteSign(clock.nowMs());
		},
		lossOf(grant, limits) {
			const service = serviceOfGrant.get(grant.grantId) ?? '';
			const target = targetOf(grant);
			if (!target || !view.inForce()?.config.services.get(service)?.engine) {
				return 'not-judged';
			}

			const silenceMs = Math.max(limits.silenceMs, planExchange(vms().length - 1).isWhole ? 0 : SAMPLED_SILENCE_MS);
			return target.awaited.lossOf(grant.grantId, {...limits, silenceMs}, clock.nowMs());
		},
	};

	return {
		starts,
		ask: wish => ask(wish.service, {
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

			const known = placements.get(target.service)?.known;
			const endsMs = known?.get(id)?.isCold(nowMs) ? expiresAtMs - GRANT_MS + COLD_GRANT_MS : expiresAtMs;
			return nowMs < endsMs && known?.isOpen(id, nowMs) === true;
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
		waiting: () => new Map([...placements].map(([service, placement]) => [service, placement.waiting])),
	};
};
