/**
 * Decides which VMs are alive. It combines three sources: the seeds of the settings, the
 * platform's list, which lags, and the VMs' heartbeats. Heartbeats take precedence over the
 * list, since they are newer. Of VMs that cannot be reached, only the list shows the state.
 */
import {
	type HeartbeatMessage, type KnownVm, type Membership, type MembershipMessage, type MembershipOptions, type OwnHeartbeat,
	type Vm, type VmState,
} from './types.js';

/** Default time in milliseconds without a message after which a VM is suspect. */
export const HEARTBEAT_TIMEOUT_MS = 1500;

/** Time in milliseconds without a message after which a VM is forgotten, unless it is a seed or the platform lists it. */
export const FORGET_AFTER_MS = 30_000;

type Entry = Omit<Vm, 'state' | 'heard'> & {
	readonly heard: ReadonlySet<string>;
	readonly saysLeaving: boolean;
	readonly listedLeaving: boolean;
	readonly isReplaced: boolean;
	readonly isLinkDown: boolean;
	readonly heartbeatTimeoutMs: number;
	/** The clock reading in the peer's last heartbeat, which is echoed to the peer. */
	readonly peerSentMs: number;
	readonly addedMs: number;
};

const createEntry = (vm: KnownVm, isSeed: boolean, heartbeatTimeoutMs: number, nowMs: number): Entry => ({
	id: vm.id,
	dataCentre: vm.dataCentre,
	control: vm.control,
	admin: vm.admin,
	listed: false,
	incarnation: undefined,
	heardMs: undefined,
	heardSinceMs: undefined,
	heard: new Set(),
	confirmedMs: undefined,
	configVersion: 0,
	isSeed,
	saysLeaving: false,
	listedLeaving: false,
	isReplaced: false,
	isLinkDown: false,
	heartbeatTimeoutMs,
	peerSentMs: 0,
	addedMs: nowMs,
});

const isReachable = (entry: Entry, nowMs: number): boolean =>
	entry.heardMs !== undefined && !entry.isLinkDown && nowMs - entry.heardMs <= entry.heartbeatTimeoutMs;

const isForgotten = (entry: Entry, nowMs: number): boolean =>
	entry.isReplaced || (!entry.listed && !entry.isSeed && nowMs - (entry.heardMs ?? entry.addedMs) > FORGET_AFTER_MS);

const stateOf = (entry: Entry, nowMs: number): VmState => {
	if (isForgotten(entry, nowMs)) {
		return 'gone';
	}

	if (entry.saysLeaving || entry.listedLeaving) {
		return 'leaving';
	}

	if (entry.heardMs === undefined) {
		return 'joining';
	}

	return isReachable(entry, nowMs) ? 'alive' : 'suspect';
};

const toVm = (entry: Entry, nowMs: number): Vm => {
	const {saysLeaving, listedLeaving, isReplaced, isLinkDown, heartbeatTimeoutMs, peerSentMs, addedMs, ...vm} = entry;
	return {...vm, state: stateOf(entry, nowMs)};
};

const signatureOf = (entry: Entry, nowMs: number): string =>
	[entry.id, stateOf(entry, nowMs), entry.control, entry.admin, entry.incarnation, entry.dataCentre, entry.listed].join(' ');

/** Creates a membership that knows this VM and the seeds. */
export const createMembership = ({self, seeds, heartbeatTimeoutMs = HEARTBEAT_TIMEOUT_MS}: MembershipOptions): Membership => {
	const entries = new Map<string, Entry>();
	let isSelfLeaving = false;
	let listReadMs: number | undefined;
	let lastMessageMs = 0;
	let cachedVms: readonly Vm[] | undefined;
	const signatures = new Map<string, string>();

	const update = (id: string, change: Partial<Entry>): void => {
		const entry = entries.get(id);
		if (entry) {
			entries.set(id, {...entry, ...change});
		}
	};

	const add = (vm: KnownVm, isSeed: boolean, nowMs: number): void => {
		if (!entries.has(vm.id)) {
			entries.set(vm.id, createEntry(vm, isSeed, heartbeatTimeoutMs, nowMs));
		}
	};

	/** Marks the known VMs with the control address of `vm` as replaced. */
	const markReplaced = (vm: KnownVm): void => {
		for (const entry of entries.values()) {
			if (entry.id !== vm.id && entry.id !== self.id && vm.control !== '' && entry.control === vm.control) {
				update(entry.id, {isReplaced: true, listed: false});
			}
		}
	};

	const applyList = (vms: readonly KnownVm[], nowMs: number): void => {
		const listed = new Map(vms.map(vm => [vm.id, vm]));
		for (const vm of vms) {
			if (!entries.has(vm.id)) {
				markReplaced(vm);
				add(vm, false, nowMs);
			}

			update(vm.id, {
				control: vm.control, admin: vm.admin, dataCentre: vm.dataCentre, isReplaced: false,
			});
		}

		for (const id of entries.keys()) {
			const vm = listed.get(id);
			update(id, {listed: vm?.state === 'live', listedLeaving: vm?.state === 'leaving'});
		}
	};

	const recordMessage = (from: HeartbeatMessage['from'], nowMs: number): void => {
		add({
			id: from.vm, dataCentre: from.dataCentre, control: '', admin: '', state: 'live',
		}, false, nowMs);
		const entry = entries.get(from.vm)!;
		const isNewProcess = entry.incarnation !== from.incarnation;
		update(from.vm, {
			heardMs: nowMs,
			incarnation: from.incarnation,
			dataCentre: from.dataCentre,
			isReplaced: false,
			isLinkDown: false,
			...((isNewProcess || !isReachable(entry, nowMs)) && {heardSinceMs: nowMs}),
			...(isNewProcess && {
				confirmedMs: undefined, saysLeaving: false, configVersion: 0, heard: new Set<string>(), peerSentMs: 0,
			}),
		});
	};

	const applyHeartbeat = (message: HeartbeatMessage, nowMs: number): void => {
		recordMessage(message.from, nowMs);
		const entry = entries.get(message.from.vm)!;
		update(message.from.vm, {
			...(message.heard && {heard: new Set(message.heard)}),
			saysLeaving: message.isLeaving,
			configVersion: message.configVersion,
			peerSentMs: message.sentMs,
			...(message.echoMs > 0 && message.echoMs <= nowMs && {confirmedMs: Math.max(entry.confirmedMs ?? 0, message.echoMs)}),
		});
	};

	const apply = (message: MembershipMessage, nowMs: number): void => {
		switch (message.kind) {
			case 'list': {
				applyList(message.vms, nowMs);
				listReadMs = nowMs;
				break;
			}

			case 'heartbeat': {
				applyHeartbeat(message, nowMs);
				break;
			}

			case 'heard': {
				recordMessage(message.from, nowMs);
				break;
			}

			case 'link_down': {
				update(message.vm, {isLinkDown: true});
				break;
			}

			case 'leave': {
				isSelfLeaving = true;
				break;
			}

			case 'tick': {
				break;
			}
		}
	};

	const refreshSelf = (nowMs: number): void => {
		update(self.id, {
			heardMs: nowMs, confirmedMs: nowMs, incarnation: self.incarnation, saysLeaving: isSelfLeaving, isReplaced: false,
		});
		update(self.id, {heardSinceMs: entries.get(self.id)?.heardSinceMs ?? nowMs});
	};

	/** Returns whether the state, an address, the process instance, the data centre or the listing of one of the VMs has changed since the last call. */
	const recordChanges = (ids: Iterable<string>, nowMs: number): boolean => {
		let hasChanged = false;
		for (const id of ids) {
			const entry = entries.get(id);
			const signature = entry ? signatureOf(entry, nowMs) : '';
			hasChanged ||= signatures.get(id) !== signature;
			signatures.set(id, signature);
		}

		return hasChanged;
	};

	const handle = (message: MembershipMessage, nowMs: number): boolean => {
		apply(message, nowMs);
		refreshSelf(nowMs);
		lastMessageMs = nowMs;
		cachedVms = undefined;
		// A message from a VM concerns only that VM, so its cost does not grow with the fleet.
		return recordChanges('from' in message ? [message.from.vm] : entries.keys(), nowMs);
	};

	const vms = (): readonly Vm[] => {
		cachedVms ??= [...entries.values()]
			.map(entry => toVm(entry, lastMessageMs))
			.filter(vm => vm.state !== 'gone')
			.toSorted((a, b) => (a.id < b.id ? -1 : 1));
		return cachedVms;
	};

	const vm = (id: string): Vm | undefined => {
		const entry = entries.get(id);
		const found = entry && toVm(entry, lastMessageMs);
		return found?.state === 'gone' ? undefined : found;
	};

	const heartbeatFor = (vm: string, nowMs: number): OwnHeartbeat => ({
		heard: [...entries.values()].filter(entry => entry.id !== self.id && isReachable(entry, nowMs)).map(({id}) => id),
		isLeaving: isSelfLeaving,
		sentMs: nowMs,
		echoMs: entries.get(vm)?.peerSentMs ?? 0,
	});

	add(self, true, 0);
	for (const seed of seeds) {
		add(seed, true, 0);
	}

	return {
		handle, vms, vm, heartbeatFor, listReadMs: () => listReadMs,
	};
};
