/** HTTP calls to the control and admin interfaces of the processes. */
import {request} from 'undici';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {ControlRefused} from './errors-data.js';

/** Posts JSON and returns the JSON response; throws `ControlRefused` unless its status is 200. */
export const postJson = async (url: string, body: unknown): Promise<unknown> => {
	const res = await request(url, {method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json'}});
	const text = await res.body.text();
	if (res.statusCode !== 200) {
		throw new JackdawwoodError(ControlRefused, {url, status: res.statusCode, body: text});
	}

	return JSON.parse(text) as unknown;
};

/** Returns the body of a GET response; undefined unless a response with status 200 arrives within the timeout. */
export const getText = async (url: string, timeoutMs = 1000): Promise<string | undefined> => {
	try {
		const res = await request(url, {signal: AbortSignal.timeout(timeoutMs)});
		const text = await res.body.text();
		return res.statusCode === 200 ? text : undefined;
	} catch {
		return undefined;
	}
};
