/**
 * Refuses connections that wait too long to be accepted, in a thread of its own that
 * starts when it is first needed. Their callers come back through another VM, instead of
 * finding no connection here.
 */
import {closeSync, openSync} from 'node:fs';
import {type Server} from 'node:net';
import {devNull} from 'node:os';
import {Worker} from 'node:worker_threads';
import {type Clock} from '../../core/clock.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {VmOverloaded} from '../../core/errors/refusals-data.js';
import {watchBacklog} from './accept-backlog.js';
import {type OverflowData, type OverflowReport} from './types.js';

export type OverflowOptions = {
	/** Module that runs `serveOverflow` with the wire of the callers. */
	readonly module: URL;
	readonly server: Server;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Milliseconds for which a VM asks for no new callers after connections waited: the balancer looks once a second and needs two looks. */
const HOLD_MS = 3000;

export type Overflow = {
	/** Whether connections have waited lately. */
	readonly isBacklogged: () => boolean;
	/**
	 * Stops a server with its thread.
	 *
	 * @param stopServer - Closes the listening socket before it returns.
	 */
	readonly stop: (stopServer: () => Promise<void>) => Promise<void>;
};

/** Descriptors that are tried to take one that was just closed; the lowest free one is given first. */
const MAX_TRIES = 64;

/**
 * Takes a descriptor that was just closed. The thread closes the number once more when it
 * ends, and would hit whatever has it by then.
 */
const takeDescriptor = (descriptor: number, log: Log): void => {
	const lower: number[] = [];
	let taken = openSync(devNull, 'r');
	while (taken !== descriptor && lower.length < MAX_TRIES) {
		lower.push(taken);
		taken = openSync(devNull, 'r');
	}

	for (const other of lower) {
		closeSync(other);
	}

	if (taken !== descriptor) {
		closeSync(taken);
		log.warn('descriptor taken by others', {descriptor});
	}
};

/** The descriptor of a listening server; Node has no public name for it. */
const descriptorOf = (server: Server): number => {
	const {_handle: handle} = server as Server & {readonly _handle?: {readonly fd: number}};
	return handle?.fd ?? -1;
};

/** Starts to watch a listening server. */
export const startOverflow = ({module, server, clock, log, metrics}: OverflowOptions): Overflow => {
	const descriptor = descriptorOf(server);
	const signal = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
	const flag = new Int32Array(signal);
	let worker: Worker | undefined;
	let backlogMs = -Infinity;

	const isBacklogged = () => clock.nowMs() < backlogMs + HOLD_MS;

	const onReport = ({requestIds}: OverflowReport): void => {
		for (const requestId of requestIds) {
			metrics.refusals.inc({reason: VmOverloaded.name, not_run: String(VmOverloaded.notRun)});
			log.info('request refused', {
				request_id: requestId, reason: VmOverloaded.name, not_run: VmOverloaded.notRun, because: 'its connection waited',
			});
		}
	};

	const start = (): void => {
		const data: OverflowData = {descriptor, signal};
		worker = new Worker(module, {workerData: data});
		worker.unref();
		worker.on('message', onReport);
		worker.on('error', err => {
			log.error('overflow thread ended', {fault: err.message});
		});
		log.info('overflow thread started');
	};

	const endWatch = watchBacklog(server, clock.nowMs, () => {
		if (!worker) {
			start();
		}

		if (!isBacklogged()) {
			log.info('connections wait to be accepted', {not_ready_ms: HOLD_MS});
		}

		backlogMs = clock.nowMs();
		Atomics.store(flag, 0, 1);
		Atomics.notify(flag, 0);
	});

	return {
		isBacklogged,
		async stop(stopServer) {
			endWatch();
			const stopped = stopServer();
			if (worker) {
				takeDescriptor(descriptor, log);
				await worker.terminate();
			}

			await stopped;
		},
	};
};
