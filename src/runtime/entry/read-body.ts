/** Reads a request body within limits of size and time. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {BadRequest, BodyTooLarge, ReadTimeout} from '../../core/errors/refusals-data.js';
import {type MemoryAccount} from '../memory/memory-accounts.js';
import {type EntryLimits} from './types.js';

export type BodyMemory = {
	readonly account: MemoryAccount;
	/** The refusal of a body for which there is no memory. */
	readonly refusal: () => RefusalError;
};

/** Resolves to the whole body, or rejects with a typed refusal. */
export const readBody = async (req: IncomingMessage, limits: EntryLimits, memory?: BodyMemory): Promise<Uint8Array> => new Promise((resolve, reject) => {
	const chunks: Uint8Array[] = [];
	/** A body of known length is gathered in place, so that its parts are garbage at once. */
	let wholeBody: Uint8Array | undefined;
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

	const declared = Number(req.headers['content-length'] ?? 0);
	if (memory && !memory.account.mayHold(declared, declared)) {
		fail(memory.refusal());
		return;
	}

	req.on('data', (chunk: Uint8Array) => {
		size += chunk.length;
		if (size > limits.bodyBytes) {
			fail(new RefusalError(BodyTooLarge, {limit: limits.bodyBytes}));
			return;
		}

		if (declared === 0 || chunk.length === declared) {
			chunks.push(chunk);
		} else {
			wholeBody ??= Buffer.allocUnsafeSlow(declared);
			wholeBody.set(chunk, size - chunk.length);
		}

		memory?.account.set('body', size);
		memory?.account.recordRead(chunk.length);
		if (memory && !memory.account.mayHold(size)) {
			chunks.length = 0;
			wholeBody = undefined;
			memory.account.set('body', 0);
			fail(memory.refusal());
		}
	});
	req.once('end', () => {
		settle(() => {
			resolve(wholeBody ?? (chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks)));
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
