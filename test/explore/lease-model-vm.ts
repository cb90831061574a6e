/** Actions of one VM in the lease model: ticks, platform calls and frames. */
import {stepLease} from '../../src/core/lease/lease-machine.js';
import {
	type LeaseEffect, type LeaseMember, type LeaseMessage, type LeaseRow,
} from '../../src/core/lease/types.js';
import {
	type PeerHeartbeat, type LeaseModel, type LeaseModelState, longAgoMs, type ModelFrame, type ModelVm, type PlatformMode, type Row, service,
} from './lease-model-types.js';

const heartbeatTimeoutMs = 1000;
const maxQueuedFrames = 1;

const setVm = (state: LeaseModelState, id: string, vm: ModelVm): LeaseModelState => ({...state, vms: {...state.vms, [id]: vm}});

const membersOf = (id: string, vm: ModelVm, nowMs: number, ids: readonly string[]): readonly LeaseMember[] =>
	ids.map(other => {
		const heartbeat = other === id ? {heardMs: nowMs, confirmedMs: nowMs, hears: []} : vm.heartbeats[other];
		return {
			id: other,
			isCandidate: heartbeat !== undefined && nowMs - heartbeat.heardMs <= heartbeatTimeoutMs,
			isCounted: true,
			heardMs: heartbeat?.heardMs,
			confirmedMs: heartbeat?.confirmedMs,
			hears: heartbeat?.hears ?? [],
			aliveSinceMs: 0,
		};
	});

type VmStep = {readonly state: LeaseModelState; readonly effects: readonly LeaseEffect[]};
type PlatformResult = {readonly state: LeaseModelState; readonly response: LeaseMessage};
type PlatformCall = Extract<LeaseEffect, {kind: 'read' | 'write'}>;

export const handleMessage = (state: LeaseModelState, id: string, message: LeaseMessage, options: LeaseModel): VmStep => {
	const vm = state.vms[id]!;
	const step = stepLease(vm.lease, message, state.nowMs);
	const pool = step.state.pools[service];
	const lease = pool?.row && !options.mechanisms.watchesRow
		? {...step.state, pools: {[service]: {...pool, row: {...pool.row, seenMs: longAgoMs}}}}
		: step.state;
	const notices = step.effects.flatMap(effect => effect.kind === 'announce'
		? [{
			holder: effect.holder, epoch: effect.epoch, isHandover: effect.isHandover, successor: effect.successor,
		}]
		: []);
	return {state: setVm(state, id, {...vm, lease, outbox: [...vm.outbox, ...notices]}), effects: step.effects};
};

/** Performs one platform call. When the response is lost, a write has still taken effect. */
const callPlatform = (state: LeaseModelState, id: string, effect: PlatformCall, mode: PlatformMode): PlatformResult => {
	const failed: LeaseMessage = {kind: 'failed', services: [service]};
	const stored: LeaseRow = state.row
		? {service, ...state.row}
		: {
			service, holder: '', epoch: 0, revision: 'absent',
		};
	if (mode === 'down') {
		return {state, response: failed};
	}

	if (effect.kind === 'read') {
		return {state, response: mode === 'up' ? {kind: 'row', row: stored} : failed};
	}

	const [write] = effect.rows;
	if (write?.expectRevision !== stored.revision) {
		return {state, response: mode === 'up' ? {kind: 'conflict', services: [service], rows: [stored]} : failed};
	}

	const row: Row = {holder: id, epoch: write.epoch, revision: (state.row?.revision ?? 0) + 1};
	return {
		state: {...state, row},
		response: mode === 'up' ? {kind: 'written', sentMs: state.nowMs, rows: [{service, ...row}]} : failed,
	};
};

const frameFor = (state: LeaseModelState, id: string, to: string): ModelFrame => {
	const vm = state.vms[id]!;
	const pool = vm.lease.pools[service];
	const tenure = pool?.ownLease ? {holder: id, epoch: pool.ownLease.epoch} : pool?.followed;
	const isForPeer = tenure && (tenure.holder === id || tenure.holder === to) && !(tenure.holder === id && !pool?.ownLease);
	const hears = Object.entries(vm.heartbeats)
		.filter(([, {heardMs}]) => state.nowMs - heardMs <= heartbeatTimeoutMs)
		.map(([other]) => other);
	return {
		sentMs: state.nowMs,
		echoMs: vm.heartbeats[to]?.peerSentMs ?? 0,
		hears,
		notices: [...vm.outbox, ...(isForPeer ? [{...tenure, isHandover: false, successor: undefined}] : [])],
	};
};

export const sendFrames = (state: LeaseModelState, id: string, ids: readonly string[]): LeaseModelState => {
	const channels: Record<string, readonly ModelFrame[]> = {...state.channels};
	for (const to of ids) {
		const channel = `${id}>${to}`;
		const queued = channels[channel] ?? [];
		if (to !== id && queued.length < maxQueuedFrames) {
			channels[channel] = [...queued, frameFor(state, id, to)];
		}
	}

	return setVm({...state, channels}, id, {...state.vms[id]!, outbox: []});
};

/** A VM, and how the platform responds to it now. */
type Caller = {readonly id: string; readonly mode: PlatformMode};

/** Passes a message to a VM, and performs the platform calls that result from it. */
export const handleMessageAndCalls = (state: LeaseModelState, {id, mode}: Caller, message: LeaseMessage, options: LeaseModel): LeaseModelState => {
	const handled = handleMessage(state, id, message, options);
	let next = handled.state;
	for (const effect of handled.effects) {
		if (effect.kind === 'read' || effect.kind === 'write') {
			const call = callPlatform(next, id, effect, mode);
			next = handleMessageAndCalls(call.state, {id, mode}, call.response, options);
		}
	}

	return next;
};

export const tickVm = (state: LeaseModelState, id: string, mode: PlatformMode, options: LeaseModel): LeaseModelState => {
	const members = membersOf(id, state.vms[id]!, state.nowMs, options.vms);
	const next = handleMessageAndCalls(state, {id, mode}, {kind: 'tick', members, services: [service]}, options);
	return sendFrames(setVm(next, id, {...next.vms[id]!, tickedMs: state.nowMs}), id, options.vms);
};

/** Updates the VM's members before each notice, because the lease state machine reads from them when a peer's last heartbeat arrived. Without `refusesRivals`, all heartbeats count as outdated. */
const refreshMembers = (state: LeaseModelState, id: string, options: LeaseModel): LeaseModelState => {
	const vm = state.vms[id]!;
	const members = membersOf(id, vm, state.nowMs, options.vms)
		.map(member => options.mechanisms.refusesRivals ? member : {...member, heardMs: longAgoMs});
	return setVm(state, id, {...vm, lease: {...vm.lease, members}});
};

export const deliver = (state: LeaseModelState, channel: string, options: LeaseModel): LeaseModelState => {
	const [frame, ...rest] = state.channels[channel] ?? [];
	const [from, to] = channel.split('>');
	if (!frame || !from || !to) {
		return state;
	}

	const vm = state.vms[to]!;
	const echoMs = options.mechanisms.usesEcho || frame.echoMs === 0 ? frame.echoMs : state.nowMs;
	const previous = vm.heartbeats[from];
	const confirmedMs = echoMs > 0 ? Math.max(echoMs, previous?.confirmedMs ?? 0) : previous?.confirmedMs;
	const received: PeerHeartbeat = {
		heardMs: state.nowMs, peerSentMs: frame.sentMs, confirmedMs, hears: frame.hears,
	};
	let next = setVm({...state, channels: {...state.channels, [channel]: rest}}, to, {...vm, heartbeats: {...vm.heartbeats, [from]: received}});
	for (const notice of frame.notices) {
		next = refreshMembers(next, to, options);
		const message: LeaseMessage = {
			...notice, kind: 'notice', from, service, confirmedMs,
		};
		next = handleMessageAndCalls(next, {id: to, mode: options.platform[to]![0]!}, message, options);
	}

	return next;
};
