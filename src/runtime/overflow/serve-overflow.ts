/**
 * The overflow thread: accepts the connections that wait when it is woken, refuses one
 * request on each and closes it. Between times it sleeps, so that the router's own loop
 * takes all connections that it can.
 *
 * It never closes its server: that would close the socket that the router listens on.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import {parentPort, workerData} from 'node:worker_threads';
import {OVERLOADED_RETRY_MS} from '../../core/admission/load-shed.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {VmOverloaded} from '../../core/errors/refusals-data.js';
import {type CallerWire} from '../routing/types.js';
import {type OverflowData, type OverflowReport} from './types.js';

/** Turns of the loop without a new connection after which none waits. */
const IDLE_TURNS = 2;
/** Connections that are accepted each time the thread is woken: the processor is shared with the router, which wakes it again while others wait. */
const MOST_AT_ONCE = 32;
/** Turns for the refusals to go out; requests have arrived while their connections waited. */
const END_TURNS = 4;
/** Looks at requests that arrive slowly, and milliseconds between them, before their connections are closed. */
const LATE_LOOKS = 20;
const LOOK_MS = 25;

type Wire = Pick<CallerWire, 'readHead' | 'writeRefusal'>;

/** Serves until the process ends. */
export const serveOverflow = async (wire: Wire): Promise<void> => {
	const {descriptor, signal} = workerData as OverflowData; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- given by `startOverflow`
	const flag = new Int32Array(signal);
	const connections = {accepted: 0, open: new Set<Socket>()};
	let requestIds: string[] = [];

	const refuse = (req: IncomingMessage, res: ServerResponse): void => {
		const {requestId} = wire.readHead(req);
		// The body is read first: closing with unread bytes would reset the connection and lose the refusal.
		req.resume();
		req.once('end', () => {
			requestIds.push(requestId);
			res.setHeader('connection', 'close');
			wire.writeRefusal(res, new RefusalError(VmOverloaded, {}, {retryAfterMs: OVERLOADED_RETRY_MS}), requestId);
		});
	};

	const server = http.createServer({noDelay: true}, refuse);
	server.on('connection', socket => {
		connections.accepted++;
		connections.open.add(socket);
		socket.once('close', () => {
			connections.open.delete(socket);
		});
	});

	/* eslint-disable no-await-in-loop -- one turn after the other */
	const refuseWaiting = async (): Promise<void> => {
		const most = connections.accepted + MOST_AT_ONCE;
		for (let idle = 0; idle < IDLE_TURNS && connections.accepted < most;) {
			const before = connections.accepted;
			await turn();
			idle = connections.accepted === before ? idle + 1 : 0;
		}

		for (let left = END_TURNS; left > 0 && connections.open.size > 0; left--) {
			await turn();
		}
	};

	/** Waits for requests that arrive slowly, unless others wait to be accepted. What was not read may be sent elsewhere. */
	const closeLate = async (): Promise<void> => {
		for (let look = 0; look < LATE_LOOKS && connections.open.size > 0; look++) {
			if (Atomics.wait(flag, 0, 0, LOOK_MS) !== 'timed-out') {
				return;
			}

			await turn();
		}

		for (const socket of connections.open) {
			socket.destroy();
		}
	};

	const report = (): void => {
		const told: OverflowReport = {requestIds};
		requestIds = [];
		parentPort?.postMessage(told);
	};

	Atomics.wait(flag, 0, 0);
	server.listen({fd: descriptor});
	for (;;) {
		Atomics.store(flag, 0, 0);
		await refuseWaiting();
		await closeLate();
		report();
		Atomics.wait(flag, 0, 0);
	}
	/* eslint-enable no-await-in-loop */
};
