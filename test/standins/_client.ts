/** HTTP calls to a stand-in, for tests. */
import {type ExecutionContext} from 'ava';
import {Agent, request, type Dispatcher} from 'undici';
import * as z from 'zod';
import {type Standin} from '../../standins/shared/types.js';

type Call = (
	method: 'GET' | 'POST' | 'DELETE',
	path: string,
	body?: unknown,
	headers?: Readonly<Record<string, string>>,
) => Promise<Dispatcher.ResponseData>;

/** Returns a function that calls the stand-in; its connections and the stand-in are closed at the end of the test. */
export const clientOf = (t: ExecutionContext, standin: Standin): Call => {
	const dispatcher = new Agent();
	t.teardown(async () => {
		await dispatcher.destroy();
		await standin.close();
	});
	return async (method, path, body, headers = {}) => request(`http://${standin.address}${path}`, {
		dispatcher, method, headers, ...(body !== undefined && {body: JSON.stringify(body)}),
	});
};

/** Reads a response to its end and discards it. */
export const dump = async (res: Promise<Dispatcher.ResponseData>): Promise<void> => {
	const {body} = await res;
	await body.dump();
};

const recordSchema = z.looseObject({
	instance: z.string(),
	cold: z.boolean(),
	cold_violations: z.number(),
	cold_violations_unwarned: z.number(),
	runs: z.array(z.looseObject({
		request_id: z.string(), business_id: z.string(), outcome: z.string(), cost: z.number(),
	})),
});

/** Returns a target's record: its instance, whether it is cold, the requests beyond its cold limit, and its runs. */
export const recordOf = async (call: Call): Promise<z.output<typeof recordSchema>> => {
	const {body} = await call('GET', '/record');
	return recordSchema.parse(await body.json());
};
