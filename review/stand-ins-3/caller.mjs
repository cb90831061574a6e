/** Requesters: one attempt at a time, each with an id of its own. */
import {Buffer} from 'node:buffer';
import http from 'node:http';

export const HOST = 'ficu95.example';
export const KEY = 'asnmgkcuyj8pjbvk9m68';

/** A channel that is kept for many requests. */
export const keptChannel = () => new http.Agent({keepAlive: true, maxSockets: 1});

/**
 * Sends one attempt. Resolves with what the requester saw: `status`, `text` and `isComplete`, or the `fault` of its
 * channel. The requester leaves at its time limit.
 */
export const attempt = async ({ip, port}, {
	id, path, method = 'POST', deadlineMs, key = KEY, headers = {}, agent = false, writeBody,
}) => new Promise(resolve => {
	const sentMs = Date.now();
	let status;
	let text = '';
	const settle = more => {
		clearTimeout(timer);
		resolve({
			id, sentMs, tookMs: Date.now() - sentMs, status, text, isComplete: false, ...more,
		});
	};

	const req = http.request({
		host: ip, port, path, method, agent, headers: {
			host: HOST, 'x-attempt-id': id, 'x-api-key': key, 'x-deadline-ms': String(deadlineMs), ...headers,
		},
	}, res => {
		status = res.statusCode;
		const chunks = [];
		res.on('data', chunk => {
			chunks.push(chunk);
		});
		res.once('close', () => {
			text = Buffer.concat(chunks).toString();
			settle({isComplete: res.complete, ...(!res.complete && {fault: 'the answer broke off'})});
		});
		res.on('error', () => undefined);
	});
	const timer = setTimeout(() => {
		settle({hasLeft: true});
		req.destroy();
	}, deadlineMs);
	req.on('error', error => {
		settle({fault: error.code ?? error.message});
	});
	if (writeBody) {
		writeBody(req);
	} else {
		req.end(method === 'GET' ? undefined : '{"amount":450}');
	}
});

/** Headers of a request to a model worker. */
export const promptHeaders = id => ({'x-model': 'm', 'x-token-count': '1460,80', 'x-prompt-prefix': `5c1e07a2:800,91bd3f06:410,${id}:250`});
