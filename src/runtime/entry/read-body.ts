/** Reads a request's body within limits of size, time and memory. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {BadRequest, BodyTooLarge, ReadTimeout} from '../../core/errors/refusals-data.js';
import {type MemoryAccount} from '../memory/memory-accounts.js';
import {type EntryLimits} from './types.js';

/** The memory accounting of a body. */
export type BodyMemory = {
	readonly account: MemoryAccount;
	/** Creates the refusal of a body for which there is no memory. */
	readonly refusal: () => RefusalError;
};

/** Reads a body. Resolves to the complete body, or rejects with a `RefusalError`. */
export const readBody = async (req: IncomingMessage, limits: EntryLimits, memory?: BodyMemory): Promise<Uint8Array> => new Promise((resolve, reject) => {
	const chunks: Uint8Array[] = [];
	/** Buffer for a body of known length: chunks are copied into it, so that they become garbage at once. */
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
		// After a pause of the process, timers run before data that arrived meanwhile is read. So the refusal waits until that data has been read.
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
