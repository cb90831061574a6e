/** Reads the body of a response, up to a limit. */
import {Buffer} from 'node:buffer';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {ResponseTooLong} from './http-errors-data.js';

/** Reads a body as text. Throws `ResponseTooLong` if it has more than `limit` bytes. */
export const readText = async (body: AsyncIterable<Uint8Array>, limit: number): Promise<string> => {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		chunks.push(chunk);
		size += chunk.length;
		if (size > limit) {
			throw new JackdawwoodError(ResponseTooLong, {limit});
		}
	}

	return Buffer.concat(chunks).toString();
};
