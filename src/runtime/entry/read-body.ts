/** Reads a request body within limits of size and time. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {BadRequest, BodyTooLarge, ReadTimeout} from '../../core/errors/refusals-data.js';
import {type HeldAccount} from '../memory/held-accounts.js';
import {type EntryLimits} from './types.js';

export type HeldBody = {
	readonly account: HeldAccount;
	/** The refusal of a body for which there is no memory. */
	readonly refusal: () => RefusalError;
};

/** Resolves to the whole body, or rejects with a typed refusal. */
export const readBody = async (req: IncomingMessage, limits: EntryLimits, held?: HeldBody): Promise<Uint8Array> => new Promise((resolve, reject) => {
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

		if (held?.account.isFull()) {
			fail(held.refusal());
			return;
		}

		chunks.push(chunk);
		held?.account.set('body', size);
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
