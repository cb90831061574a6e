/** The links of a mesh: all open links, and for each peer the link that carries its frames (the link in use). */
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {replaces} from './link-choice.js';
import {LinkReplaced} from './link-errors-data.js';
import {type Link} from './link.js';
import {createPendingFrame, type PendingFrame} from './pending-frame.js';
import {type LinkStats, type PeerEvent, type PeerIdentity} from './types.js';

export type LinkInUse = {
	readonly link: Link;
	readonly peer: PeerIdentity;
	/** Parts queued for the next frame to the peer. */
	readonly pending: PendingFrame;
};

export type LinksInUse = {
	/** Adds a new link, so that its frames are counted even if it is never used. */
	readonly track: (link: Link) => void;
	/** Makes a link the one in use after its handshake. Returns `LinkReplaced` if another link to the peer stays in use instead. */
	readonly admit: (link: Link, peer: PeerIdentity) => JackdawwoodError | undefined;
	/** Removes a link that has ended. If it was the link in use, reports its peer as down. */
	readonly retire: (link: Link) => void;
	readonly get: (vm: string) => LinkInUse | undefined;
	readonly inUse: () => Iterable<LinkInUse>;
	readonly vms: () => readonly string[];
	/** Returns all open links, including those in handshake. */
	readonly open: () => Iterable<Link>;
	readonly frames: () => Pick<LinkStats, 'framesSent' | 'framesReceived'>;
};

/** Creates an empty set of links of VM `self`. */
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
