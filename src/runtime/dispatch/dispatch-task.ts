/** The dispatch task: it owns this VM's pool members and dispatchers, and the timer that drives them. */
import {NoTarget} from '../../core/errors/refusals-data.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {type MemberEffect} from '../../core/dispatch/pool-member.js';
import {
	type DispatchRequest, type Grant, type GrantResult, type PendingGrant, type Scheduler,
} from '../../core/dispatch/types.js';
import {type LoadReport} from '../../core/target/types.js';
import {type Frame} from '../../gen/jackdawwood/v1/control_pb.js';
import {createTask} from '../task.js';
import {allotmentFromMessage, exchangeFromMessage, reportFromMessage} from './convert.js';
import {dispatchRows} from './dispatch-rows.js';
import {createLocalService} from './local-service.js';
import {startLoadPoller, type PolledTarget} from './load-poller.js';
import {ServiceDispatch} from './service-dispatch.js';
import {
	type DispatchOptions, type DispatchTask, type ServiceOptions, type ServiceScheduler,
} from './types.js';

/** Milliseconds between ticks while requests are queued. A tick sends the reports that are due and allots slots to the pool's members. */
const BUSY_TICK_MS = 10;
/** Milliseconds between ticks while no request is queued. */
const IDLE_TICK_MS = 50;

type Message =
	| {readonly kind: 'ask'; readonly request: DispatchRequest}
	| {readonly kind: 'withdraw'; readonly request: DispatchRequest}
	| {readonly kind: 'end'; readonly service: string; readonly grant: Grant; readonly result: GrantResult}
	| {readonly kind: 'frame'; readonly frame: Frame}
	| {readonly kind: 'load'; readonly polled: PolledTarget; readonly report: LoadReport | undefined}
	| {readonly kind: 'leave'}
	| {readonly kind: 'tick'};

type Waiter = {readonly resolve: (grant: Grant) => void; readonly reject: (err: Error) => void};

class Dispatch {
	readonly services = new Map<string, ServiceScheduler>();
	readonly waiters = new Map<string, Waiter>();
	readonly #options: DispatchOptions;
	readonly #enqueue: (message: Message) => void;
	readonly #vmsToFlush = new Set<string>();
	readonly #serviceByGrant = new Map<string, string>();

	constructor(options: DispatchOptions, enqueue: (message: Message) => void) {
		this.#options = options;
		this.#enqueue = enqueue;
	}

	handle(message: Message): void {
		const nowMs = this.#options.clock.nowMs();
		this.#apply(message, nowMs);
		for (const service of this.services.values()) {
			service.sendDueReport(nowMs);
		}

		for (const vm of this.#vmsToFlush) {
			this.#options.links.flush(vm);
		}

		this.#vmsToFlush.clear();
	}

	/** Whether requests are queued at this VM or in a pool that it dispatches. */
	get isBusy(): boolean {
		return [...this.services.values()].some(({queued, member, dispatcher}) =>
			queued > 0 || (member?.isBusy ?? false) || (dispatcher?.isOrdered ?? false));
	}

	serviceOf(grant: Grant): ServiceScheduler | undefined {
		return this.services.get(this.#serviceByGrant.get(grant.grantId) ?? '');
	}

	/** Returns the targets of this data centre whose pool this VM dispatches. */
	polledTargets(): readonly PolledTarget[] {
		const config = this.#options.config();
		return Object.entries(config?.targets ?? {})
			.filter(([, target]) => target.dataCentre === this.#options.dataCentre && this.services.get(target.service)?.dispatcher)
			.map(([name, target]) => ({service: target.service, target: name, address: target.address}));
	}

	#apply(message: Message, nowMs: number): void {
		switch (message.kind) {
			case 'ask': {
				this.#submit(message.request, nowMs);
				break;
			}

			case 'withdraw': {
				this.waiters.delete(message.request.requestId);
				this.services.get(message.request.service)?.withdraw(message.request);
				break;
			}

			case 'end': {
				this.services.get(message.service)?.end(message.grant, message.result, nowMs);
				this.#serviceByGrant.delete(message.grant.grantId);
				break;
			}

			case 'frame': {
				this.#onFrame(message.frame, nowMs);
				break;
			}

			case 'load': {
				this.services.get(message.polled.service)?.onLoadReport(message.polled.target, message.report, nowMs);
				break;
			}

			case 'leave': {
				for (const service of this.services.values()) {
					service.leave();
				}

				break;
			}

			case 'tick': {
				this.#tick(nowMs);
				break;
			}
		}
	}

	#submit(request: DispatchRequest, nowMs: number): void {
		const service = this.services.get(request.service);
		if (service) {
			service.submit(request, nowMs);
			return;
		}

		this.waiters.get(request.requestId)?.reject(new RefusalError(NoTarget, {service: request.service}));
		this.waiters.delete(request.requestId);
	}

	#onFrame(frame: Frame, nowMs: number): void {
		for (const report of frame.reports) {
			this.services.get(report.service)?.onReport(reportFromMessage(report), nowMs);
		}

		for (const allotment of frame.allotments) {
			this.services.get(allotment.service)?.onAllotment(allotmentFromMessage(allotment), nowMs);
		}

		for (const exchange of frame.exchanges) {
			this.services.get(exchange.service)?.onExchange(exchangeFromMessage(exchange), nowMs);
		}
	}

	#tick(nowMs: number): void {
		for (const service of Object.keys(this.#options.config()?.services ?? {})) {
			if (!this.services.has(service)) {
				this.services.set(service, this.#createService(service));
			}
		}

		for (const service of this.services.values()) {
			service.tick(nowMs);
		}
	}

	#createService(service: string): ServiceScheduler {
		const {policy} = this.#options;
		const options: ServiceOptions = {
			...this.#options,
			service,
			send: (vm, part) => {
				this.#options.links.queue(vm, part);
				this.#vmsToFlush.add(vm);
			},
			onEffects: effects => {
				for (const effect of effects) {
					this.#completeRequest(service, effect);
				}
			},
		};
		return policy === 'fleet' ? new ServiceDispatch(options) : createLocalService(options, policy);
	}

	#completeRequest(service: string, effect: MemberEffect): void {
		if (effect.kind === 'report') {
			return;
		}

		const waiter = this.waiters.get(effect.request.requestId);
		this.waiters.delete(effect.request.requestId);
		if (effect.kind === 'start' && waiter) {
			this.#serviceByGrant.set(effect.grant.grantId, service);
			waiter.resolve(effect.grant);
		} else if (effect.kind === 'start') {
			// The request was withdrawn before its grant: the slot is released unused.
			this.#enqueue({
				kind: 'end', service, grant: effect.grant, result: {kind: 'unsent', cost: 0, answerMs: 0},
			});
		} else {
			waiter?.reject(new RefusalError(effect.refusal, effect.details, {retryAfterMs: effect.retryAfterMs}));
		}
	}
}

/** Starts the task. It grants slots once there are a configuration and a lease holder. */
export const startDispatch = (options: DispatchOptions): DispatchTask => {
	const {clock, links, log} = options;
	const dispatch = new Dispatch(options, message => {
		task.send(message);
	});
	const task = createTask<Message>({
		handle(message) {
			dispatch.handle(message);
		},
		onError(err) {
			log.error('error while handling a dispatch message', {fault: err.stack ?? err.message});
		},
	});
	let timer: NodeJS.Timeout;
	const arm = () => {
		timer = setTimeout(() => {
			task.send({kind: 'tick'});
			arm();
		}, dispatch.isBusy ? BUSY_TICK_MS : IDLE_TICK_MS);
	};

	arm();
	const stopPolling = startLoadPoller({
		targets: () => dispatch.polledTargets(),
		onLoad(polled, report) {
			task.send({kind: 'load', polled, report});
		},
	});
	links.onFrame((_from, frame) => {
		if (frame.reports.length > 0 || frame.allotments.length > 0 || frame.exchanges.length > 0) {
			task.send({kind: 'frame', frame});
		}
	});

	const submit = (request: DispatchRequest): PendingGrant => {
		const granted = new Promise<Grant>((resolve, reject) => {
			dispatch.waiters.set(request.requestId, {resolve, reject});
		});
		task.send({kind: 'ask', request});
		return {
			granted,
			withdraw() {
				task.send({kind: 'withdraw', request});
			},
		};
	};

	const scheduler: Scheduler = {
		submit,
		isValid: grant => dispatch.serviceOf(grant)?.isValid(grant, clock.nowMs()) ?? false,
		end(grant, result) {
			const service = dispatch.serviceOf(grant)?.service;
			if (service !== undefined) {
				task.send({
					kind: 'end', service, grant, result,
				});
			}
		},
	};

	return {
		scheduler,
		open() {
			let queued = 0;
			let running = 0;
			for (const service of dispatch.services.values()) {
				queued += service.queued;
				running += service.running;
			}

			return {queued, running};
		},
		rows: table => dispatchRows(table, dispatch.services.values(), clock.nowMs()),
		leave() {
			task.send({kind: 'leave'});
		},
		stop() {
			clearTimeout(timer);
			stopPolling();
			void task.stop();
		},
	};
};
