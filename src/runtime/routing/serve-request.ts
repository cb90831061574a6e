/** Serves one routed request from its headers to the end of its response. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type AdmissionControl} from '../../core/admission/admission-control.js';
import {type LoadShedder} from '../../core/admission/load-shedder.js';
import {type RefusalSummary} from '../../core/admission/refusal-summary.js';
import {retryDelayMs} from '../../core/admission/retry-delay.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {TooManyRequests, VmOverloaded} from '../../core/errors/refusals-data.js';
import {memoryRefusal} from '../../core/memory/memory-refusal.js';
import {type MemoryAccounts} from '../memory/memory-accounts.js';
import {asRefusal} from '../entry/as-refusal.js';
import {type AttemptContext} from '../entry/attempt-context.js';
import {runAttempt} from '../entry/attempt-task.js';
import {createCallerResponse, type CallerResponse} from '../entry/caller-response.js';
import {waitForSocketReads} from '../entry/wait-for-socket-reads.js';
import {refuseAtOnce} from '../entry/quick-refusal.js';
import {readBody} from '../entry/read-body.js';
import {checkHeaders} from './caller-limits.js';
import {createJob, routeRequest} from './route-request.js';
import {type FleetView} from './fleet-view.js';
import {type CallerWire, type RoutedRequestHead} from './types.js';

/** Retry-After, in milliseconds, for a team that has too many open requests. */
const TOO_MANY_RETRY_MS = 1000;

export type ServeContext = {
	readonly view: FleetView;
	readonly wire: CallerWire;
	readonly attempts: AttemptContext;
	readonly random: () => number;
	/** Admits requests by CPU time; used if the VM's share of a processor is known. */
	readonly admissionControl: AdmissionControl;
	/** Admits requests by the delay of timers; used if that share is unknown. */
	readonly loadShedder: LoadShedder;
	/** Collects the refusals that are logged as one summary. */
	readonly refusals: RefusalSummary;
	readonly memoryAccounts: MemoryAccounts;
	/** Whether data or disconnects of callers may have arrived that this process has not read yet. */
	readonly hasUnreadInput: () => boolean;
};

type Exchange = {readonly req: IncomingMessage; readonly callerResponse: CallerResponse; readonly head: RoutedRequestHead};

/** Returns the path without the query, which may hold secrets that must not be logged. */
const pathOf = (req: IncomingMessage): string => (req.url ?? '/').split('?', 1)[0] ?? '/';

const refuse = ({req, callerResponse, head}: Exchange, err: unknown, {attempts: {log, metrics}}: ServeContext): void => {
	const refusal = asRefusal(err);
	metrics.refusals.inc({reason: refusal.data.name, not_run: String(refusal.notRun)});
	log.info('request refused', {
		request_id: head.requestId, reason: refusal.data.name, fault: refusal.message, host: head.host, path: pathOf(req),
	});
	req.on('data', ({length}: Uint8Array) => {
		callerResponse.account.recordRead(length);
	});
	req.resume();
	callerResponse.refuse(refusal);
};

/** Connections that have delivered a request. */
const seenSockets = new WeakSet<Socket>();

/** Whether a request is the first of its connection. Its caller may have disconnected while the connection was in the accept queue. */
const isFirstRequestOf = (socket: Socket): boolean => {
	const isFirst = !seenSockets.has(socket);
	seenSockets.add(socket);
	return isFirst;
};

/** Team of requests whose key is missing or unknown. */
const NO_TEAM = '';

/** Refuses a request because this VM is overloaded, without routing it or reading its body. */
const refuseOverloaded = (
	{req, res, head}: {readonly req: IncomingMessage; readonly res: ServerResponse; readonly head: RoutedRequestHead},
	{team, nowMs}: {readonly team: string; readonly nowMs: number},
	ctx: ServeContext,
): void => {
	const {wire, attempts: {metrics}, admissionControl, loadShedder, refusals, random} = ctx;
	const retryAfterMs = retryDelayMs(admissionControl.hasBudget ? admissionControl.refusedShare() : loadShedder.refusedShare(), head.callerTimeoutMs, random);
	metrics.refusals.inc({reason: VmOverloaded.name, not_run: 'true'});
	refusals.add({reason: VmOverloaded.name, team, requestId: head.requestId}, nowMs);
	refuseAtOnce(req, res, wire.overloadedResponse(head.requestId, retryAfterMs));
};

/** Serves one request; never rejects. */
export const serveRequest = async (req: IncomingMessage, res: ServerResponse, ctx: ServeContext): Promise<void> => {
	const {view, wire, attempts, random, admissionControl, loadShedder, memoryAccounts, hasUnreadInput} = ctx;
	const arrivedMs = attempts.clock.nowMs();
	const head = wire.readHead(req);
	const senderTeam = view.activeConfig()?.config.teamsByKey?.get(head.key ?? '') ?? NO_TEAM;
	const isAdmitted = admissionControl.hasBudget ? admissionControl.admit(senderTeam, arrivedMs) : loadShedder.admit(senderTeam, arrivedMs);
	if (!isAdmitted) {
		refuseOverloaded({req, res, head}, {team: senderTeam, nowMs: arrivedMs}, ctx);
		return;
	}

	const account = memoryAccounts.open(head.requestId);
	let isClosed = false;
	res.once('close', () => {
		isClosed = true;
	});
	const callerResponse = createCallerResponse(res, head.requestId, {
		headers: {},
		writeRefusal(response, err) {
			wire.writeRefusal(response, err, head.requestId);
		},
	}, account);
	attempts.metrics.openRequests.inc();
	try {
		const limits = {...attempts.limits, ...view.activeConfig()?.config.limits};
		checkHeaders(req, limits);
		const routed = routeRequest(view, head, pathOf(req));
		const body = await readBody(req, limits, {account, refusal: () => memoryRefusal(random, head.callerTimeoutMs)});
		if (!account.mayHold(body.length)) {
			throw memoryRefusal(random, head.callerTimeoutMs);
		}

		// A disconnect of the caller may have arrived together with its request. It has to be read before the request is sent to a target.
		if (hasUnreadInput() || isFirstRequestOf(req.socket)) {
			await waitForSocketReads();
		}

		const job = createJob(req, {
			head, routed, body, arrivedMs,
		}, {wire, random});
		if (attempts.teamLimiter.queued(job.team) >= attempts.limits.connectionsPerTeam) {
			throw new RefusalError(TooManyRequests, {limit: attempts.limits.connectionsPerTeam}, {retryAfterMs: TOO_MANY_RETRY_MS});
		}

		attempts.teamLimiter.requeue(job.team);
		await runAttempt(job, callerResponse, attempts);
	} catch (error) {
		refuse({req, callerResponse, head}, error, ctx);
	} finally {
		account.set('body', 0);
		account.set('collected', 0);
		if (isClosed) {
			account.close();
		} else {
			res.once('close', account.close);
		}

		attempts.metrics.openRequests.dec();
	}
};
