/** Chooses between two streams to the same VM, such that both VMs keep the same stream. */
import {type Link} from './link.js';
import {type PeerIdentity} from './types.js';

export type Candidate = {
	readonly link: Pick<Link, 'dialledBy'>;
	readonly peer: PeerIdentity;
};

const diallerOf = (self: string, {link, peer}: Candidate): string => link.dialledBy === 'self' ? self : peer.vm;

/**
 * Returns whether the newer stream replaces the one in use. It does if the peer has restarted,
 * if the same VM dialled both streams, or if the VM with the smaller id dialled the newer stream.
 */
export const replaces = (self: string, newer: Candidate, inUse: Candidate): boolean => {
	if (newer.peer.incarnation !== inUse.peer.incarnation) {
		return true;
	}

	return diallerOf(self, newer) <= diallerOf(self, inUse);
};
