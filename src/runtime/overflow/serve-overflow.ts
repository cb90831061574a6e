/**
 * The overflow thread: accepts the connections that wait when it is woken, refuses one
 * request on each and closes it. Between times it sleeps, so that the router's own loop
 * takes all connections that it can.
 *
 * It never closes its server: that would close the socket that the router listens on.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import {parentPort, workerData} from 'node:worker_threads';
import {OVERLOADED_RETRY_MS} from '../../core/admission/load-shed.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {VmOverloaded} from '../../core/errors/refusals-data.js';
import {type CallerWire} from '../routing/types.js';
import {type OverflowData, type OverflowReport} from './types.js';

/** Milliseconds for which a request may take to arrive before its connection is closed. */
const READ_MS = 100;
/** Turns of the loop without a new connection after which none waits. */
const IDLE_TURNS = 2;
/** Milliseconds between looks while answers are on their way. */
const LOOK_MS = 2;

type Wire = Pick<CallerWire, 'readHead' | 'writeRefusal'>;

/** Serves until the process ends. */
export const serveOverflow = async (wire: Wire): Promise<void> => {
	const {descriptor, signal} = workerData as OverflowData; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- given by `startOverflow`
	const flag = new Int32Array(signal);
	let accepted = 0;
	let open = 0;
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
		accepted++;
		open++;
		socket.setTimeout(READ_MS, () => {
			socket.destroy();
		});
		socket.once('close', () => {
			open--;
		});
	});

	/* eslint-disable no-await-in-loop -- one turn after the other */
	const refuseWaiting = async (): Promise<void> => {
		for (let idle = 0; idle < IDLE_TURNS;) {
			const before = accepted;
			await turn();
			idle = accepted === before ? idle + 1 : 0;
		}

		const endMs = performance.now() + READ_MS;
		while (open > 0 && performance.now() < endMs) { // eslint-disable-line no-unmodified-loop-condition -- connections close meanwhile
			await delay(LOOK_MS);
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
		report();
		Atomics.wait(flag, 0, 0);
	}
	/* eslint-enable no-await-in-loop */
};
