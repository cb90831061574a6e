/**
 * Model for `explore` of the leases of a few VMs in one data centre, with the links
 * between them and the platform's lease row. Each frame is delivered by an action of its
 * own; platform calls are part of the action that causes them. A VM that is not ticked
 * while time passes is a paused process.
 */
import {type Model} from '../../src/core/explore/types.js';
import {initialLeaseState, isValid} from '../../src/core/lease/lease-state.js';
import {type LeaseState, type Tenure} from '../../src/core/lease/types.js';
import {
	allMechanisms, type PeerHeartbeat, type LeaseAction, type LeaseModel, type LeaseModelOptions, type LeaseModelState, longAgoMs,
	type Mechanisms, type ModelVm, modelTiming, service,
} from './lease-model-types.js';
import {
	deliver, sendFrames, handleMessage, tickVm,
} from './lease-model-vm.js';

const restart = (state: LeaseModelState, id: string, options: LeaseModel): LeaseModelState => {
	const startedMs = options.mechanisms.hasQuarantine ? state.nowMs : longAgoMs;
	const channels = Object.fromEntries(Object.entries(state.channels).filter(([channel]) => !channel.split('>').includes(id)));
	const others = Object.fromEntries(Object.entries(state.vms).map(([other, vm]) => {
		const {[id]: _, ...otherHeartbeats} = vm.heartbeats;
		const lastHeartbeat = vm.heartbeats[id];
		return [other, lastHeartbeat ? {...vm, heartbeats: {...otherHeartbeats, [id]: {...lastHeartbeat, peerSentMs: 0, confirmedMs: undefined}}} : vm];
	}));
	return {
		...state,
		channels,
		vms: {
			...others, [id]: {
				tickedMs: longAgoMs, lease: initialLeaseState(id, startedMs, {...modelTiming, slotLeaseMs: options.slotLeaseMs}), heartbeats: {}, outbox: [],
			},
		},
		faultsLeft: state.faultsLeft - 1,
	};
};

const considersLeaseValid = (vm: ModelVm, nowMs: number, {checksAtGrant}: Mechanisms): boolean => {
	const pool = vm.lease.pools[service];
	return pool !== undefined && (checksAtGrant ? isValid(pool, nowMs) : pool.ownLease?.wasValid === true);
};

/** Grants a slot. A grant at an epoch that is not higher than that of another VM's earlier grant is a violation. */
const grant = (state: LeaseModelState, id: string): LeaseModelState => {
	const {epoch} = (state.vms[id]!.lease.pools[service]!.ownLease!);
	const last = state.grants.at(-1);
	const isSameTenure = last?.holder === id && last.epoch === epoch;
	const isStaleEpoch = last !== undefined && !isSameTenure && epoch <= last.epoch;
	return {
		...state,
		grants: [{holder: id, epoch}],
		violation: isStaleEpoch ? `${id} grants under epoch ${epoch} after ${last.holder} did under ${last.epoch}` : state.violation,
	};
};

const leave = (state: LeaseModelState, id: string, options: LeaseModel): LeaseModelState => {
	const afterLeave = handleMessage(state, id, {kind: 'leave'}, options).state;
	return {...sendFrames(afterLeave, id, options.vms), faultsLeft: state.faultsLeft - 1};
};

const findConcurrentLeases = (state: LeaseModelState, mechanisms: Mechanisms): string | undefined => {
	const valid = Object.entries(state.vms).filter(([, vm]) => considersLeaseValid(vm, state.nowMs, mechanisms));
	return valid.length > 1
		? `valid at once: ${valid.map(([id, vm]) => `${id} epoch ${vm.lease.pools[service]?.ownLease?.epoch}`).join(', ')}`
		: undefined;
};

const initialState = ({vms, holder, maxFaults, slotLeaseMs}: LeaseModel): LeaseModelState => {
	const nowMs = 10_000;
	const tenure: Tenure = {holder, epoch: 1};
	const lease = (id: string): LeaseState => ({
		...initialLeaseState(id, 0, {...modelTiming, slotLeaseMs}),
		pools: {
			[service]: {
				followed: tenure,
				isReleased: false,
				successor: undefined,
				maxEpoch: 1,
				followedByMember: id === holder ? Object.fromEntries(vms.map(vm => [vm, {...tenure, confirmedMs: nowMs}])) : {},
				ownLease: id === holder
					? {
						epoch: 1, claimedMs: nowMs, writtenMs: nowMs, validUntilMs: nowMs + modelTiming.leaseMs, wasValid: true,
					}
					: undefined,
				row: id === holder ? {...tenure, revision: 1, seenMs: nowMs} : undefined,
				isRowCallPending: false,
				vacantSinceMs: undefined,
			},
		},
	});
	const freshHeartbeat: PeerHeartbeat = {
		heardMs: nowMs, peerSentMs: nowMs, confirmedMs: nowMs, hears: vms,
	};
	return {
		nowMs,
		vms: Object.fromEntries(vms.map(id => [id, {
			tickedMs: longAgoMs, lease: lease(id), heartbeats: Object.fromEntries(vms.filter(vm => vm !== id).map(vm => [vm, freshHeartbeat])), outbox: [],
		}])),
		channels: {},
		row: {...tenure, revision: 1},
		faultsLeft: maxFaults,
		grants: [],
		violation: undefined,
	};
};

/** Greatest age of a time in a state's key. Older times have the same effect. */
const maxRelevantAgeMs = 5000;

const keyOf = (state: LeaseModelState): string => JSON.stringify({...state, nowMs: 0}, (name, value: unknown) =>
	typeof value === 'number' && name.endsWith('Ms') && name !== 'nowMs' && !(name in modelTiming)
		? Math.max(-maxRelevantAgeMs, value - state.nowMs)
		: value);

/** Creates the lease model. Options that are left out have defaults. */
export const createLeaseModel = (given: LeaseModelOptions): Model<LeaseModelState, LeaseAction> => {
	const options: LeaseModel = {
		mechanisms: allMechanisms, prefix: [], slotLeaseMs: modelTiming.slotLeaseMs, ...given,
	};
	const {vms, platform, faults, mechanisms} = options;

	const actions = (state: LeaseModelState): readonly LeaseAction[] => {
		const channels = Object.entries(state.channels).filter(([, frames]) => frames.length > 0).map(([channel]) => channel);
		const mayFault = (fault: 'lose' | 'restart' | 'leave'): boolean => state.faultsLeft > 0 && faults.includes(fault);
		return [
			{kind: 'advance'},
			...vms.filter(vm => state.vms[vm]!.tickedMs !== state.nowMs).flatMap(vm => platform[vm]!.map(mode => ({kind: 'tick', vm, platform: mode} as const))),
			...channels.map(channel => ({kind: 'deliver', channel} as const)),
			...(mayFault('lose') ? channels.map(channel => ({kind: 'lose', channel} as const)) : []),
			...(mayFault('restart') ? vms.map(vm => ({kind: 'restart', vm} as const)) : []),
			...(mayFault('leave') ? vms.filter(vm => !state.vms[vm]!.lease.isLeaving).map(vm => ({kind: 'leave', vm} as const)) : []),
			...vms.filter(vm => considersLeaseValid(state.vms[vm]!, state.nowMs, mechanisms)).map(vm => ({kind: 'grant', vm} as const)),
		];
	};

	const apply = (state: LeaseModelState, action: LeaseAction): LeaseModelState => {
		switch (action.kind) {
			case 'advance': {
				return {...state, nowMs: state.nowMs + 1000};
			}

			case 'tick': {
				return tickVm(state, action.vm, action.platform, options);
			}

			case 'deliver': {
				return deliver(state, action.channel, options);
			}

			case 'lose': {
				const [, ...rest] = state.channels[action.channel] ?? [];
				return {...state, channels: {...state.channels, [action.channel]: rest}, faultsLeft: state.faultsLeft - 1};
			}

			case 'restart': {
				return restart(state, action.vm, options);
			}

			case 'leave': {
				return leave(state, action.vm, options);
			}

			case 'grant': {
				return grant(state, action.vm);
			}
		}
	};

	let initial = initialState(options);
	for (const action of options.prefix) {
		initial = apply(initial, action);
	}

	return {
		initial,
		actions,
		apply,
		findViolation: state => state.violation ?? findConcurrentLeases(state, mechanisms),
		key: keyOf,
	};
};
