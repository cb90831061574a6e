/**
 * Runs one request: feeds its state machine and carries out the effects. Messages are
 * handled synchronously, not through a queue, because the last check before the first byte
 * must give its result while the connection is waiting for it.
 */
import {handleAttempt, initialAttempt} from '../../core/attempt/attempt.js';
import {
	type AttemptEffect, type AttemptMessage, type AttemptSpec, type AttemptState,
} from '../../core/attempt/types.js';
import {type Grant, type PendingGrant} from '../../core/dispatch/types.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {OutcomeUnknown} from '../../core/errors/refusals-data.js';
import {type Claim} from '../claims/types.js';
import {asRefusal} from './as-refusal.js';
import {type AttemptContext} from './attempt-context.js';
import {dispatchRequestOf, specOf} from './attempt-inputs.js';
import {type CallerResponse} from './caller-response.js';
import {type Job} from './job.js';
import {type CreateCall, type CreateCalls, type RunningCall} from './running-call.js';
import {TargetCall} from './target-call.js';

type Effect<Kind extends AttemptEffect['kind']> = Extract<AttemptEffect, {kind: Kind}>;

/** Whether a request counts towards its team's limit of queued requests. It does while it claims its key, and then until the scheduler grants it. */
const isInQueue = ({kind}: AttemptState): boolean => kind === 'claiming' || kind === 'queued';

/** Creates calls in the product's own protocol. */
const ownProtocolCalls = ({pools, metrics, inputAge, stallMs}: AttemptContext): CreateCalls => (job, response) => {
	/** Addresses to which this request was sent. A late duplicate of a response would carry the id of this request, so another call to the same address uses a fresh connection. */
	const calledAddresses = new Set<string>();
	return options => {
		const {address} = options.grant;
		const isRetry = calledAddresses.has(address);
		calledAddresses.add(address);
		return new TargetCall({
			...options, job, response, metrics, inputAge, pool: () => isRetry ? pools.fresh(address) : pools.get(address), ...(stallMs !== undefined && {stallMs}),
		});
	};
};

class AttemptTask {
	#state: AttemptState = initialAttempt;
	#pending: PendingGrant | undefined;
	#submitTimer: NodeJS.Timeout | undefined;
	#runTimer: NodeJS.Timeout | undefined;
	#call: RunningCall | undefined;
	#claim: Promise<Claim> | undefined;
	#lastTarget: string | undefined;
	#removeDepartureListener: (() => void) | undefined;
	/** Milliseconds from the request's arrival to the first chunk of the response. */
	#firstChunkMs: number | undefined;
	readonly #attemptedTargets: string[] = [];
	readonly #createCall: CreateCall;

	readonly #job: Job;
	readonly #response: CallerResponse;
	readonly #ctx: AttemptContext;
	readonly #spec: AttemptSpec;
	readonly #onDone: () => void;

	constructor(job: Job, response: CallerResponse, ctx: AttemptContext, onDone: () => void) {
		this.#job = job;
		this.#response = response;
		this.#ctx = ctx;
		this.#spec = specOf(job, ctx);
		this.#onDone = onDone;
		this.#createCall = (ctx.createCalls ?? ownProtocolCalls(ctx))(job, response);
	}

	begin(): void {
		const {retryBudget, clock} = this.#ctx;
		const {service, route} = this.#job;
		retryBudget.deposit(clock.nowMs(), service);
		if (route) {
			this.#startRunTimer(route.endByMs - clock.nowMs());
		}

		this.#removeDepartureListener = this.#ctx.departure?.onChange(() => {
			this.#endIfLeaving();
		});
		this.#notify({kind: 'begin'});
		this.#endIfLeaving();
		this.#response.onDrain(() => {
			this.#call?.resume();
		});
		this.#response.onDisconnect(() => {
			this.#notify({kind: 'caller-left'});
		});
	}

	/** Ends the request if the process is about to end. Refuses it, unless it was sent before, if this VM stops before the request has to end. */
	#endIfLeaving(): void {
		const {route} = this.#job;
		if (this.#ctx.departure?.isGraceOver()) {
			this.#notify({kind: 'vm-stopping'});
		} else if (route && this.#ctx.departure?.maySend(Math.min(route.endByMs, route.callerWaitsUntilMs)) === false) {
			this.#notify({kind: 'vm-leaving'});
		}
	}

	/** Passes a message to the state machine. An exception ends this request alone, and never permits a first byte. */
	#notify(message: AttemptMessage): readonly AttemptEffect[] {
		try {
			return this.#handle(message);
		} catch (error) {
			this.#onFault(error);
			return [];
		}
	}

	#onFault(err: unknown): void {
		const {kind, grant} = this.#state;
		this.#ctx.log.error('request failed inside the router', {request_id: this.#job.requestId, fault: String(err)});
		if (kind === 'ended') {
			return;
		}

		this.#state = {...this.#state, kind: 'ended'};
		this.#call?.abandon();
		this.#response.refuse(kind === 'sent' ? new RefusalError(OutcomeUnknown, {reason: 'the router failed'}) : asRefusal(err));
		if (grant) {
			this.#ctx.scheduler.end(grant, {kind: 'failed', cost: 0, answerMs: 0});
		}

		this.#onDone();
	}

	#recordFirstChunk(): void {
		const {metrics, clock} = this.#ctx;
		const {service, arrivedMs} = this.#job;
		this.#firstChunkMs = clock.nowMs() - arrivedMs;
		metrics.firstChunkTime.observe({service}, this.#firstChunkMs / 1000);
	}

	#handle(message: AttemptMessage): readonly AttemptEffect[] {
		const before = this.#state;
		if (message.kind === 'delivering' && !before.delivering) {
			this.#recordFirstChunk();
		}

		const step = handleAttempt(before, message, this.#spec, this.#ctx.clock.nowMs());
		this.#state = step.state;
		this.#ctx.register?.update(this.#job, step.state);
		this.#trackQueue(before);
		for (const effect of step.effects) {
			this.#perform(effect);
		}

		return step.effects;
	}

	/** Updates the team's number of queued requests when this request enters or leaves the queue. */
	#trackQueue(before: AttemptState): void {
		const {teamLimiter, clock} = this.#ctx;
		const [wasQueued, isQueued] = [isInQueue(before), isInQueue(this.#state)];
		if (wasQueued && !isQueued) {
			teamLimiter.dequeue(this.#job.team, clock.nowMs());
		} else if (!wasQueued && isQueued) {
			teamLimiter.requeue(this.#job.team);
		}
	}

	#perform(effect: AttemptEffect): void {
		switch (effect.kind) {
			case 'claim': {
				void this.#startClaim();
				break;
			}

			case 'ask': {
				this.#submitLater(effect);
				break;
			}

			case 'withdraw': {
				clearTimeout(this.#submitTimer);
				this.#pending?.withdraw();
				break;
			}

			case 'call': {
				this.#startCall(effect.grant);
				break;
			}

			case 'write': {
				this.#onWrite();
				break;
			}

			case 'drop-call': {
				this.#call?.drop();
				break;
			}

			case 'cancel-call': {
				this.#call?.cancel();
				break;
			}

			case 'abandon-call': {
				this.#call?.abandon();
				break;
			}

			case 'deliver-error': {
				this.#call?.deliverError?.();
				break;
			}

			case 'end-grant': {
				this.#endGrant(effect);
				break;
			}

			case 'refuse': {
				this.#refuse(effect.refusal);
				break;
			}

			case 'ended': {
				this.#onEnded(effect);
				break;
			}
		}
	}

	async #startClaim(): Promise<void> {
		const {team, idempotencyKey = '', requestId} = this.#job;
		this.#claim = this.#ctx.claims.claim({team, key: idempotencyKey, requestId});
		const message = await this.#claim.then(
			() => ({kind: 'claimed'}) as const,
			(error: unknown) => ({kind: 'claim-refused', refusal: asRefusal(error)}) as const,
		);
		this.#notify(message);
	}

	#submitLater({delayMs, retry}: Effect<'ask'>): void {
		if (retry) {
			this.#ctx.metrics.retries.inc({reason: retry});
			this.#ctx.log.info('request repeated', {
				request_id: this.#job.requestId, service: this.#job.service, reason: retry, after_target: this.#lastTarget, delivering: this.#state.delivering, delay_ms: Math.round(delayMs),
			});
		}

		if (delayMs === 0) {
			void this.#submit();
			return;
		}

		this.#submitTimer = setTimeout(() => {
			void this.#submit();
		}, delayMs);
	}

	async #submit(): Promise<void> {
		let message: AttemptMessage;
		try {
			this.#pending = this.#ctx.scheduler.submit(dispatchRequestOf(this.#job, this.#ctx, {tried: this.#attemptedTargets, isResumed: this.#state.delivering}));
			message = {kind: 'granted', grant: await this.#pending.granted};
		} catch (error) {
			message = {kind: 'rejected', refusal: asRefusal(error)};
		}

		this.#notify(message);
	}

	#startCall(grant: Grant): void {
		const {scheduler} = this.#ctx;
		this.#lastTarget = grant.target;
		this.#attemptedTargets.push(grant.target);
		this.#call = this.#createCall({
			grant,
			mayWrite: () => this.#mayWrite(scheduler.isValid(grant)),
			notify: message => {
				this.#notify(message);
			},
		});
		this.#call.start();
	}

	#mayWrite(valid: boolean): boolean {
		if (this.#response.hasDisconnected()) {
			this.#notify({kind: 'caller-left'});
		}

		this.#endIfLeaving();
		return this.#notify({kind: 'writing', valid}).some(({kind}) => kind === 'write');
	}

	#onWrite(): void {
		const {metrics, clock} = this.#ctx;
		const {service, arrivedMs, serviceConfig: {maxRunMs: limitMs}} = this.#job;
		metrics.queueWait.observe({service}, (clock.nowMs() - arrivedMs) / 1000);
		if (!this.#job.route) {
			this.#startRunTimer(limitMs);
		}
	}

	#startRunTimer(limitMs: number): void {
		clearTimeout(this.#runTimer);
		this.#runTimer = setTimeout(() => {
			this.#notify({kind: 'run-timeout', limitMs: Math.round(limitMs), cost: this.#call?.cost ?? 0});
		}, limitMs);
	}

	#endGrant({grant, result}: Effect<'end-grant'>): void {
		if (!this.#job.route) {
			clearTimeout(this.#runTimer);
		}

		if (result.kind === 'answered' || result.kind === 'cancelled') {
			this.#ctx.estimator.observe(this.#job.team, this.#job.service, result.cost, this.#job.costHint);
		}

		this.#ctx.scheduler.end(grant, result);
	}

	#refuse(refusal: RefusalError): void {
		this.#ctx.log.info('request refused', {
			request_id: this.#job.requestId, team: this.#job.team, service: this.#job.service, reason: refusal.data.name, not_run: refusal.notRun,
			retry_after_ms: refusal.retryAfterMs === undefined ? undefined : Math.round(refusal.retryAfterMs), target: this.#lastTarget, fault: refusal.message,
		});
		this.#ctx.metrics.refusals.inc({reason: refusal.data.name, not_run: String(refusal.notRun)});
		this.#ctx.register?.countRefusal(refusal, this.#job);
		this.#response.refuse(refusal);
	}

	#onEnded({outcome, ran}: Effect<'ended'>): void {
		const {metrics, clock, log} = this.#ctx;
		const {requestId, team, service, arrivedMs} = this.#job;
		const seconds = (clock.nowMs() - arrivedMs) / 1000;
		clearTimeout(this.#submitTimer);
		clearTimeout(this.#runTimer);
		this.#removeDepartureListener?.();
		void this.#settleClaim({kind: 'ended', outcome, ran});
		metrics.requests.inc({service, outcome});
		metrics.responseTime.observe({service}, seconds);
		log[outcome === 'answered' ? 'routine' : 'info']('request ended', {
			request_id: requestId, team, service, outcome, ran, target: this.#lastTarget, retries: this.#state.retries, seconds,
			...(this.#firstChunkMs !== undefined && {first_part_ms: Math.round(this.#firstChunkMs)}),
		});
		this.#onDone();
	}

	async #settleClaim({outcome, ran}: Effect<'ended'>): Promise<void> {
		try {
			const claim = await this.#claim;
			claim?.settle(outcome, ran);
		} catch {
			// The claim was refused, and the caller has received that refusal.
		}
	}
}

/** Runs a request. Resolves when the request has ended and nothing of it is left to do. */
export const runAttempt = async (job: Job, response: CallerResponse, ctx: AttemptContext): Promise<void> => new Promise(resolve => {
	new AttemptTask(job, response, ctx, resolve).begin();
});
