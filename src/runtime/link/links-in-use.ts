/** The links of a mesh: all open streams, and of each peer the one in use. */
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {replaces} from './link-choice.js';
import {LinkReplaced} from './link-errors-data.js';
import {type Link} from './link.js';
import {createPendingFrame, type PendingFrame} from './pending-frame.js';
import {type LinkStats, type PeerEvent, type PeerIdentity} from './types.js';

export type LinkInUse = {
	readonly link: Link;
	readonly peer: PeerIdentity;
	/** Parts that wait for the next frame. */
	readonly pending: PendingFrame;
};

export type LinksInUse = {
	/** Counts a stream from its opening, whether or not it comes into use. */
	readonly track: (link: Link) => void;
	/** Puts a link into use after its handshake, or returns why it is not wanted. */
	readonly admit: (link: Link, peer: PeerIdentity) => JackdawwoodError | undefined;
	/** Forgets a link that has ended. */
	readonly retire: (link: Link) => void;
	readonly get: (vm: string) => LinkInUse | undefined;
	readonly inUse: () => Iterable<LinkInUse>;
	readonly vms: () => readonly string[];
	/** All open links, also those in handshake. */
	readonly open: () => Iterable<Link>;
	readonly frames: () => Pick<LinkStats, 'framesSent' | 'framesReceived'>;
};

/** Makes the empty set of links of VM `self`. */
export const createLinksInUse = (self: string, onPeer: (event: PeerEvent) => void): LinksInUse => {
	const open = new Set<Link>();
	const byVm = new Map<string, LinkInUse>();
	let endedSent = 0;
	let endedReceived = 0;

	return {
		track(link) {
			open.add(link);
		},
		admit(link, peer) {
			const {vm, incarnation} = peer;
			const current = byVm.get(vm);
			if (current && !replaces(self, {link, peer}, current)) {
				return new JackdawwoodError(LinkReplaced, {vm});
			}

			const restarted = current !== undefined && current.peer.incarnation !== incarnation;
			byVm.set(vm, {link, peer, pending: current && !restarted ? current.pending : createPendingFrame()});
			if (restarted) {
				current.link.abort(new JackdawwoodError(LinkReplaced, {vm}));
			} else {
				current?.link.supersede();
			}

			if (restarted) {
				onPeer({vm, state: 'down', incarnation: current.peer.incarnation});
			}

			if (!current || restarted) {
				onPeer({vm, state: 'up', incarnation});
			}

			return undefined;
		},
		retire(link) {
			if (open.delete(link)) {
				endedSent += link.framesSent();
				endedReceived += link.framesReceived();
			}

			const peer = link.peer();
			if (peer && byVm.get(peer.vm)?.link === link) {
				byVm.delete(peer.vm);
				onPeer({vm: peer.vm, state: 'down', incarnation: peer.incarnation});
			}
		},
		get: vm => byVm.get(vm),
		inUse: () => byVm.values(),
		vms: () => [...byVm.keys()].toSorted((a, b) => a < b ? -1 : 1),
		open: () => open.values(),
		frames() {
			let framesSent = endedSent;
			let framesReceived = endedReceived;
			for (const link of open) {
				framesSent += link.framesSent();
				framesReceived += link.framesReceived();
			}

			return {framesSent, framesReceived};
		},
	};
};
