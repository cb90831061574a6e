/** Adapts the baseline policies, with which the fleet policy is compared, to the interface `ServiceScheduler`. They use neither a dispatcher nor messages between VMs. */
import {createDeficitRoundRobin, LocalPool, oldestFirst} from '../../core/dispatch/local-pool.js';
import {type DispatchRequest, type Grant, type GrantResult} from '../../core/dispatch/types.js';
import {isTargetInService} from './in-service.js';
import {type ServiceOptions, type ServiceScheduler} from './types.js';

export type LocalPolicy = 'local-drr' | 'least-loaded';

export const createLocalService = (options: ServiceOptions, policy: LocalPolicy): ServiceScheduler => {
	const {service, config, onEffects} = options;
	const targets = () => {
		const current = config();
		return Object.entries(current?.targets ?? {})
			.filter(([, target]) => current && target.service === service && isTargetInService(current, target))
			.map(([name, {address, contract}]) => ({name, address, warmLimit: contract.warmLimit}));
	};

	const pool = new LocalPool({
		service,
		vmIncarnation: options.incarnation,
		targets,
		vmCount: () => Math.max(1, options.fleetSize()),
		order: policy === 'local-drr' ? createDeficitRoundRobin(team => config()?.teams[team]?.weight ?? 1) : oldestFirst,
		maxQueuedOf: team => config()?.teams[team]?.maxQueued ?? 0,
	});
	const noop = () => undefined;
	return {
		service,
		dispatcher: undefined,
		member: undefined,
		get queued() {
			return pool.queued;
		},
		get running() {
			return pool.running;
		},
		submit(request: DispatchRequest, nowMs: number) {
			onEffects(pool.submit(request, nowMs));
		},
		withdraw(request: DispatchRequest) {
			pool.withdraw(request.team, request.requestId);
		},
		isValid: (grant: Grant, nowMs: number) => pool.isValid(grant, nowMs),
		end(grant: Grant, result: GrantResult, nowMs: number) {
			onEffects(pool.end(grant, result, nowMs));
		},
		tick(nowMs: number) {
			onEffects(pool.expire(nowMs));
		},
		onReport: noop,
		onAllotment: noop,
		onExchange: noop,
		onLoadReport: noop,
		leave: noop,
		sendDueReport: noop,
	};
};
