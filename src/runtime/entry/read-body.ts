/** Reads a request body within limits of size and time. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {BadRequest, BodyTooLarge, ReadTimeout} from '../../core/errors/refusals-data.js';
import {type EntryLimits} from './types.js';

/** Resolves to the whole body, or rejects with a typed refusal. */
export const readBody = async (req: IncomingMessage, limits: EntryLimits): Promise<Uint8Array> => new Promise((resolve, reject) => {
	const chunks: Uint8Array[] = [];
	let size = 0;
	let lastRead: NodeJS.Immediate | undefined;
	const settle = (act: () => void) => {
		clearTimeout(timer);
		clearImmediate(lastRead);
		req.removeAllListeners('data');
		act();
	};

	const fail = (err: RefusalError) => {
		settle(() => {
			req.pause();
			reject(err);
		});
	};

	const timer = setTimeout(() => {
		// After a stall, timers come before what has arrived meanwhile.
		lastRead = setImmediate(() => {
			fail(new RefusalError(ReadTimeout, {limit: limits.readTimeoutMs}));
		});
	}, limits.readTimeoutMs);

	if (Number(req.headers['content-length'] ?? 0) > limits.bodyBytes) {
		fail(new RefusalError(BodyTooLarge, {limit: limits.bodyBytes}));
		return;
	}

	req.on('data', (chunk: Uint8Array) => {
		size += chunk.length;
		if (size > limits.bodyBytes) {
			fail(new RefusalError(BodyTooLarge, {limit: limits.bodyBytes}));
			return;
		}

		chunks.push(chunk);
	});
	req.once('end', () => {
		settle(() => {
			resolve(chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks));
		});
	});
	req.once('error', () => {
		fail(new RefusalError(BadRequest, {fault: 'the body broke off'}));
	});
	req.once('close', () => {
		if (!req.complete) {
			fail(new RefusalError(BadRequest, {fault: 'the body broke off'}));
		}
	});
});
