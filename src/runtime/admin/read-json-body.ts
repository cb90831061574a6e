/** Reads the JSON body of a call, up to a size limit. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import type * as z from 'zod';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {AdminBodyInvalid, AdminBodyTooLarge} from './admin-errors-data.js';

const BODY_LIMIT_BYTES = 16_384;

const readText = async (req: IncomingMessage): Promise<string> => {
	req.setEncoding('utf8');
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of req.iterator({destroyOnReturn: false})) {
		const bytes = Buffer.from(String(chunk));
		length += bytes.length;
		if (length > BODY_LIMIT_BYTES) {
			throw new JackdawwoodError(AdminBodyTooLarge, {limit: BODY_LIMIT_BYTES});
		}

		chunks.push(bytes);
	}

	return Buffer.concat(chunks).toString('utf8');
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new JackdawwoodError(AdminBodyInvalid, {fault: 'not JSON'}, error instanceof Error ? error : undefined);
	}
};

/** Reads a body and checks it against the schema. Throws `AdminBodyInvalid` or `AdminBodyTooLarge`. */
export const readJsonBody = async <Schema extends z.ZodType>(req: IncomingMessage, schema: Schema): Promise<z.output<Schema>> => {
	const checked = schema.safeParse(parseJson(await readText(req)));
	if (!checked.success) {
		throw new JackdawwoodError(AdminBodyInvalid, {fault: checked.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')});
	}

	return checked.data;
};
