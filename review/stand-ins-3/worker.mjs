/** A stand-in of a worker: registers itself, answers liveness checks and reports, and hands requests to the case. */
/* eslint-disable camelcase -- names of the platform's protocol */
import {Buffer} from 'node:buffer';
import http from 'node:http';

const IDLE_MS = 5000;

/** Headers of a worker's own answer. */
export const answerHeaders = (req, more = {}) => ({'x-attempt-id': req.headers['x-attempt-id'], 'x-server-stamp': `stamp.${req.headers['x-attempt-id']}`, ...more});

export const sendAnswer = (req, res, text) => {
	res.writeHead(200, answerHeaders(req, {'content-length': Buffer.byteLength(text)}));
	res.end(text);
};

/** Starts a worker. `handle(req, res)` is called when it begins to work on a request whose body has arrived. */
export const startWorker = async (store, {id, service, zone, slots, handle, note = () => undefined}) => {
	const bornMs = Date.now();
	const runs = [];
	const server = http.createServer(async (req, res) => {
		if (req.url === '/healthz') {
			res.writeHead(200, {'x-instance-id': id, 'x-instance-load': `0,0,${slots}`});
			res.end();
			return;
		}

		const attemptId = req.headers['x-attempt-id'];
		if (req.headers['x-expect-instance'] !== id) {
			res.writeHead(421, {'x-instance-id': id, 'x-attempt-id': attemptId});
			res.end();
			return;
		}

		runs.push({attemptId, atMs: Date.now()});
		note(`worker ${id} runs ${attemptId} for tenant ${req.headers['x-tenant']}`);
		try {
			let bytes = 0;
			for await (const chunk of req) {
				bytes += chunk.length;
			}

			await handle(req, res, bytes);
		} catch (error) {
			note(`worker ${id} lost ${attemptId}: ${error.code ?? error.message}`);
		}
	});
	server.keepAliveTimeout = IDLE_MS;
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	let sequence = 0;
	const report = state => {
		sequence++;
		store.put('servers', id, {
			service, address: `127.0.0.1:${server.address().port}`, zone, version: 'v1', slots, state, cold_remaining_ms: 0, sequence, born: bornMs,
			stage: 'prefill_decode', models: [{name: 'm', version: 1, adapters: []}],
		});
	};

	report('ready');
	return {
		id, runs, report, hasRun: attemptId => runs.some(run => run.attemptId === attemptId),
	};
};
