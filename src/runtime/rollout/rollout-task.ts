/**
 * Runs the roll-outs of one VM: passes events to the participant and the coordinators,
 * performs their reads and writes of the store and sends their messages.
 */
import {type Clock} from '../../core/clock.js';
import {
	RolloutCoordinator, type CoordinatorEffect, type CoordinatorInputs, type CoordinatorMessage,
} from '../../core/rollout/coordinator.js';
import {CoordinatorElection} from '../../core/rollout/coordinator-election.js';
import {EvidenceCounter} from '../../core/rollout/evidence.js';
import {RolloutParticipant, type VersionSplit, type VersionAvailability} from '../../core/rollout/participant.js';
import {
	type Announcement, type EvidenceReport, type ExposureBounds, type RolloutOrderRow,
} from '../../core/rollout/types.js';
import {type TargetRecord} from '../../core/routing/types.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {type RolloutMessage, type RolloutStore} from './types.js';

/** Milliseconds between checks while a roll-out order is open. Evidence is sent at most once in this time. */
const CHECK_MS = 200;
/** Milliseconds between checks while no order is open, short enough to detect that the process was paused. */
const IDLE_CHECK_MS = 400;
/** Longest time in milliseconds between two reports of evidence. A report is sent even if the evidence has not changed, because it also states which stored state the VM applies. */
const MAX_REPORT_INTERVAL_MS = 600;
/** Milliseconds that each VM of the fleet adds to the interval between two reports of a VM, so that a coordinator receives at most some 250 reports a second. */
const REPORT_INTERVAL_MS_PER_VM = 4;
/** Milliseconds before a failed read of the store is retried. */
const READ_RETRY_MS = 250;

export type RolloutTaskOptions = {
	readonly vm: string;
	readonly incarnation: string;
	readonly vms: () => readonly string[];
	readonly bounds: ExposureBounds;
	readonly store: RolloutStore;
	readonly clock: Clock;
	/** Calls `act` after `ms` milliseconds; returns a function that cancels it. A simulation of the fleet passes a function that uses simulated time. */
	readonly schedule: (act: () => void, ms: number) => () => void;
	/** The same for the checks while no order is open, which may come earlier, together with other periodic work; `schedule` if absent. */
	readonly scheduleIdle?: RolloutTaskOptions['schedule'];
	/** Returns the wall-clock time in milliseconds. */
	readonly wallMs: () => number;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly targets: () => ReadonlyMap<string, TargetRecord>;
	/** Whether a target may receive requests, regardless of its version. */
	readonly isUsable: (target: TargetRecord) => boolean;
	readonly sendToPeer: (vm: string, message: RolloutMessage) => void;
	/** Called when the split of a service's targets between versions changes. */
	readonly onVersionSplit: (service: string) => void;
};

export type RolloutTask = {
	readonly evidence: EvidenceCounter;
	readonly versionSplit: (service: string) => VersionSplit;
	readonly usesNewVersion: (service: string, request: {readonly id: string; readonly isRepeat: boolean}, targets: VersionAvailability) => boolean;
	readonly maySend: (service: string, version: string, hasBefore: boolean) => boolean;
	readonly onOrder: (service: string, row: RolloutOrderRow) => void;
	/** Records the version of a target; to be called before the target is used. */
	readonly onTarget: (target: TargetRecord) => void;
	/** Called when all targets have been read. */
	readonly onTargetsRead: () => void;
	/** Returns the announcements that are sent with each load report. */
	readonly announcements: () => readonly Announcement[];
	readonly onMessage: (from: string, message: Required<RolloutMessage>) => void;
	/** Whether the orders and stored states have been read. */
	readonly isReady: () => boolean;
	readonly stop: () => void;
};

/** Schedules with a timer that does not keep the process running. */
export const scheduleByTimer: RolloutTaskOptions['schedule'] = (act, ms) => {
	const timer = setTimeout(act, ms).unref();
	return () => {
		clearTimeout(timer);
	};
};

/** Milliseconds for which announcements state that this VM hands over the coordination. Datagrams may be lost, so several of them have to state it. */
const STEP_DOWN_NOTICE_MS = 2000;

/** State of a service that has or had a roll-out order. */
type ManagedService = {
	readonly coordinator: RolloutCoordinator;
	readonly election: CoordinatorElection;
	steppedDownMs: number;
	reportedMs: number;
	reported: string;
	splitText: string;
	loggedState: string;
};

const versionOf = ({version = ''}: TargetRecord): string => version;

export const createRolloutTask = ({
	vm, incarnation, vms, bounds, store, clock, schedule, scheduleIdle = schedule, wallMs, log, metrics, targets, isUsable, sendToPeer, onVersionSplit,
}: RolloutTaskOptions): RolloutTask => {
	const participant = new RolloutParticipant(bounds);
	const evidence = new EvidenceCounter(incarnation);
	const services = new Map<string, ManagedService>();
	let hasReadStore = false;
	let isStopped = false;
	let isConfirming = false;
	let cancelCheck = (): void => undefined;

	const managedOf = (service: string): ManagedService => {
		const known = services.get(service) ?? {
			coordinator: new RolloutCoordinator(bounds), election: new CoordinatorElection(service, vms), steppedDownMs: -Infinity, reportedMs: -Infinity, reported: '', splitText: '', loggedState: '',
		};
		services.set(service, known);
		return known;
	};

	/** Logs and applies what changed for the service since the last call. */
	const refresh = (service: string): void => {
		const managed = managedOf(service);
		const {before, next, unconfirmed} = participant.versionSplit(service);
		const splitText = JSON.stringify([before, next, [...unconfirmed]]);
		const order = participant.order(service);
		const stored = participant.storedState(service);
		if (order) {
			evidence.startOrder(service, order);
		}

		const isHeld = participant.heldRevision(service) !== undefined;
		const loggedState = `${stored?.revision ?? 0} ${String(isHeld)} ${order?.version ?? 0}`;
		if (loggedState !== managed.loggedState) {
			managed.loggedState = loggedState;
			log.info('roll-out state', {
				service, order: order?.version, order_to: order?.to, phase: stored?.state.phase, to: stored?.state.to, share: stored?.state.share, held: isHeld, revision: stored?.revision,
			});
			metrics.rolloutShare.set({service}, isHeld || !next ? 0 : stored?.state.share ?? 0);
		}

		if (splitText !== managed.splitText) {
			managed.splitText = splitText;
			onVersionSplit(service);
		}
	};

	const coordinatorInputs = (service: string, isCoordinator: boolean): CoordinatorInputs => {
		const order = participant.order(service);
		const before = participant.versionSplit(service).before ?? [];
		const targetCounts = {newTargets: 0, newSlots: 0, oldSlots: 0};
		for (const target of targets().values()) {
			if (target.service === service && isUsable(target)) {
				if (versionOf(target) === order?.to) {
					targetCounts.newTargets++;
					targetCounts.newSlots += target.slots;
				} else if (before.includes(versionOf(target))) {
					targetCounts.oldSlots += target.slots;
				}
			}
		}

		return {
			...targetCounts, isCoordinator, order, before, vms: vms().length, heldRevision: participant.heldRevision(service), wallMs: wallMs(),
		};
	};

	const deliver = (service: string, message: CoordinatorMessage): void => {
		if (!isStopped) {
			for (const effect of managedOf(service).coordinator.handle(message, clock.nowMs())) {
				performEffect(service, effect);
			}
		}
	};

	const recordStates = (states: Awaited<ReturnType<RolloutStore['readStates']>>): void => {
		for (const [service, stored] of states ?? []) {
			participant.onStored(service, stored, {nowMs: clock.nowMs(), wallMs: wallMs()});
			refresh(service);
		}
	};

	const readState = async (service: string): Promise<void> => {
		const states = await store.readStates();
		recordStates(states);
		deliver(service, states ? {kind: 'read', stored: states.get(service), known: participant.storedState(service)} : {kind: 'read-failed'});
	};

	const writeState = async (service: string, write: Extract<CoordinatorEffect, {kind: 'write'}>['write']): Promise<void> => {
		const written = await store.write(service, write);
		if (written.kind === 'written') {
			participant.onStored(service, {state: write.state, revision: written.revision}, {nowMs: clock.nowMs(), wallMs: wallMs()});
			metrics.rolloutSteps.inc({service, phase: write.state.phase, reason: write.reason});
			refresh(service);
		}

		deliver(service, written);
	};

	function performEffect(service: string, effect: CoordinatorEffect): void {
		switch (effect.kind) {
			case 'read': {
				void readState(service);
				break;
			}

			case 'write': {
				void writeState(service, effect.write);
				break;
			}

			case 'step-down': {
				const managed = managedOf(service);
				if (clock.nowMs() - managed.steppedDownMs > STEP_DOWN_NOTICE_MS) {
					log.warn('roll-out handed over', {service});
					managed.steppedDownMs = clock.nowMs();
				}

				managed.election.noteSteppedDown(vm, clock.nowMs());
				break;
			}

			case 'announce': {
				const order = participant.order(service);
				participant.onAnnouncement({
					...effect.stored, service, coordinator: vm, isHeld: effect.isHeld, ageMs: 0,
					orderAgeMs: order?.version === effect.stored.state.order ? clock.nowMs() - order.orderedMs : 0,
				}, clock.nowMs());
				refresh(service);
				break;
			}

			case 'log': {
				const {write: {state, reason, order}, verdict, responses, runningBefore} = effect;
				log.info('roll-out step', {
					service, order, to: state.to, phase: state.phase, share: state.share, reason, route: verdict.alarm?.route, score: Math.round(verdict.score * 100) / 100,
					responses, running_before: runningBefore,
				});
				break;
			}
		}
	}

	/** Sends this VM's evidence to the coordinator if it has changed or is due. */
	const report = (service: string, coordinator: string | undefined): void => {
		const managed = managedOf(service);
		const nowMs = clock.nowMs();
		const intervalMs = Math.max(CHECK_MS, vms().length * REPORT_INTERVAL_MS_PER_VM);
		if (coordinator === undefined || nowMs - managed.reportedMs < intervalMs * 0.9) {
			return;
		}

		const evidenceReport = evidence.report(service, participant.storedState(service)?.revision ?? 0, nowMs);
		const {sequence: _, ...rest} = evidenceReport ?? {sequence: 0};
		const text = `${coordinator} ${JSON.stringify(rest)}`;
		if (!evidenceReport || (text === managed.reported && nowMs - managed.reportedMs < MAX_REPORT_INTERVAL_MS)) {
			return;
		}

		managed.reported = text;
		managed.reportedMs = nowMs;
		if (coordinator === vm) {
			deliver(service, {
				kind: 'evidence', vm, report: evidenceReport, vms: vms().length,
			});
		} else {
			sendToPeer(coordinator, {evidence: [evidenceReport]});
		}
	};

	/** Returns the newest announcement. While this VM hands over the coordination, the announcement names this VM as the coordinator and states that it steps down. */
	const announcementOf = (service: string): Announcement | undefined => {
		const announcement = participant.announcement(service, clock.nowMs());
		const isSteppingDown = clock.nowMs() - managedOf(service).steppedDownMs <= STEP_DOWN_NOTICE_MS;
		return announcement && (isSteppingDown ? {...announcement, coordinator: vm, isSteppingDown} : announcement);
	};

	const checkService = (service: string): void => {
		const {election} = managedOf(service);
		const isOpen = participant.isOpen(service);
		const coordinator = election.electCoordinator(isOpen, clock.nowMs());
		if (isOpen) {
			report(service, coordinator);
		}

		deliver(service, {kind: 'look', inputs: coordinatorInputs(service, isOpen && coordinator === vm)});
	};

	/** Reads the orders again when targets have a version without a known order. Otherwise a version whose order was just written would be treated as one without an order. */
	const confirmVersions = async (): Promise<void> => {
		if (isConfirming) {
			return;
		}

		isConfirming = true;
		const unconfirmed = participant.unconfirmed();
		const [read, states] = await Promise.all([store.readOrders(), hasReadStore ? undefined : store.readStates()]);
		isConfirming = false;
		if (isStopped) {
			return;
		}

		if (!read || (!hasReadStore && !states)) {
			schedule(() => {
				void confirmVersions();
			}, READ_RETRY_MS);
			return;
		}

		recordStates(states);
		hasReadStore = true;
		for (const [service, row] of read.orders) {
			participant.onOrder(service, row, clock.nowMs());
		}

		participant.onConfirmed(unconfirmed);
		for (const service of new Set([...unconfirmed.keys(), ...participant.managedServices()])) {
			refresh(service);
		}

		if (participant.hasUnconfirmed()) {
			void confirmVersions();
		}
	};

	const checkAll = (): void => {
		const nowMs = clock.nowMs();
		participant.onTick(nowMs);
		const managed = participant.managedServices();
		for (const service of hasReadStore ? managed : []) {
			refresh(service);
			checkService(service);
		}

		if (hasReadStore && participant.takeDueReads(nowMs).length > 0) {
			void store.readStates().then(recordStates);
		}

		const isOpen = managed.some(service => participant.isOpen(service));
		cancelCheck = isOpen ? schedule(checkAll, CHECK_MS) : scheduleIdle(checkAll, IDLE_CHECK_MS);
	};

	checkAll();
	return {
		evidence,
		versionSplit: service => participant.versionSplit(service),
		usesNewVersion: (service, request, availability) => participant.usesNewVersion(service, request, availability, clock.nowMs()),
		maySend: (service, version, hasBefore) => participant.maySend(service, version, hasBefore, clock.nowMs()),
		onOrder(service, row) {
			participant.onOrder(service, row, clock.nowMs());
			refresh(service);
		},
		onTarget(target) {
			if (participant.onVersion(target.service, versionOf(target))) {
				// Records the split with the unconfirmed version, so that its confirmation counts as a change and calls `onVersionSplit`.
				refresh(target.service);
				if (hasReadStore) {
					void confirmVersions();
				}
			}
		},
		onTargetsRead() {
			if (!hasReadStore) {
				void confirmVersions();
			}
		},
		announcements: () => participant.managedServices().flatMap(service => announcementOf(service) ?? []),
		onMessage(from, {announcements, evidence: reports}) {
			const nowMs = clock.nowMs();
			for (const announcement of announcements) {
				const {service, coordinator, ageMs} = announcement;
				if (announcement.isSteppingDown) {
					managedOf(service).election.noteSteppedDown(coordinator, nowMs);
				} else if (participant.onAnnouncement(announcement, nowMs)) {
					managedOf(service).election.noteAnnouncement(coordinator, nowMs - ageMs);
					refresh(service);
				}
			}

			for (const evidenceReport of reports) {
				onEvidence(from, evidenceReport);
			}
		},
		isReady: () => hasReadStore,
		stop() {
			isStopped = true;
			cancelCheck();
		},
	};

	/** Handles evidence and replies with the newest announcement, so that each VM that can reach the coordinator receives a change within one round trip of its report. */
	function onEvidence(from: string, evidenceReport: EvidenceReport): void {
		if (!participant.order(evidenceReport.service)) {
			return;
		}

		deliver(evidenceReport.service, {
			kind: 'evidence', vm: from, report: evidenceReport, vms: vms().length,
		});
		const announcement = announcementOf(evidenceReport.service);
		if (announcement) {
			sendToPeer(from, {announcements: [announcement]});
		}
	}
};
