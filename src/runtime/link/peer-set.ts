/** The peers to keep links with, each with its dialler. */
import {createDialler, type Dialler} from './dialler.js';
import {type LinkLimits, type Peer} from './types.js';

export type PeerSetOptions = {
	readonly self: string;
	readonly limits: LinkLimits;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	readonly isLinked: (vm: string) => boolean;
	readonly dial: (peer: Peer) => void;
	/** Called when a VM is no longer a peer, or has another address. */
	readonly onRemoved: (vm: string) => void;
};

export type PeerSet = {
	readonly replace: (peers: readonly Peer[]) => void;
	readonly get: (vm: string) => Peer | undefined;
	/** Schedules a dial of each peer without a link. */
	readonly scheduleDials: () => void;
	/** Resets the back-off of a peer whose link has come into use. */
	readonly reset: (vm: string) => void;
	readonly stop: () => void;
};

type Entry = {readonly peer: Peer; readonly dialler: Dialler};

export const createPeerSet = ({self, limits, random, isLinked, dial, onRemoved}: PeerSetOptions): PeerSet => {
	const entries = new Map<string, Entry>();
	let stopped = false;

	const add = (peer: Peer): void => {
		const dialler = createDialler({
			self,
			peer: peer.vm,
			limits,
			random,
			dial() {
				if (!isLinked(peer.vm)) {
					dial(peer);
				}
			},
		});
		entries.set(peer.vm, {peer, dialler});
	};

	const remove = (vm: string): void => {
		entries.get(vm)?.dialler.stop();
		entries.delete(vm);
		onRemoved(vm);
	};

	const scheduleDials = (): void => {
		for (const [vm, {dialler}] of entries) {
			if (!stopped && !isLinked(vm)) {
				dialler.schedule();
			}
		}
	};

	return {
		replace(peers) {
			const named = new Map(peers.filter(({vm}) => vm !== self).map(peer => [peer.vm, peer]));
			for (const [vm, {peer}] of entries) {
				if (named.get(vm)?.address !== peer.address) {
					remove(vm);
				}
			}

			for (const peer of named.values()) {
				if (!entries.has(peer.vm)) {
					add(peer);
				}
			}

			scheduleDials();
		},
		get: vm => entries.get(vm)?.peer,
		scheduleDials,
		reset(vm) {
			entries.get(vm)?.dialler.reset();
		},
		stop() {
			stopped = true;
			for (const {dialler} of entries.values()) {
				dialler.stop();
			}
		},
	};
};
