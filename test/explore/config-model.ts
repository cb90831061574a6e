/** Model for `explore` of how a few VMs read and exchange versions of the fleet configuration. */
import {createConfigVersions} from '../../src/core/config/config-versions.js';
import {type ConfigEffect, type ConfigMessage, type ConfigVersions} from '../../src/core/config/types.js';
import {type Model} from '../../src/core/explore/types.js';

type VmState = {
	/** Messages that the process has received since its start. The state machine is rebuilt from them. */
	readonly messages: readonly ConfigMessage[];
	/** Lowest version that the VM may serve by: the highest that it served by, or that its peers knew of when it started. */
	readonly minVersion: number;
};

export type ConfigModelState = {
	/** Highest version that is stored on the platform. */
	readonly newestVersion: number;
	readonly vms: Readonly<Record<string, VmState>>;
	readonly channels: Readonly<Record<string, readonly ConfigMessage[]>>;
	readonly faultsLeft: number;
	readonly violation: string | undefined;
};

export type ConfigAction =
	| {readonly kind: 'write'}
	/** A read from the platform that returns the state `lag` versions before the newest. */
	| {readonly kind: 'read'; readonly vm: string; readonly lag: number}
	| {readonly kind: 'deliver'; readonly channel: string}
	| {readonly kind: 'beat' | 'relink' | 'restart'; readonly vm: string};

type Create = (expectedPeers: readonly string[]) => ConfigVersions;

const maxVersion = 2;
const maxQueuedMessages = 2;

/** Creates the real state machine. */
export const createVersions: Create = expectedPeers => {
	const versions = createConfigVersions({dataCentre: 'galle', startedMs: 0});
	versions.handle({kind: 'peers', vms: expectedPeers, isReader: true}, 0);
	return versions;
};

/** Creates a state machine without the comparison of versions: the document that arrives last is active. */
export const createWithoutVersionComparison: Create = expectedPeers => {
	let versions = createVersions(expectedPeers);
	let wasReady = false;
	return {
		...versions,
		handle(message, nowMs) {
			if ((message.kind === 'document' || message.kind === 'notice') && message.document !== '') {
				versions = createVersions(expectedPeers);
			}

			return versions.handle(message, nowMs);
		},
		current: () => versions.current(),
		latest: () => versions.latest(),
		heardVersion: () => versions.heardVersion(),
		isReady(nowMs) {
			wasReady ||= versions.isReady(nowMs);
			return wasReady;
		},
	};
};

/** Creates a state machine that doesn't wait for its peers' versions: it is ready with the first document. */
export const createWithoutPeerVersions: Create = expectedPeers => {
	const versions = createVersions(expectedPeers);
	return {...versions, isReady: () => versions.current() !== undefined};
};

type Rebuilt = {readonly machine: ConfigVersions; readonly effects: readonly ConfigEffect[]};

export const createConfigModel = (ids: readonly string[], create: Create): Model<ConfigModelState, ConfigAction> => {
	const peersOf = (id: string): readonly string[] => ids.filter(other => other !== id);

	const rebuild = (id: string, messages: readonly ConfigMessage[]): Rebuilt => {
		const machine = create(peersOf(id));
		let effects: readonly ConfigEffect[] = [];
		for (const message of messages) {
			effects = machine.handle(message, 0);
			machine.isReady(0);
		}

		return {machine, effects};
	};

	const noticeOf = (id: string, {machine}: Rebuilt, overrides: {readonly document?: string; readonly isFetch?: boolean} = {}): ConfigMessage => ({
		kind: 'notice',
		from: id,
		dataCentre: 'galle',
		version: machine.latest()?.version ?? 0,
		heardVersion: machine.heardVersion(),
		document: '',
		isFetch: false,
		...overrides,
	});

	const send = (state: ConfigModelState, from: string, to: string, message: ConfigMessage): ConfigModelState => {
		const channel = `${from}>${to}`;
		const queued = state.channels[channel] ?? [];
		return queued.length >= maxQueuedMessages ? state : {...state, channels: {...state.channels, [channel]: [...queued, message]}};
	};

	const recordServedVersion = (state: ConfigModelState, id: string, after: Rebuilt): ConfigModelState => {
		const vm = state.vms[id]!;
		if (!after.machine.isReady(0)) {
			return state;
		}

		const version = after.machine.current()?.version ?? 0;
		const violation = version < vm.minVersion ? `${id} serves version ${version} after ${vm.minVersion}` : state.violation;
		return {...state, violation, vms: {...state.vms, [id]: {...vm, minVersion: Math.max(version, vm.minVersion)}}};
	};

	const sendNotices = (state: ConfigModelState, id: string): ConfigModelState => {
		const rebuilt = rebuild(id, state.vms[id]!.messages);
		let next = state;
		for (const peer of peersOf(id)) {
			next = send(next, id, peer, noticeOf(id, rebuilt));
		}

		return next;
	};

	const handleMessage = (state: ConfigModelState, id: string, message: ConfigMessage): ConfigModelState => {
		const vm = state.vms[id]!;
		const messages = [...vm.messages, message];
		const rebuilt = rebuild(id, messages);
		let next: ConfigModelState = {...state, vms: {...state.vms, [id]: {...vm, messages}}};
		for (const effect of rebuilt.effects) {
			if (effect.kind === 'fetch') {
				next = send(next, id, effect.vm, noticeOf(id, rebuilt, {isFetch: true}));
			}

			if (effect.kind === 'reply') {
				next = send(next, id, effect.vm, noticeOf(id, rebuilt, {document: rebuilt.machine.latest()?.document ?? ''}));
			}

			if (effect.kind === 'announce') {
				next = sendNotices(next, id);
			}
		}

		return recordServedVersion(next, id, rebuilt);
	};

	/** Reconnects a VM's links: messages in transit are lost, and both ends send their versions. */
	const reconnect = (state: ConfigModelState, id: string): ConfigModelState => {
		const channels = Object.fromEntries(Object.entries(state.channels).filter(([channel]) => !channel.split('>').includes(id)));
		let next: ConfigModelState = {...state, channels, faultsLeft: state.faultsLeft - 1};
		for (const peer of peersOf(id)) {
			next = send(next, peer, id, noticeOf(peer, rebuild(peer, next.vms[peer]!.messages)));
		}

		return sendNotices(next, id);
	};

	const restart = (state: ConfigModelState, id: string): ConfigModelState => {
		const peerHeardVersions = peersOf(id).map(peer => rebuild(peer, state.vms[peer]!.messages).machine.heardVersion());
		return reconnect({...state, vms: {...state.vms, [id]: {messages: [], minVersion: Math.max(...peerHeardVersions)}}}, id);
	};

	const apply = (state: ConfigModelState, action: ConfigAction): ConfigModelState => {
		switch (action.kind) {
			case 'write': {
				return {...state, newestVersion: state.newestVersion + 1};
			}

			case 'read': {
				const version = state.newestVersion - action.lag;
				return handleMessage(state, action.vm, {kind: 'document', document: JSON.stringify({version})});
			}

			case 'deliver': {
				const [frame, ...rest] = state.channels[action.channel] ?? [];
				const next = {...state, channels: {...state.channels, [action.channel]: rest}};
				return frame ? handleMessage(next, action.channel.split('>')[1]!, frame) : next;
			}

			case 'relink': {
				return reconnect(state, action.vm);
			}

			case 'beat': {
				return sendNotices(state, action.vm);
			}

			case 'restart': {
				return restart(state, action.vm);
			}
		}
	};

	return {
		initial: {
			newestVersion: 1, vms: Object.fromEntries(ids.map(id => [id, {messages: [], minVersion: 0}])), channels: {}, faultsLeft: 2, violation: undefined,
		},
		actions(state) {
			const channels = Object.entries(state.channels).filter(([, frames]) => frames.length > 0).map(([channel]) => channel);
			return [
				...(state.newestVersion < maxVersion ? [{kind: 'write'} as const] : []),
				// The first read of a process is a transaction, which never returns an old state.
				...ids.flatMap(vm => (hasRead(state.vms[vm]!) ? [0, 1] : [0]).filter(lag => lag < state.newestVersion).map(lag => ({kind: 'read', vm, lag} as const))),
				...channels.map(channel => ({kind: 'deliver', channel} as const)),
				...ids.map(vm => ({kind: 'beat', vm} as const)),
				...(state.faultsLeft > 0 ? ids.flatMap(vm => [{kind: 'relink', vm} as const, {kind: 'restart', vm} as const]) : []),
			];
		},
		apply,
		findViolation: state => state.violation,
		key: state => JSON.stringify({
			...state,
			vms: Object.entries(state.vms).map(([id, {messages, minVersion}]) => {
				const {machine} = rebuild(id, messages);
				const notifyingPeers = new Set(messages.flatMap(message => message.kind === 'notice' ? [message.from] : []));
				return [minVersion, machine.latest()?.version, machine.heardVersion(), machine.isReady(0), [...notifyingPeers].toSorted(), peerVersions(messages)];
			}),
		}),
	};
};

const hasRead = ({messages}: VmState): boolean => messages.some(({kind}) => kind === 'document');

/** Returns the latest version that each peer has sent, which is part of the state machine's state. */
const peerVersions = (messages: readonly ConfigMessage[]): readonly string[] => {
	const versionsByPeer = new Map<string, number>();
	for (const message of messages) {
		if (message.kind === 'notice') {
			versionsByPeer.set(message.from, message.version);
		}
	}

	return [...versionsByPeer].map(([from, version]) => `${from} ${version}`).toSorted();
};

