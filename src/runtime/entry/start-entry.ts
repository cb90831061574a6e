/** Starts the HTTP interface of one VM for callers. */
import {randomUUID} from 'node:crypto';
import * as http from 'node:http';
import * as https from 'node:https';
import {type Duplex} from 'node:stream';
import polka from 'polka';
import {createCostEstimator} from '../../core/admission/cost-estimator.js';
import {createTeamLimiter} from '../../core/admission/team-limiter.js';
import {createRetryBudget} from '../../core/attempt/retry-budget.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {
	BadRequest, HeadersTooLarge, ReadTimeout, UnknownRoute,
} from '../../core/errors/refusals-data.js';
import {createInputAge} from '../observe/input-age.js';
import {type AttemptContext} from './attempt-context.js';
import {handleRequest, refuseEarly, type ReadJob} from './handle-request.js';
import {readCompletion, readPlainCall} from './read-job.js';
import {rawRefusal} from './refuse.js';
import {listen} from './listen.js';
import {createServerStop} from './server-stop.js';
import {createTargetPools} from './target-pools.js';
import {type Entry, type EntryLimits, type EntryOptions} from './types.js';

/** Milliseconds between the server's checks for requests that arrive too slowly. */
const SLOW_CHECK_MS = 500;
/** Milliseconds for which an idle connection is kept: longer than load balancers typically keep it, so that they close it first. */
const KEEP_ALIVE_MS = 65_000;
/** Milliseconds between the read timeout and the server's own timeout, so that a slow body gets the refusal `ReadTimeout`. */
const BODY_GRACE_MS = 1000;

const createServer = ({limits, tls}: EntryOptions): http.Server => {
	const options: http.ServerOptions = {
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.readTimeoutMs,
		requestTimeout: limits.readTimeoutMs + BODY_GRACE_MS,
		connectionsCheckingInterval: SLOW_CHECK_MS,
		keepAliveTimeout: KEEP_ALIVE_MS,
	};
	return tls ? https.createServer({...options, ...tls}) : http.createServer(options);
};

const clientErrorRefusal = (err: NodeJS.ErrnoException, limits: EntryLimits): RefusalError => {
	if (err.code === 'HPE_HEADER_OVERFLOW') {
		return new RefusalError(HeadersTooLarge, {limit: limits.headerBytes});
	}

	if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
		return new RefusalError(ReadTimeout, {limit: limits.readTimeoutMs});
	}

	return new RefusalError(BadRequest, {fault: 'it is not HTTP'});
};

/** Sends a refusal for a request that the HTTP parser rejects. */
const onClientError = (err: NodeJS.ErrnoException, socket: Duplex, {limits, metrics, register}: EntryOptions): void => {
	if (err.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const refusal = clientErrorRefusal(err, limits);
	metrics.refusals.inc({reason: refusal.data.name, not_run: 'true'});
	register?.countRefusal(refusal, {});
	socket.end(rawRefusal(refusal, randomUUID()));
};

/** Adds the HTTP routes to the server. */
const addRoutes = (server: http.Server, ctx: AttemptContext, track: (served: Promise<void>) => void): void => {
	const app = polka({
		server,
		onNoMatch(req, res) {
			refuseEarly({req, res, requestId: randomUUID()}, new RefusalError(UnknownRoute, {path: req.path}), ctx);
		},
		onError(err, req, res) {
			refuseEarly({req, res, requestId: randomUUID()}, err, ctx);
		},
	});
	const serve = (readJob: ReadJob) => (req: http.IncomingMessage, res: http.ServerResponse) => {
		track(handleRequest(req, res, readJob, ctx));
	};

	for (const path of ['/v1/completions', '/v1/chat/completions']) {
		app.post(path, serve((head, body) => readCompletion(head, path, body)));
	}

	app.all('/services/:service/*', (req, res) => {
		const [service = '', ...rest] = req.url.split('/').slice(2);
		serve((head, body) => readPlainCall(head, service, `/${rest.join('/')}`, body))(req, res);
	});
	server.on('request', app.handler);
};

/** Returns a function that tells whether the configuration has a target at an address. */
const isTargetIn = ({config}: EntryOptions) => (address: string): boolean =>
	Object.values(config()?.targets ?? {}).some(target => target.address === address);

/** Starts the interface. Rejects when its address cannot be bound. */
export const startEntry = async (options: EntryOptions): Promise<Entry> => {
	const inputAge = createInputAge(options.clock, ageMs => {
		options.metrics.staleInput.observe(ageMs / 1000);
	});
	const ctx: AttemptContext = {
		...options, pools: createTargetPools(isTargetIn(options)), teamLimiter: createTeamLimiter(), retryBudget: createRetryBudget(), estimator: createCostEstimator(), inputAge,
	};
	const server = createServer(options);
	const serving = new Set<Promise<void>>();
	const serverStop = createServerStop(server, options.limits.readTimeoutMs);
	let closed: Promise<void> | undefined;

	const track = (served: Promise<void>) => {
		serving.add(served);
		void served.finally(() => {
			serving.delete(served);
		});
	};

	const stop = async () => {
		await serverStop.stop();
		await Promise.all(serving);
		await ctx.pools.close();
	};

	server.on('clientError', (err, socket) => {
		onClientError(err, socket, options);
	});
	server.on('connection', inputAge.noteInput);
	server.on('request', inputAge.noteInput);
	addRoutes(server, ctx, track);

	return {
		address: await listen(server, options.listen),
		reloadTls(tls) {
			if (server instanceof https.Server) {
				server.setSecureContext(tls);
			}
		},
		leave() {
			serverStop.leave();
		},
		async close() {
			closed ??= stop();
			return closed;
		},
	};
};
