/** Connects the quarantine of prompt parts with calls, fleet updates, reports of other VMs, the store, logs and metrics. */
import {type Clock} from '../../core/clock.js';
import {type Scheduler} from '../../core/dispatch/types.js';
import {pickByRendezvous} from '../../core/membership/rendezvous.js';
import {Quarantine} from '../../core/quarantine/quarantine.js';
import {
	type Judgement, type QuarantineEffect, type QuarantineMessage, type QuarantineReport,
} from '../../core/quarantine/types.js';
import {type FleetUpdate, type TargetRecord} from '../../core/routing/types.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {type VerdictStore} from '../store/types.js';
import {createQuarantineGate, sharedParts, type QuarantineGate} from './quarantine-gate.js';
import {type PromptWatch} from './types.js';

/** Milliseconds between expiries of evidence and verdicts, and between checks whether a verdict that is due has been refuted. */
const TICK_MS = 5000;
const DUE_TICK_MS = 100;
/** Least milliseconds between two datagrams to other VMs beside the load reports. */
const MIN_SPREAD_INTERVAL_MS = 100;
/** Milliseconds between attempts to read or write verdicts while the store does not serve this VM. */
const STORE_RETRY_MS = 1000;
/** Most processes, requests and parts in one log line. */
const MAX_LOGGED = 8;

export type QuarantineTaskOptions = {
	readonly vm: string;
	readonly vms: () => readonly string[];
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly targets: () => ReadonlyMap<string, TargetRecord>;
	/** Whether the target's responses announce that it is leaving. */
	readonly isLeaving: (target: string) => boolean;
	readonly store: VerdictStore | undefined;
	/** Sends the present report at once: to one VM, or to those that the next load report would go to. */
	readonly send: (to?: string) => void;
};

export type QuarantineTask = PromptWatch & {
	/** Returns the scheduler behind the quarantine. Called once. */
	readonly gate: (scheduler: Required<Scheduler>) => QuarantineGate;
	/** Begins to read the store's verdicts and to expire evidence. */
	readonly start: () => void;
	/** Whether the verdicts of the store have been read, if there is one. */
	readonly isReady: () => boolean;
	readonly onFleetUpdate: (change: FleetUpdate) => void;
	/** Handles that no connection to an address is left, or none can be opened. */
	readonly onUnreachable: (address: string) => void;
	readonly report: () => QuarantineReport;
	readonly onReport: (from: string, report: QuarantineReport) => void;
	readonly stop: () => void;
};

const listOf = (items: readonly string[]): string => items.slice(0, MAX_LOGGED).join(',');

export const createQuarantineTask = ({vm, vms, clock, log, metrics, targets, isLeaving, store, send}: QuarantineTaskOptions): QuarantineTask => {
	const quarantine = new Quarantine(vm);
	/** Start of each known target's process, as last reported; also of targets that are gone from the view in this update. */
	const born = new Map<string, number>();
	const timers = new Set<NodeJS.Timeout>();
	let gate: QuarantineGate | undefined;
	let isStopped = false;
	let hasReadStore = store === undefined;

	const after = (ms: number, run: () => void): void => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			run();
		}, ms);
		timers.add(timer);
	};

	/** Whether this VM is the one of the fleet that checks the verdict on a part. */
	const isOwnerOf = (part: string): boolean => pickByRendezvous(part, vms()) === vm;

	/** Writes the present state of a verdict until the store has it. */
	const persist = async (part: string): Promise<void> => {
		const isWritten = await store?.write(part, quarantine.storedVerdict(part));
		if (isWritten === false && !isStopped) {
			after(STORE_RETRY_MS, () => {
				void persist(part);
			});
		}
	};

	let isSpreading = false;
	const spread = (): void => {
		if (!isSpreading) {
			isSpreading = true;
			setImmediate(() => {
				send();
			});
			after(MIN_SPREAD_INTERVAL_MS, () => {
				isSpreading = false;
			});
		}
	};

	const perform = (effect: QuarantineEffect): void => {
		switch (effect.kind) {
			case 'ended': {
				const {process: {target, bornMs}, observers, suspects} = effect;
				metrics.targetEnds.inc();
				log.warn('target ended', {
					target, born_ms: bornMs, seen_by: listOf(observers), requests: suspects.length, parts: listOf([...new Set(suspects.flatMap(({parts}) => parts))]),
				});
				break;
			}

			case 'condemned': {
				const {part, decidedBy, isOwn, ends} = effect;
				metrics.quarantineSteps.inc({step: 'quarantined', reason: isOwn ? 'evidence' : 'report'});
				log.warn('prompt part quarantined', {part, decided_by: decidedBy, ended: listOf(ends.map(({target, bornMs}) => `${target}@${bornMs}`))});
				if (isOwn) {
					void persist(part);
				}

				gate?.onCondemned();
				break;
			}

			case 'spread': {
				spread();
				break;
			}

			case 'reply': {
				send(effect.to);
				break;
			}

			case 'lifted': {
				const {part, reason, isOwn} = effect;
				metrics.quarantineSteps.inc({step: 'released', reason});
				log.warn('prompt part released', {part, reason});
				// All VMs release a part, and one of them writes that.
				if (isOwn || (reason === 'no-requests' && isOwnerOf(part))) {
					void persist(part);
				}

				break;
			}
		}
	};

	let isDueTickArmed = false;
	const handle = (message: QuarantineMessage): void => {
		const effects = quarantine.handle(message, clock.nowMs());
		for (const effect of effects) {
			perform(effect);
		}

		if (effects.length > 0) {
			metrics.quarantinedParts.set(quarantine.condemned.length);
		}

		if (quarantine.isVerdictDue && !isDueTickArmed) {
			isDueTickArmed = true;
			after(DUE_TICK_MS, () => {
				isDueTickArmed = false;
				handle({kind: 'tick'});
			});
		}
	};

	const judge = (parts: readonly string[], requestId: string): Judgement => {
		const judgement = quarantine.judge(parts, isOwnerOf, clock.nowMs());
		if (judgement.kind === 'check') {
			const {part, checks} = judgement;
			metrics.quarantineSteps.inc({step: 'checked', reason: 'interval'});
			log.warn('prompt part checked with one request', {part, request_id: requestId, checks});
			void persist(part);
		}

		return judgement;
	};

	const readStore = async (): Promise<void> => {
		const verdicts = await store?.read();
		if (verdicts) {
			hasReadStore = true;
			handle({kind: 'stored', verdicts});
		} else if (store && !isStopped) {
			after(STORE_RETRY_MS, () => {
				void readStore();
			});
		}
	};

	const tick = (): void => {
		handle({kind: 'tick'});
		after(TICK_MS, tick);
	};

	return {
		gate(scheduler) {
			gate = createQuarantineGate({
				scheduler, judge, isRefused: parts => quarantine.isRefused(parts, clock.nowMs()), suspectedPart: parts => quarantine.suspectedPart(parts, clock.nowMs()),
			});
			return gate;
		},
		start() {
			void readStore();
			tick();
		},
		isReady: () => hasReadStore,
		bornMs: target => targets().get(target)?.bornMs ?? 0,
		noteAnswered({team, route}) {
			if (route?.prompt) {
				handle({kind: 'answered', team, parts: sharedParts(route.prompt)});
			}
		},
		noteBroke({requestId, route}, process) {
			// The end of a target that is leaving is planned.
			if (route?.prompt && targets().get(process.target)?.isDraining !== true && !isLeaving(process.target)) {
				handle({
					kind: 'broke', requestId, parts: sharedParts(route.prompt), ...process,
				});
			}
		},
		noteClosed({requestId, team, route}, process) {
			if (route?.prompt) {
				handle({
					kind: 'closed', requestId, team, parts: sharedParts(route.prompt), ...process,
				});
			}
		},
		noteAlive(process, sentMs) {
			handle({kind: 'alive', sentMs, ...process});
		},
		onFleetUpdate(change) {
			if (change.kind === 'target') {
				const {id, bornMs} = change.target;
				const knownMs = born.get(id);
				born.set(id, bornMs);
				if (knownMs !== undefined && knownMs !== bornMs) {
					handle({kind: 'entry-gone', target: id, bornMs: knownMs});
				}
			} else if (change.kind === 'target-gone') {
				const knownMs = born.get(change.id);
				born.delete(change.id);
				if (knownMs !== undefined) {
					handle({kind: 'entry-gone', target: change.id, bornMs: knownMs});
				}
			}
		},
		onUnreachable(address) {
			for (const {id, address: known, bornMs} of targets().values()) {
				if (known === address) {
					handle({kind: 'unreachable', target: id, bornMs});
				}
			}
		},
		report: () => quarantine.report(clock.nowMs()),
		onReport(from, report) {
			handle({kind: 'reported', from, report});
		},
		stop() {
			isStopped = true;
			for (const timer of timers) {
				clearTimeout(timer);
			}
		},
	};
};
