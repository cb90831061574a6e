/** HTTP client for the operators' interface of a router. */
import {type Dispatcher, request} from 'undici';
import * as z from 'zod';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {readText} from '../../runtime/http/read-text.js';
import {RouterAnswerUnknown, RouterUnreachable} from './client-errors-data.js';

/** Address of the router, and the credentials and timeout of calls to it. */
export type RouterAccess = {
	/** Admin address of the router, as IP:PORT. */
	readonly router: string;
	readonly token: string | undefined;
	readonly timeoutMs: number;
};

const cell = z.union([z.string(), z.number(), z.boolean()]);

const queryResponse = z.object({
	table: z.string(),
	columns: z.array(z.string()),
	rows: z.array(z.record(z.string(), cell)),
	missing: z.array(z.object({vm: z.string(), reason: z.string()})),
});

const commandResponse = z.object({
	version: z.number(),
	differences: z.array(z.object({path: z.string(), before: z.string().exactOptional(), after: z.string().exactOptional()})),
	written: z.boolean(),
});

const errorResponse = z.object({
	error: z.object({
		name: z.string(),
		title: z.string(),
		message: z.string(),
		hint: z.string(),
		details: z.record(z.string(), z.union([z.string(), z.number()])),
	}),
});

export type QueryResponse = z.output<typeof queryResponse>;
export type CommandResponse = z.output<typeof commandResponse>;

const STATUS_OK = 200;
/** Largest response in bytes that is read; the table of all targets of a large fleet has some MB. */
const MAX_RESPONSE_BYTES = 67_108_864;

const post = async ({router, token, timeoutMs}: RouterAccess, path: string, body: unknown): Promise<{readonly status: number; readonly text: string}> => {
	try {
		const res: Dispatcher.ResponseData = await request(`http://${router}${path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json', ...(token !== undefined && {authorization: `Bearer ${token}`})},
			body: JSON.stringify(body),
			signal: AbortSignal.timeout(timeoutMs),
		});
		return {status: res.statusCode, text: await readText(res.body, MAX_RESPONSE_BYTES)};
	} catch (error) {
		throw new JackdawwoodError(RouterUnreachable, {router}, error instanceof Error ? error : undefined);
	}
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

const callRouter = async <Schema extends z.ZodType>(access: RouterAccess, path: string, body: unknown, schema: Schema): Promise<z.output<Schema>> => {
	const {status, text} = await post(access, path, body);
	const json = parseJson(text);
	const parsed = schema.safeParse(json);
	if (status === STATUS_OK && parsed.success) {
		return parsed.data;
	}

	const failure = errorResponse.safeParse(json);
	if (status === STATUS_OK || !failure.success) {
		throw new JackdawwoodError(RouterAnswerUnknown, {router: access.router, status});
	}

	const {name, title, message, hint, details} = failure.data.error;
	throw new JackdawwoodError({
		name, title, message: () => message, hint,
	}, details);
};

/** Sends a query. Throws the router's typed error, `RouterUnreachable` or `RouterAnswerUnknown`. */
export const sendQuery = async (access: RouterAccess, text: string): Promise<QueryResponse> =>
	callRouter(access, '/v1/query', {text}, queryResponse);

/** Sends a command. Throws the router's typed error, `RouterUnreachable` or `RouterAnswerUnknown`. */
export const sendCommand = async (access: RouterAccess, command: {readonly text: string; readonly dryRun: boolean; readonly operationId: string}): Promise<CommandResponse> =>
	callRouter(access, '/v1/commands', {text: command.text, dry_run: command.dryRun, operation_id: command.operationId}, commandResponse);
