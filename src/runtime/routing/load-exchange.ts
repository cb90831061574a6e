/**
 * Exchanges load reports with the other VMs as datagrams. A report is of use only while
 * it is fresh and replaces the one before it, so nothing is gained by a connection that
 * repeats lost ones, and a VM that stood still finds no backlog.
 */
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {type Clock} from '../../core/clock.js';
import {type FleetLoads, type TargetLoad, type TeamLoad} from '../../core/placement/fleet-loads.js';
import {type SentPrompt} from '../../core/placement/prompt-record.js';
import {LoadReportSchema} from '../../gen/jackdawwood/v1/exchange_pb.js';
import {type Log} from '../observe/log.js';

/** Milliseconds between reports in a small fleet. */
const MIN_PERIOD_MS = 100;
/** Milliseconds a report of each VM adds to the period, so that a VM handles about a hundred reports a second at most. */
const PERIOD_PER_VM_MS = 8;

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
	readonly targets: () => readonly TargetLoad[];
	readonly teams: () => readonly TeamLoad[];
	/** Prompts that were sent since the last call. */
	readonly takeSentPrompts: () => readonly SentPrompt[];
	/** Called with the prompts that another VM has sent. */
	readonly onSentPrompts: (sent: readonly SentPrompt[]) => void;
};

export type LoadExchange = {
	readonly close: () => void;
};

/** Starts to listen and to report. */
export const startLoadExchange = async ({
	vm, incarnation, listen, clock, log, loads, peers, targets, teams, takeSentPrompts, onSentPrompts,
}: LoadExchangeOptions): Promise<LoadExchange> => {
	const socket = createSocket('udp4');
	let sequence = 0;
	let timer: NodeJS.Timeout;

	socket.on('message', bytes => {
		try {
			const report = fromBinary(LoadReportSchema, bytes);
			if (report.vm !== vm) {
				loads.take(report, clock.nowMs());
				onSentPrompts(report.prompts);
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

	const send = (): void => {
		loads.expire(clock.nowMs());
		const addresses = peers();
		const prompts = takeSentPrompts();
		if (addresses.length > 0) {
			const bytes = toBinary(LoadReportSchema, create(LoadReportSchema, {
				vm, incarnation, sequence: ++sequence,
				targets: targets().map(load => ({...load, readingTokens: Math.round(load.readingTokens), heldTokens: Math.round(load.heldTokens)})),
				teams: teams().map(load => ({...load, use: Math.round(load.use), asked: Math.round(load.asked)})),
				prompts: prompts.map(({target, keys, newTokens}) => ({target, keys: [...keys], newTokens: Math.round(newTokens)})),
			}));
			for (const {host, port} of addresses) {
				// A peer that cannot be reached misses one report.
				socket.send(bytes, port, host, () => undefined);
			}
		}

		timer = setTimeout(send, Math.max(MIN_PERIOD_MS, PERIOD_PER_VM_MS * addresses.length));
	};

	send();
	return {
		close() {
			clearTimeout(timer);
			socket.close();
		},
	};
};
