/** Handles one caller's request from its headers to the end of its response. */
import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {NotReady} from '../../core/errors/refusals-data.js';
import {type RefusedRequest} from '../observe/request-register.js';
import {asRefusal} from './as-refusal.js';
import {type AttemptContext} from './attempt-context.js';
import {runAttempt} from './attempt-task.js';
import {authenticate} from './authenticate.js';
import {createCallerResponse} from './caller-response.js';
import {type Job} from './job.js';
import {readBody} from './read-body.js';
import {type RequestHead} from './read-job.js';
import {type EntryLimits} from './types.js';

/** Creates the job of a request whose body has been read. Throws a refusal if the request is invalid. */
export type ReadJob = (head: RequestHead, body: Uint8Array) => Job;

const NOT_READY_RETRY_MS = 1000;
/** Largest body that is read and discarded, as a multiple of the largest accepted one. */
const MAX_DISCARDED_BODIES = 4;

const readHead = (req: IncomingMessage, requestId: string, ctx: AttemptContext): RequestHead => {
	const config = ctx.config();
	if (!config) {
		throw new RefusalError(NotReady, {}, {retryAfterMs: NOT_READY_RETRY_MS});
	}

	return {
		requestId,
		config,
		team: authenticate(config, req.headers.authorization),
		method: req.method ?? 'GET',
		headers: req.headers,
		arrivedMs: ctx.clock.nowMs(),
	};
};

/** One HTTP exchange with a caller. */
type Exchange = {readonly req: IncomingMessage; readonly res: ServerResponse; readonly requestId: string};

/** Serves a request whose team is below its limit of open requests: admits it to the team's queue and runs it. */
const serveJob = async ({req, res, requestId}: Exchange, job: Job, maxQueued: number, ctx: AttemptContext): Promise<void> => {
	try {
		ctx.teamLimiter.enqueue(job.team, maxQueued, ctx.clock.nowMs());
		await runAttempt(job, createCallerResponse(res, requestId), ctx);
	} catch (error) {
		refuseEarly({req, res, requestId}, error, ctx, job);
	} finally {
		ctx.register?.remove(requestId);
	}
};

const serve = async (exchange: Exchange, readJob: ReadJob, ctx: AttemptContext): Promise<void> => {
	const head = readHead(exchange.req, exchange.requestId, ctx);
	const {team} = head;
	try {
		ctx.teamLimiter.open(team, ctx.limits.connectionsPerTeam, head.arrivedMs);
	} catch (error) {
		refuseEarly(exchange, error, ctx, {team});
		return;
	}

	ctx.metrics.openRequests.inc();
	try {
		const job = readJob(head, await readBody(exchange.req, ctx.limits));
		await serveJob(exchange, job, head.config.teams[team]?.maxQueued ?? 0, ctx);
	} catch (error) {
		refuseEarly(exchange, error, ctx, {team});
	} finally {
		ctx.teamLimiter.close(team, ctx.clock.nowMs());
		ctx.metrics.openRequests.dec();
	}
};

/**
 * Reads and discards the rest of a refused request's body, unless it is too large. If the
 * connection were closed while the caller is still sending, the caller could lose the refusal.
 */
const discardBody = (req: IncomingMessage, res: ServerResponse, limits: EntryLimits): void => {
	if (req.complete) {
		return;
	}

	if (Number(req.headers['content-length'] ?? 0) <= limits.bodyBytes * MAX_DISCARDED_BODIES) {
		req.resume();
	} else {
		res.setHeader('connection', 'close');
	}
};

/** Refuses a request for which no attempt was started and which was therefore not executed. */
export const refuseEarly = (
	{req, res, requestId}: Exchange,
	err: unknown,
	ctx: Pick<AttemptContext, 'metrics' | 'register' | 'log' | 'limits'>,
	request: RefusedRequest = {},
): void => {
	const refusal = asRefusal(err);
	ctx.metrics.refusals.inc({reason: refusal.data.name, not_run: 'true'});
	ctx.register?.countRefusal(refusal, request);
	ctx.log.info('request refused', {request_id: requestId, reason: refusal.data.name, fault: refusal.message});
	if (res.headersSent) {
		res.destroy();
		return;
	}

	discardBody(req, res, ctx.limits);
	createCallerResponse(res, requestId).refuse(refusal);
};

/** Handles one request. Never rejects. */
export const handleRequest = async (req: IncomingMessage, res: ServerResponse, readJob: ReadJob, ctx: AttemptContext): Promise<void> => {
	const exchange = {req, res, requestId: randomUUID()};
	try {
		await serve(exchange, readJob, ctx);
	} catch (error) {
		refuseEarly(exchange, error, ctx);
	}
};
