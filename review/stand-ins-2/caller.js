/** Requesters on kept channels. Each attempt has its own id; a channel carries one request at a time. */
import http from 'node:http';

let attempts = 0;

/** Creates a requester of one machine. */
export const createCaller = ({host, key, address, channels = 64}) => {
	const agent = new http.Agent({keepAlive: true, maxSockets: channels, timeout: 20_000});
	return {
		/** Sends one attempt; resolves to its end and never rejects. */
		async send({path, method = 'POST', headers = {}, body = 'x'.repeat(200), waitMs = 4000, to = address, onSent}) {
			attempts++;
			const id = `a${process.pid}-${attempts}`;
			const sentMs = performance.now();
			onSent?.(id, sentMs);
			return new Promise(resolve => {
				const end = fields => {
					clearTimeout(timer);
					resolve({
						id, sentMs, endMs: performance.now(), ...fields,
					});
				};

				const req = http.request(`http://${to}${path}`, {
					method, agent, headers: {
						host, 'x-attempt-id': id, 'x-api-key': key, 'x-deadline-ms': String(waitMs), ...headers, ...(method === 'GET' ? {} : {'content-length': String(body.length)}),
					},
				}, res => {
					let text = '';
					res.on('data', chunk => {
						text += chunk;
					});
					res.once('close', () => {
						end({
							status: res.statusCode, headers: res.headers, body: text, isComplete: res.complete,
						});
					});
				});
				const timer = setTimeout(() => {
					req.destroy();
					end({status: 0, fault: 'deadline'});
				}, waitMs);
				req.once('error', err => {
					end({status: 0, fault: err.code ?? err.message});
				});
				req.end(method === 'GET' ? undefined : body);
			});
		},
		close() {
			agent.destroy();
		},
	};
};

/** Headers of a request to a model worker: `shared` tokens that many requests have in common, `own` of this one. */
let prompts = 0;
export const promptHeaders = ({shared = 200, own = 300, out = 20} = {}) => {
	prompts++;
	return {
		'x-model': 'm', 'x-token-count': `${shared + own},${out}`, 'x-prompt-prefix': `5c1e07a2:${shared},${(0x1_00_00 + prompts).toString(16)}:${own}`,
	};
};
