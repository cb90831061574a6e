/**
 * Exchanges load reports and messages on reservations with the other VMs as datagrams. A
 * report is of use only while it is fresh and replaces the one before it, and an answer that
 * comes late is not waited for; so nothing is gained by a connection that repeats lost ones,
 * and a VM that stood still finds no backlog.
 */
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {type Clock} from '../../core/clock.js';
import {nextPeers, planExchange} from '../../core/placement/exchange-plan.js';
import {type FleetLoads, type TargetLoad, type TeamLoad} from '../../core/placement/fleet-loads.js';
import {type LeavingTarget, type ObservedLoad} from '../../core/placement/messages.js';
import {type SentPrompt} from '../../core/placement/prefix-cache-estimate.js';
import {LoadReportSchema, PeerDatagramSchema} from '../../gen/jackdawwood/v1/exchange_pb.js';
import {hash32} from '../../core/membership/rendezvous.js';
import {type PeerMessage} from '../../core/placement/reservations.js';
import {type StoreFreshness} from '../../core/store-watch/types.js';
import {type Log} from '../observe/log.js';
import {decodeRollouts, encodeRollouts} from '../rollout/rollout-messages.js';
import {type RolloutMessage} from '../rollout/types.js';
import {decodeReservations, encodeReservations, type ServiceMessage} from './reservation-messages.js';

type Address = {readonly host: string; readonly port: number};

export type LoadExchangeOptions = {
	readonly vm: string;
	readonly incarnation: string;
	readonly listen: Address;
	readonly clock: Clock;
	readonly log: Log;
	readonly loads: FleetLoads;
	/** Where the other VMs listen. */
	readonly peers: () => readonly Address[];
	readonly peerOf: (vm: string) => Address | undefined;
	/** Told of a VM that was heard and has no known address. */
	readonly onUnknownVm: (vm: string) => void;
	/** Called with what another VM says of reservations. */
	readonly onReservationMessage: (from: string, service: string, message: PeerMessage) => void;
	readonly targets: () => readonly TargetLoad[];
	readonly teams: () => readonly TeamLoad[];
	/** Prompts that were sent since the last call. */
	readonly takeSentPrompts: () => readonly SentPrompt[];
	/** Called with the prompts that another VM has sent. */
	readonly onSentPrompts: (sent: readonly SentPrompt[]) => void;
	/** Targets whose answers have begun to say that they leave. */
	readonly leavingTargets: () => readonly LeavingTarget[];
	readonly onLeavingTargets: (leaving: readonly LeavingTarget[]) => void;
	/** How new the news of this VM is. */
	readonly freshness: () => StoreFreshness;
	/** Called with how new the news of another VM is. */
	readonly onFreshness: (freshness: StoreFreshness) => void;
	/** What targets said of their load since the last call. */
	readonly takeObserved: () => readonly ObservedLoad[];
	/** Called with what targets said of their load to another VM. */
	readonly onObserved: (loads: readonly ObservedLoad[]) => void;
	/** What goes out about roll-outs with each report, if any are carried out. */
	readonly rollouts?: () => RolloutMessage;
	readonly onRollouts?: (from: string, message: Required<RolloutMessage>) => void;
};

export type LoadExchange = {
	/** Sends a message on reservations, with others of the same turn. */
	readonly sendReservationMessage: (vm: string, service: string, message: PeerMessage) => void;
	/** Sends a message on roll-outs. */
	readonly sendRolloutMessage: (vm: string, message: RolloutMessage) => void;
	readonly close: () => void;
};

/** Starts to listen and to report. */
export const startLoadExchange = async ({
	vm, incarnation, listen, clock, log, loads, peers, peerOf, onUnknownVm, onReservationMessage, targets, teams, takeSentPrompts, onSentPrompts, takeObserved, onObserved,
	freshness, onFreshness, leavingTargets, onLeavingTargets, rollouts, onRollouts,
}: LoadExchangeOptions): Promise<LoadExchange> => {
	const socket = createSocket('udp4');
	let sequence = 0;
	let timer: NodeJS.Timeout;

	socket.on('message', bytes => {
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
				loads.addReport({...report, vm: datagram.vm}, clock.nowMs());
				onSentPrompts(report.prompts);
				onObserved(report.observed);
				onLeavingTargets(report.leaving.map(({target, bornMs}) => ({target, bornMs: Number(bornMs)})));
				onFreshness({
					storeAgeMs: report.storeAgeMs, versions: new Map(report.tables.map(({table, version}) => [table, Number(version)])),
				});
			}

			onRollouts?.(datagram.vm, decodeRollouts(datagram));
			for (const {service, message} of decodeReservations(datagram)) {
				onReservationMessage(datagram.vm, service, message);
			}
		} catch (error) {
			log.warn('load report not understood', {fault: String(error)});
		}
	});
	socket.on('error', err => {
		log.warn('load exchange failed', {fault: err.message});
	});
	socket.bind(listen.port, listen.host);
	await once(socket, 'listening');

	let next = hash32(`${vm}|${incarnation}`);
	/** What all of a small fleet need to hear, or a sample of a large one. */
	const buildContents = (isFullMesh: boolean) => {
		const prompts = takeSentPrompts();
		return isFullMesh
			? {
				targets: targets().map(load => ({...load, readingTokens: Math.round(load.readingTokens), heldTokens: Math.round(load.heldTokens)})),
				prompts: prompts.map(({target, keys, newTokens}) => ({target, keys: [...keys], newTokens: Math.round(newTokens)})),
			}
			: {observed: takeObserved().map(load => ({...load, ageMs: Math.round(load.ageMs), workPercent: Math.max(0, Math.round(load.workPercent ?? 0))}))};
	};

	const sendReport = (): void => {
		const addresses = peers();
		const plan = planExchange(addresses.length);
		loads.expire(clock.nowMs(), plan.validMs, plan.isFullMesh ? undefined : addresses.length);
		const reportContents = buildContents(plan.isFullMesh);
		if (addresses.length > 0) {
			const {versions, storeAgeMs} = freshness();
			const report = create(LoadReportSchema, {
				storeAgeMs: Math.round(storeAgeMs),
				leaving: leavingTargets().map(({target, bornMs}) => ({target, bornMs: BigInt(bornMs)})),
				tables: [...versions].map(([table, version]) => ({table, version: BigInt(version)})),
				incarnation, sequence: ++sequence, ...reportContents,
				teams: teams().map(load => ({...load, use: Math.round(load.use), asked: Math.round(load.asked)})),
			});
			const bytes = toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm, report, ...(rollouts && encodeRollouts(rollouts()))}));
			for (const {host, port} of nextPeers(addresses, next, plan)) {
				// A peer that cannot be reached misses one report.
				socket.send(bytes, port, host, () => undefined);
			}

			next += plan.peersPerReport;
		}

		timer = setTimeout(sendReport, plan.periodMs);
	};

	const outbox = new Map<string, ServiceMessage[]>();
	const flush = (): void => {
		for (const [to, messages] of outbox) {
			const address = peerOf(to);
			if (address) {
				socket.send(toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm, ...encodeReservations(messages)})), address.port, address.host, () => undefined);
			}
		}

		outbox.clear();
	};

	sendReport();
	return {
		sendReservationMessage(to, service, message) {
			if (outbox.size === 0) {
				setImmediate(flush);
			}

			const messages = outbox.get(to) ?? [];
			outbox.set(to, messages);
			messages.push({service, message});
		},
		sendRolloutMessage(to, message) {
			const address = peerOf(to);
			if (address) {
				socket.send(toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm, ...encodeRollouts(message)})), address.port, address.host, () => undefined);
			}
		},
		close() {
			clearTimeout(timer);
			socket.close();
		},
	};
};
