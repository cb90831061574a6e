/* eslint camelcase: off -- names of the platform's messages */
/** Stand-in of a worker: registers itself in the store, rejects requests for other instances, and answers as the case tells it. */
import {once} from 'node:events';
import http from 'node:http';
import {buffer} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';

const HEARTBEAT_MS = 1200;
/** Heartbeats of silence after which the store removes an entry. */
const EXPIRY_HEARTBEATS = 3;

/**
 * Starts a worker.
 *
 * @param respond - Answers a request that has been read: `respond(req, res, head)`, where `head` holds the headers of a proper answer.
 */
export const startWorker = async ({id, service, zone, store, record, respond, slots = 64}) => {
	let sequence = 1;
	let running = 0;
	const born = Date.now();
	const serve = async (req, res) => {
		const attempt = req.headers['x-attempt-id'];
		if (req.url === '/healthz') {
			res.writeHead(200, {'x-instance-id': id, 'x-instance-load': `${running},0,${slots}`}).end();
			return;
		}

		const head = {'x-attempt-id': attempt, 'x-server-stamp': `${id}.${attempt}`, 'x-instance-load': `${running},0,${slots}`};
		await buffer(req);
		const expected = req.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			res.writeHead(421, {'x-attempt-id': attempt, 'x-instance-id': id}).end();
			return;
		}

		running++;
		res.once('close', () => {
			running--;
		});
		record('run', {worker: id, request: attempt, path: req.url});
		await respond(req, res, head);
	};

	const server = http.createServer(serve);
	server.keepAliveTimeout = 10_000;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const entry = () => ({
		service, address: `127.0.0.1:${server.address().port}`, zone, version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, sequence, born,
	});
	store.put('servers', id, entry());
	let isCut = false;
	const timer = setInterval(() => {
		if (!isCut) {
			sequence++;
			store.beat(id, entry());
		}
	}, HEARTBEAT_MS);
	return {
		id,
		/** Writes the whole entry again. */
		announce() {
			sequence++;
			store.put('servers', id, entry());
		},
		/** Cuts the worker off from the store for a time that its entry doesn't outlive; callers and machines still reach it. */
		async cutFromStore(forMs) {
			isCut = true;
			record('worker cut off from the store', {worker: id});
			await delay(EXPIRY_HEARTBEATS * HEARTBEAT_MS);
			store.drop('servers', id);
			record('entry expired', {worker: id});
			await delay(forMs - (EXPIRY_HEARTBEATS * HEARTBEAT_MS));
			isCut = false;
			sequence++;
			store.put('servers', id, entry());
			record('entry is back', {worker: id, state: 'ready'});
		},
		close() {
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
};
