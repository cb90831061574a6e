/** Parses a caller's HTTP request into a job. Throws a `RefusalError` if the request is invalid. */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import * as z from 'zod';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {BadRequest, DeadlinePassed, UnknownService} from '../../core/errors/refusals-data.js';
import {type FleetConfig, type ServiceConfig} from '../../core/config/fleet-config.js';
import {headersForTarget, oneHeader} from './headers.js';
import {type Job} from './job.js';

/** Leading characters of a prompt that are hashed as its prefix. */
const PREFIX_CHARS = 512;
const PREFIX_HASH_BYTES = 6;
const MAX_KEY_CHARS = 200;

const completionSchema = z.looseObject({
	model: z.string(),
	stream: z.boolean().nullish(),
	prompt: z.unknown().optional(),
	messages: z.array(z.unknown()).optional(),
});

/** What is known of a request before its body is parsed. */
export type RequestHead = {
	readonly requestId: string;
	readonly team: string;
	readonly config: FleetConfig;
	readonly method: string;
	readonly headers: IncomingHttpHeaders;
	readonly arrivedMs: number;
};

const badRequest = (fault: string) => new RefusalError(BadRequest, {fault});

const findService = (cfg: FleetConfig, service: string, kind: ServiceConfig['kind']): ServiceConfig => {
	const found = Object.hasOwn(cfg.services, service) ? cfg.services[service] : undefined;
	if (found?.kind !== kind) {
		throw new RefusalError(UnknownService, {service});
	}

	return found;
};

/** Returns the value of a header that holds a number from 0 up, or undefined if the header is absent. */
const numberHeader = (headers: IncomingHttpHeaders, name: string): number | undefined => {
	const text = headers[name];
	const value = Number(text);
	if (text !== undefined && (text === '' || !Number.isFinite(value) || value < 0)) {
		throw badRequest(`${name} is not a number from 0 up`);
	}

	return text === undefined ? undefined : value;
};

const readKey = (headers: IncomingHttpHeaders): string | undefined => {
	const key = oneHeader(headers, 'idempotency-key');
	if (key !== undefined && !/^[\u0021-\u007E]+$/v.test(key)) {
		throw badRequest('idempotency-key holds other than printable ASCII characters');
	}

	if (key !== undefined && key.length > MAX_KEY_CHARS) {
		throw badRequest(`idempotency-key is longer than ${MAX_KEY_CHARS} characters`);
	}

	return key;
};

const startBy = (head: RequestHead, service: ServiceConfig): number => {
	const deadlineMs = numberHeader(head.headers, 'x-deadline-ms');
	if (deadlineMs === 0) {
		throw new RefusalError(DeadlinePassed);
	}

	return head.arrivedMs + (deadlineMs ?? service.maxWaitMs);
};

const commonFields = (head: RequestHead, service: string, serviceConfig: ServiceConfig) => ({
	requestId: head.requestId,
	team: head.team,
	service,
	serviceConfig,
	costHint: numberHeader(head.headers, 'x-cost-hint'),
	idempotencyKey: readKey(head.headers),
	arrivedMs: head.arrivedMs,
	startByMs: startBy(head, serviceConfig),
});

const parseBody = (body: Uint8Array): z.output<typeof completionSchema> => {
	let json: unknown;
	try {
		json = JSON.parse(Buffer.from(body).toString());
	} catch (error) {
		throw new RefusalError(BadRequest, {fault: 'the body is not JSON'}, error instanceof Error ? {cause: error} : {});
	}

	const parsed = completionSchema.safeParse(json);
	if (!parsed.success) {
		throw badRequest(z.prettifyError(parsed.error).replaceAll(/\s+/gv, ' '));
	}

	return parsed.data;
};

/** Returns a hash that is equal for requests to one model whose prompts have the same prefix. */
const hashPrefix = (model: string, prompt: unknown): number => {
	const text = (typeof prompt === 'string' ? prompt : JSON.stringify(prompt ?? '')).slice(0, PREFIX_CHARS);
	return createHash('sha256').update(`${model}\n${text}`).digest().readUIntBE(0, PREFIX_HASH_BYTES);
};

/** Parses a request to a model engine. */
export const readCompletion = (head: RequestHead, path: string, body: Uint8Array): Job => {
	const completion = parseBody(body);
	const serviceConfig = findService(head.config, completion.model, 'model');
	return {
		...commonFields(head, completion.model, serviceConfig),
		mode: completion.stream === true ? 'stream' : 'model',
		prefixHash: hashPrefix(completion.model, completion.messages ?? completion.prompt),
		request: {
			method: 'POST', path, headers: {'content-type': 'application/json'}, body,
		},
	};
};

/** Parses a request to a service without model engines; `path` is the path of the request to the target. */
export const readPlainCall = (head: RequestHead, service: string, path: string, body: Uint8Array): Job => ({
	...commonFields(head, service, findService(head.config, service, 'plain')),
	mode: 'plain',
	prefixHash: undefined,
	request: {
		method: head.method, path, headers: headersForTarget(head.headers), body: body.length > 0 ? body : undefined,
	},
});
