/* eslint-disable camelcase -- the users' protocol and settings write names this way */
/**
 * Stand-in of a worker as PROTOCOL.md describes it. It answers with a stream of events or a plain body, echoes the
 * attempt id, gives a receipt, tells its load, and answers 421 to a request that expects another instance.
 */
import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listen, readAll} from './net.js';

let runs = 0;

/**
 * Starts a worker.
 *
 * @param onArrival - Called with each request that the worker begins to run.
 */
export const startWorker = async ({
	id, service, zone, slots = 64, isStream = true, firstMs = 30, events = 10, gapMs = 30, workMs = 60, onArrival = () => undefined, respond,
}) => {
	let sequence = 0;
	let running = 0;
	const bornMs = Date.now();
	const open = new Set();
	const worker = {
		id, service, zone, isLeaving: false, arrivals: [],
	};

	const headersOf = req => ({
		'x-attempt-id': req.headers['x-attempt-id'] ?? '',
		'x-server-stamp': `${id}.${++runs}`,
		'x-instance-load': `${running},0,${slots}`,
		'keep-alive': 'timeout=10',
		...(worker.isLeaving && {'server-leaving': '1'}),
	});

	const stream = async (req, res) => {
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		await delay(firstMs);
		res.writeHead(200, {...headersOf(req), 'content-type': 'text/event-stream'});
		for (let number = first; number <= events && !res.destroyed; number++) {
			res.write(`id: ${number}\ndata: ${id} ${number}\n\n`);
			await delay(gapMs); // eslint-disable-line no-await-in-loop
		}

		res.end();
	};

	const serve = async (req, res) => {
		const body = await readAll(req).catch(() => undefined);
		if (body === undefined) {
			return;
		}

		const expected = req.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			res.writeHead(421, {'x-attempt-id': req.headers['x-attempt-id'] ?? '', 'x-instance-id': id, 'x-not-executed': '1'}).end();
			return;
		}

		const arrival = {atMs: performance.now(), id: req.headers['x-attempt-id'], path: req.url};
		worker.arrivals.push(arrival);
		onArrival(worker, arrival, req);
		running++;
		res.once('close', () => {
			running--;
		});
		if (respond) {
			await respond(req, res, headersOf(req), worker);
		} else if (isStream) {
			await stream(req, res);
		} else {
			await delay(workMs);
			res.writeHead(200, headersOf(req)).end(`done by ${id}`);
		}
	};

	const server = http.createServer({keepAliveTimeout: 10_000}, (req, res) => {
		serve(req, res);
	});
	server.on('connection', socket => {
		open.add(socket);
		socket.once('close', () => {
			open.delete(socket);
		});
	});
	const address = await listen(server);
	return Object.assign(worker, {
		address,
		/** Returns what the worker writes to the store now. */
		entry(changes = {}) {
			sequence++;
			return {
				service, address, zone, version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, sequence, born: bornMs, ...changes,
			};
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
		resetAll() {
			for (const socket of open) {
				socket.resetAndDestroy();
			}
		},
	});
};
