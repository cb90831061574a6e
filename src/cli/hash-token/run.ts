/** `jackdawwood hash-token`: prints the hash of a token, which the fleet configuration stores. */
import {createHash} from 'node:crypto';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {TokenMissing} from '../client/client-errors-data.js';
import {type ClientIo} from '../client/client-io.js';
import {EXIT_OK} from '../exit-codes.js';

const firstLine = async (lines: AsyncIterable<string>): Promise<string> => {
	const first = await lines[Symbol.asyncIterator]().next();
	return first.done ? '' : first.value.trim();
};

/** Reads the token from standard input, because arguments are visible in process lists. */
export const hashToken = async ({json}: {readonly json: boolean}, io: ClientIo): Promise<number> => {
	const token = await firstLine(io.lines());
	if (token === '') {
		throw new JackdawwoodError(TokenMissing);
	}

	const hash = createHash('sha256').update(token).digest('hex');
	io.write(json ? `${JSON.stringify({hash})}\n` : `${hash}\n`);
	return EXIT_OK;
};
