/**
 * Exchanges load reports, reservation messages and roll-out messages with the other VMs as
 * UDP datagrams. Each report replaces the previous one, and no VM waits for a late reply, so the
 * retransmissions of a connection would gain nothing. A VM whose process was paused also has no
 * backlog of old reports to read.
 */
import {createSocket, type SocketOptions} from 'node:dgram';
import {once} from 'node:events';
import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import {type Clock} from '../../core/clock.js';
import {
	nextPeers, planExchange, reportWeight, type ExchangePlan,
} from '../../core/placement/exchange-plan.js';
import {type FleetLoads, type TargetLoad, type TeamLoad} from '../../core/placement/fleet-loads.js';
import {type LeavingTarget, type ObservedLoad} from '../../core/placement/messages.js';
import {type SentPrompt} from '../../core/placement/prefix-cache-estimate.js';
import {ReportPace, type ReportNews} from '../../core/placement/report-pace.js';
import {
	LoadReportSchema, PeerDatagramSchema, QuarantineNotesSchema, type PeerDatagram, type QuarantineNotes,
} from '../../gen/jackdawwood/v1/exchange_pb.js';
import {hash32} from '../../core/membership/rendezvous.js';
import {type PeerMessage} from '../../core/placement/peer-messages.js';
import {type PeerTraffic} from '../observe/traffic-report.js';
import {type StoreFreshness} from '../../core/store-watch/types.js';
import {type Log} from '../observe/log.js';
import {decodeRollouts, encodeRollouts} from '../rollout/rollout-messages.js';
import {type Announcement} from '../../core/rollout/types.js';
import {type RolloutMessage} from '../rollout/types.js';
import {type QuarantineReport} from '../../core/quarantine/types.js';
import {decodeQuarantine, encodeQuarantine} from './quarantine-messages.js';
import {decodeReservations, encodeReservations, type ServiceMessage} from './reservation-messages.js';

type Address = {readonly host: string; readonly port: number};

/** Milliseconds to the next report after one that failed before its period was known. */
const FAILED_REPORT_PERIOD_MS = 400;

export type LoadExchangeOptions = {
	readonly vm: string;
	readonly incarnation: string;
	readonly listen: Address;
	readonly clock: Clock;
	readonly log: Log;
	readonly loads: FleetLoads;
	/** Returns the addresses at which the other VMs listen. */
	readonly peers: () => readonly Address[];
	readonly peerOf: (vm: string) => Address | undefined;
	/** Called with a VM that sent a datagram and has no known address. */
	readonly onUnknownVm: (vm: string) => void;
	/** Called with each reservation message of another VM. */
	readonly onPeerMessage: (from: string, service: string, message: PeerMessage) => void;
	readonly targets: () => readonly TargetLoad[];
	readonly teams: () => readonly TeamLoad[];
	/** Returns the prompts that this VM sent to targets since the last call. */
	readonly takeSentPrompts: () => readonly SentPrompt[];
	/** Called with the prompts that another VM sent to targets. */
	readonly onSentPrompts: (sent: readonly SentPrompt[]) => void;
	/** Returns the targets whose responses announce that they are leaving. */
	readonly leavingTargets: () => readonly LeavingTarget[];
	readonly onLeavingTargets: (leaving: readonly LeavingTarget[]) => void;
	/** Returns the freshness of the store's tables at this VM. */
	readonly freshness: () => StoreFreshness;
	/** Called with the freshness of the store's tables at another VM. */
	readonly onFreshness: (freshness: StoreFreshness) => void;
	/** Returns the loads that targets reported to this VM since the last call. */
	readonly takeObserved: () => readonly ObservedLoad[];
	/** Called with the loads that targets reported to another VM. */
	readonly onObserved: (loads: readonly ObservedLoad[]) => void;
	/** Returns the roll-out message that is sent with each report; absent without roll-outs. */
	readonly rollouts?: () => RolloutMessage;
	readonly onRollouts?: (from: string, message: Required<RolloutMessage>) => void;
	/** Returns what this VM knows of ended target processes and condemned prompt parts. */
	readonly quarantine?: () => QuarantineReport;
	readonly onQuarantine?: (from: string, report: QuarantineReport) => void;
	/** Called when a datagram has arrived, before it is processed. */
	readonly onDatagram?: () => void;
	/** Called with each datagram that is sent, once for each VM that it is sent to. */
	readonly onSent?: (kind: PeerTraffic, messages: number, bytes: number) => void;
	/** Called when a datagram could not be processed, or not be encoded or sent. */
	readonly onFault?: (direction: 'in' | 'out') => void;
};

export type LoadExchange = {
	/** Queues a reservation message. All messages to one VM from one turn of the event loop are sent in one datagram. */
	readonly sendPeerMessage: (vm: string, service: string, message: PeerMessage) => void;
	/** Sends a roll-out message at once. */
	readonly sendRolloutMessage: (vm: string, message: RolloutMessage) => void;
	/** Sends what the quarantine reports at once, in a large fleet: to those that the next load report goes to, or only the sound parts, to one VM that blames them. In a small one, the next load report is soon enough. */
	readonly sendQuarantine: (to?: string) => void;
	/** Returns to the full rate of reports. Called when a request or a change of the fleet has arrived. */
	readonly wake: () => void;
	readonly close: () => void;
};

/** Returns an address as it is, since the settings and the VMs' rows state addresses by IP number. Node.js would look up that of each datagram. */
const lookup: NonNullable<SocketOptions['lookup']> = (host, _options, callback) => {
	callback(null, host, 4);
};

/** Ignores the outcome of a send: an unreachable VM misses one datagram. */
const ignoreOutcome = (): void => undefined;

/** Returns what an announcement tells apart from ages. */
const factOf = ({service, revision, isHeld, isSteppingDown = false, coordinator}: Announcement): string => [service, revision, isHeld, isSteppingDown, coordinator].join(' ');

const isOpenRollout = ({state: {phase}, isHeld, isSteppingDown = false}: Announcement): boolean => isHeld || isSteppingDown || phase === 'trial' || phase === 'moving';

/** Whether a datagram has what its receiver passes on in its own reports. */
const maySpread = ({report, quarantine, rollouts}: PeerDatagram): boolean => report?.outageAgeMs !== undefined || (report?.leaving.length ?? 0) > 0 || quarantine !== undefined || rollouts.length > 0;

/** Starts to listen for datagrams and to send reports. */
export const startLoadExchange = async ({
	vm, incarnation, listen, clock, log, loads, peers, peerOf, onUnknownVm, onPeerMessage, targets, teams, takeSentPrompts, onSentPrompts, takeObserved, onObserved,
	freshness, onFreshness, leavingTargets, onLeavingTargets, rollouts, onRollouts, quarantine, onQuarantine, onDatagram, onSent = () => undefined, onFault = () => undefined,
}: LoadExchangeOptions): Promise<LoadExchange> => {
	const socket = createSocket({type: 'udp4', lookup});
	const pace = new ReportPace();
	let sequence = 0;
	let timer: NodeJS.Timeout;
	let isResting = false;

	const noteFault = (direction: 'in' | 'out', err: unknown): void => {
		onFault(direction);
		log.warn(direction === 'in' ? 'failed to process a datagram of another VM' : 'failed to send a datagram to other VMs', {fault: String(err)});
	};

	socket.on('message', bytes => {
		onDatagram?.();
		try {
			const datagram = fromBinary(PeerDatagramSchema, bytes);
			if (datagram.vm === vm) {
				return;
			}

			if (peerOf(datagram.vm) === undefined) {
				onUnknownVm(datagram.vm);
			}

			const {report} = datagram;
			if (report) {
				loads.addReport({...report, vm: datagram.vm}, clock.nowMs(), reportWeight(report.periodMs, planExchange(peers().length)));
				onSentPrompts(report.prompts);
				onObserved(report.observed);
				onLeavingTargets(report.leaving.map(({target, bornMs}) => ({target, bornMs: Number(bornMs)})));
				onFreshness({
					storeAgeMs: report.storeAgeMs, outageAgeMs: report.outageAgeMs, versions: new Map(report.tables.map(({table, version}) => [table, Number(version)])),
				});
			}

			if (datagram.quarantine) {
				onQuarantine?.(datagram.vm, decodeQuarantine(datagram.quarantine));
			}

			onRollouts?.(datagram.vm, decodeRollouts(datagram));
			for (const {service, message} of decodeReservations(datagram)) {
				onPeerMessage(datagram.vm, service, message);
			}

			if (isResting && maySpread(datagram) && pace.isNews(newsOf(readState()))) {
				wake();
			}
		} catch (error) {
			noteFault('in', error);
		}
	});
	socket.on('error', err => {
		log.warn('UDP socket for load reports failed', {fault: err.message});
	});
	const listening = once(socket, 'listening');
	socket.bind(listen.port, listen.host);
	await listening;

	let next = hash32(`${vm}|${incarnation}`);
	/**
	 * Returns the loads for a report. In a small fleet each report goes to all VMs and contains
	 * this VM's own loads and the prompts that it sent. In a large fleet each report goes to a
	 * sample of the VMs and contains the loads that targets reported to this VM.
	 */
	const buildContents = (isFullMesh: boolean) => {
		const prompts = takeSentPrompts();
		return isFullMesh
			? {
				targets: targets().map(load => ({...load, readingTokens: Math.round(load.readingTokens), heldTokens: Math.round(load.heldTokens)})),
				prompts: prompts.map(({target, keys, partTokens, ownTokens}) => ({
					target, keys: [...keys], partTokens: partTokens.map(tokens => Math.round(tokens)), ownTokens: Math.round(ownTokens),
				})),
			}
			: {observed: takeObserved().map(load => ({...load, ageMs: Math.round(load.ageMs), workPercent: Math.max(0, Math.round(load.workPercent ?? 0))}))};
	};

	const quarantineField = (select = (report: QuarantineReport): QuarantineReport => report): {readonly quarantine?: QuarantineNotes} => {
		const notes = quarantine && encodeQuarantine(select(quarantine()));
		return notes ? {quarantine: create(QuarantineNotesSchema, notes)} : {};
	};

	/** Sends a datagram to the peers whose turn it is. */
	const sendToPeers = (kind: PeerTraffic, bytes: Uint8Array, {plan, addresses}: {readonly plan: ExchangePlan; readonly addresses: readonly Address[]}): void => {
		for (const {host, port} of nextPeers(addresses, next, plan)) {
			onSent(kind, 1, bytes.length);
			socket.send(bytes, port, host, ignoreOutcome);
		}

		next += plan.peersPerReport;
	};

	/** Reads the part of a report that is computed from the state of this VM. */
	const readState = () => ({...freshness(), leaving: leavingTargets(), teamLoads: teams()});

	/** Returns what a report would tell now, apart from the loads that it takes. */
	const newsOf = ({versions, storeAgeMs, outageAgeMs, leaving, teamLoads}: ReturnType<typeof readState>): Omit<ReportNews, 'peers'> => {
		const announcements = rollouts?.().announcements ?? [];
		const {ends = [], sound = [], verdicts = []} = quarantine?.() ?? {};
		return {
			storeAgeMs,
			hasFigures: outageAgeMs !== undefined || leaving.length + ends.length + sound.length + verdicts.length > 0 || announcements.some(announcement => isOpenRollout(announcement)) || teamLoads.length > 0,
			facts: [...[...versions].flat(), ...announcements.map(announcement => factOf(announcement))].join(' '),
		};
	};

	/** Sends a report; returns the milliseconds to the next one. */
	const sendOneReport = (plan: ExchangePlan, addresses: readonly Address[]): number => {
		const nowMs = clock.nowMs();
		loads.expire(nowMs, plan.validMs, plan.isFullMesh ? undefined : addresses.length);
		const reportContents = buildContents(plan.isFullMesh);
		const state = readState();
		const {versions, storeAgeMs, outageAgeMs, leaving, teamLoads} = state;
		const news = newsOf(state);
		const hasLoads = Object.values<readonly unknown[]>(reportContents).some(list => list.length > 0);
		const periodMs = pace.noteReport({...news, hasFigures: news.hasFigures || hasLoads, peers: addresses.length}, plan, nowMs);
		if (addresses.length > 0) {
			const report = create(LoadReportSchema, {
				storeAgeMs: Math.round(storeAgeMs),
				...(outageAgeMs !== undefined && {outageAgeMs: Math.round(outageAgeMs)}),
				leaving: leaving.map(({target, bornMs}) => ({target, bornMs: BigInt(bornMs)})),
				tables: [...versions].map(([table, version]) => ({table, version: BigInt(version)})),
				incarnation, sequence: ++sequence, periodMs, ...reportContents,
				teams: teamLoads.map(load => ({...load, use: Math.round(load.use), asked: Math.round(load.asked)})),
			});
			const bytes = toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {
				vm, report, ...(rollouts && encodeRollouts(rollouts())), ...quarantineField(),
			}));
			sendToPeers('report', bytes, {plan, addresses});
		}

		return periodMs;
	};

	/** Sends a report and schedules the next one. A report that cannot be sent costs itself alone. */
	const sendReport = (): void => {
		let periodMs = FAILED_REPORT_PERIOD_MS;
		isResting = false;
		try {
			const addresses = peers();
			const plan = planExchange(addresses.length);
			periodMs = plan.periodMs;
			periodMs = sendOneReport(plan, addresses);
			isResting = periodMs > plan.periodMs;
		} catch (error) {
			noteFault('out', error);
		}

		timer = setTimeout(sendReport, periodMs);
	};

	/** Returns to the full rate; the next report comes as soon as one at that rate would on average. */
	const wake = (): void => {
		const others = peers().length;
		const plan = planExchange(others);
		pace.noteEvent(plan, clock.nowMs());
		if (isResting) {
			isResting = false;
			clearTimeout(timer);
			const {isFullMesh, periodMs, validMs} = plan;
			// The sums were brought up to date at the last report, which may be long ago.
			loads.expire(clock.nowMs(), validMs, isFullMesh ? undefined : others);
			timer = setTimeout(sendReport, periodMs / 2);
		}
	};

	const outbox = new Map<string, ServiceMessage[]>();
	/** Sends a datagram to one VM. One that cannot be encoded or sent is lost, like any other may be. */
	const sendTo = (to: string, fields: () => MessageInitShape<typeof PeerDatagramSchema>, {kind, messages = 1}: {readonly kind: PeerTraffic; readonly messages?: number}): void => {
		try {
			const address = peerOf(to);
			if (address) {
				const bytes = toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm, ...fields()}));
				onSent(kind, messages, bytes.length);
				socket.send(bytes, address.port, address.host, ignoreOutcome);
			}
		} catch (error) {
			noteFault('out', error);
		}
	};

	const flush = (): void => {
		const queued = [...outbox];
		outbox.clear();
		for (const [to, messages] of queued) {
			sendTo(to, () => encodeReservations(messages), {kind: 'reservation', messages: messages.length});
		}
	};

	sendReport();
	return {
		sendPeerMessage(to, service, message) {
			if (outbox.size === 0) {
				setImmediate(flush);
			}

			const messages = outbox.get(to) ?? [];
			outbox.set(to, messages);
			messages.push({service, message});
		},
		sendRolloutMessage(to, message) {
			sendTo(to, () => encodeRollouts(message), {kind: 'rollout'});
		},
		sendQuarantine(to) {
			const addresses = peers();
			const plan = planExchange(addresses.length);
			if (plan.isFullMesh) {
				return;
			}

			if (to !== undefined) {
				sendTo(to, () => quarantineField(({sound}) => ({ends: [], sound, verdicts: []})), {kind: 'quarantine'});
				return;
			}

			const notes = quarantineField();
			if (notes.quarantine) {
				sendToPeers('quarantine', toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm, ...notes})), {plan, addresses});
			}
		},
		wake,
		close() {
			clearTimeout(timer);
			socket.close();
		},
	};
};
