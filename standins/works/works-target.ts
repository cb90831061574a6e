/** Stand-in of a target on the platform whose protocols `platform/` implements; responds with event streams or plain bodies. */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {buffer} from 'node:stream/consumers';
import {listen} from '../../src/runtime/entry/listen.js';

/** Fault that the target injects into its response to a request. */
export type TargetFault =
	| 'decline'
	| 'other-process'
	| 'error'
	| 'reset'
	| 'break-stream'
	| 'pause-stream'
	| 'reset-without-length'
	| 'reset-with-last-bytes'
	| 'silent'
	| 'crossed-decline'
	| 'leaving'
	| 'decline-for-seconds'
	| 'endless-decline'
	| 'endless-event'
	| 'endless-drip';

/** A request that the target received. */
export type Arrival = {
	readonly method: string;
	readonly path: string;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
	/** Whether the target executed the request. */
	readonly ran: boolean;
};

/** Writes a response; the request has been read. */
export type Responder = (req: IncomingMessage, res: ServerResponse, headers: http.OutgoingHttpHeaders) => void;

export type WorksTarget = {
	readonly id: string;
	readonly address: string;
	readonly arrivals: () => readonly Arrival[];
	/** Returns the number of requests whose connection was closed before the end of the response. */
	readonly cancelled: () => number;
	/** Adds faults for the next requests, in order. */
	readonly injectFaults: (...faults: readonly TargetFault[]) => void;
	/** Answers the next request that has no fault with this function, in order. The headers are those of a proper response. */
	readonly answerNextWith: (...responders: readonly Responder[]) => void;
	/** Delays each further response by this many milliseconds. */
	readonly delayResponses: (byMs: number) => void;
	/** Makes this share of the further requests fail, evenly spread. */
	readonly setFailureShare: (share: number) => void;
	readonly close: () => Promise<void>;
};

export type WorksTargetOptions = {
	readonly id: string;
	readonly stream: boolean;
	/** Number of events of a stream. */
	readonly events?: number;
	/** Milliseconds between two events. */
	readonly gapMs?: number;
	/** Whether the end of a stream is that of its connection, without chunks. */
	readonly endsByClose?: boolean;
	readonly crash?: TargetCrash;
};

/** Most bytes of a request's headers, above the limits that tests set for callers. */
const MAX_HEADER_BYTES = 262_144;
/** Requests that end the target's process once it has begun to answer them. */
export type TargetCrash = {
	/** Whether a request with these headers ends the process. */
	readonly isFatal: (headers: http.IncomingHttpHeaders) => boolean;
	/** Number of events that the request gets before. */
	readonly afterEvents: number;
	/** Called once, when all connections are closed and no new ones are accepted. */
	readonly onCrash: () => void;
};

const BREAK_AFTER_EVENTS = 3;
/** Milliseconds of a pause in a stream, longer than a router waits before it resumes the stream at another target. */
const PAUSE_MS = 2500;

const ENDLESS_CHUNK = Buffer.alloc(65_536, 'x');
const ONE_BYTE = Buffer.from('x');
/** Milliseconds between the bytes of an event that never ends. */
const DRIP_MS = 200;

/** Starts the target stand-in on loopback. */
export const startWorksTarget = async ({id, stream, events = 8, gapMs = 5, endsByClose = false, crash}: WorksTargetOptions): Promise<WorksTarget> => {
	const arrivals: Arrival[] = [];
	const faults: TargetFault[] = [];
	const responders: Responder[] = [];
	let cancelled = 0;
	let responseDelayMs = 0;
	let failureShare = 0;
	/** Sum of the failure shares of past requests, less the requests that failed; a request fails as soon as it reaches 1. */
	let failureCredit = 0;

	const headersOf = (req: IncomingMessage, fault: TargetFault | undefined): http.OutgoingHttpHeaders => ({
		'x-attempt-id': fault === 'crossed-decline' ? 'of-another-request' : req.headers['x-attempt-id'],
		'x-server-stamp': `${id}.1`,
		'x-instance-load': '1,0,8',
		'keep-alive': 'timeout=10',
		...(fault === 'leaving' && {'server-leaving': '1'}),
	});

	let hasCrashed = false;
	const endProcess = (): void => {
		if (!hasCrashed) {
			hasCrashed = true;
			server.close();
			server.closeAllConnections();
			crash?.onCrash();
		}
	};

	const sendEvents = async (req: IncomingMessage, res: ServerResponse, fault: TargetFault | undefined): Promise<void> => {
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		const isFatal = crash?.isFatal(req.headers) === true;
		if (endsByClose) {
			res.useChunkedEncodingByDefault = false;
			res.shouldKeepAlive = false;
		}

		res.writeHead(200, {...headersOf(req, fault), 'content-type': 'text/event-stream'});
		for (let event = first; event <= events; event++) {
			if (isFatal && event === first + (crash?.afterEvents ?? 0)) {
				await delay(gapMs); // eslint-disable-line no-await-in-loop
				endProcess();
				return;
			}

			if (fault === 'break-stream' && first === 1 && event === first + BREAK_AFTER_EVENTS) {
				res.write(`id: ${event}\ndata: bro`);
				// Gives the incomplete event time to arrive.
				await delay(gapMs); // eslint-disable-line no-await-in-loop
				req.socket.resetAndDestroy();
				return;
			}

			if (fault === 'pause-stream' && event === first + BREAK_AFTER_EVENTS) {
				await delay(PAUSE_MS); // eslint-disable-line no-await-in-loop
			}

			res.write(`id: ${event}\ndata: word ${event}\n\n`);
			await delay(gapMs); // eslint-disable-line no-await-in-loop
		}

		res.end();
	};

	/** Writes `bytes` every `everyMs`, unless the receiver is slower, until it closes the connection. */
	const writeForever = (res: ServerResponse, bytes: Uint8Array, everyMs: number): void => {
		const timer = setInterval(() => {
			if (res.destroyed) {
				clearInterval(timer);
			} else if (!res.writableNeedDrain) {
				res.write(bytes);
			}
		}, everyMs);
	};

	const fail = (req: IncomingMessage, res: ServerResponse, fault: TargetFault | undefined): boolean => {
		switch (fault) {
			case 'decline':
			case 'crossed-decline': {
				res.writeHead(503, {...headersOf(req, fault), 'x-not-executed': '1'}).end();
				return true;
			}

			case 'decline-for-seconds': {
				res.writeHead(503, {...headersOf(req, fault), 'x-not-executed': '1', 'retry-after': '1.5'}).end();
				return true;
			}

			case 'endless-decline': {
				res.writeHead(503, {...headersOf(req, fault), 'x-not-executed': '1'});
				writeForever(res, ENDLESS_CHUNK, 1);
				return true;
			}

			case 'endless-event':
			case 'endless-drip': {
				res.writeHead(200, {...headersOf(req, fault), 'content-type': 'text/event-stream'});
				res.write('id: 1\ndata: ');
				writeForever(res, fault === 'endless-event' ? ENDLESS_CHUNK : ONE_BYTE, fault === 'endless-event' ? 1 : DRIP_MS);
				return true;
			}

			case 'other-process': {
				res.writeHead(421, headersOf(req, fault)).end();
				return true;
			}

			case 'error': {
				res.writeHead(500, headersOf(req, fault)).end('failed');
				return true;
			}

			case 'reset': {
				req.socket.resetAndDestroy();
				return true;
			}

			case 'reset-without-length':
			case 'reset-with-last-bytes': {
				req.socket.write(`HTTP/1.1 200 OK\r\nx-attempt-id: ${String(req.headers['x-attempt-id'])}\r\nx-server-stamp: ${id}.1\r\n\r\nhalf`);
				if (fault === 'reset-with-last-bytes') {
					req.socket.resetAndDestroy();
				} else {
					setTimeout(() => {
						req.socket.resetAndDestroy();
					}, gapMs);
				}

				return true;
			}

			case 'silent': {
				return true;
			}

			case 'break-stream':
			case 'pause-stream':
			case 'leaving':
			case undefined: {
				return false;
			}
		}
	};

	const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const body = await buffer(req);
		failureCredit += failureShare;
		const isFailing = failureCredit >= 1;
		failureCredit -= isFailing ? 1 : 0;
		const fault = faults.shift() ?? (isFailing ? 'error' : undefined);
		const ran = fault !== 'decline' && fault !== 'decline-for-seconds' && fault !== 'endless-decline' && fault !== 'crossed-decline' && fault !== 'other-process';
		arrivals.push({
			method: req.method ?? '', path: req.url ?? '', headers: req.headers, body: body.toString(), ran,
		});
		res.once('close', () => {
			if (!res.writableFinished) {
				cancelled++;
			}
		});
		const respond = fault === undefined ? responders.shift() : undefined;
		if (respond) {
			respond(req, res, headersOf(req, fault));
			return;
		}

		if (fail(req, res, fault)) {
			return;
		}

		if (responseDelayMs > 0) {
			await delay(responseDelayMs);
		}

		if (stream) {
			await sendEvents(req, res, fault);
		} else {
			res.writeHead(200, headersOf(req, fault)).end(`done by ${id}`);
		}
	};

	const server = http.createServer({maxHeaderSize: MAX_HEADER_BYTES}, (req, res) => {
		void serve(req, res);
	});
	const address = await listen(server, {host: '127.0.0.1', port: 0});

	return {
		id,
		address,
		arrivals: () => arrivals,
		cancelled: () => cancelled,
		injectFaults(...next) {
			faults.push(...next);
		},
		answerNextWith(...next) {
			responders.push(...next);
		},
		delayResponses(byMs) {
			responseDelayMs = byMs;
		},
		setFailureShare(share) {
			failureShare = share;
		},
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
};
