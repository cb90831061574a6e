/** Chooses between two streams with the same VM, such that both sides keep the same one. */
import {type Link} from './link.js';
import {type PeerIdentity} from './types.js';

export type Candidate = {
	readonly link: Pick<Link, 'dialledBy'>;
	readonly peer: PeerIdentity;
};

const diallerOf = (self: string, {link, peer}: Candidate): string => link.dialledBy === 'self' ? self : peer.vm;

/**
 * Returns whether the newer stream replaces the one in use: if the peer has restarted, the
 * same VM dialled both, or the VM with the smaller id dialled the newer one.
 */
export const replaces = (self: string, newer: Candidate, inUse: Candidate): boolean => {
	if (newer.peer.incarnation !== inUse.peer.incarnation) {
		return true;
	}

	return diallerOf(self, newer) <= diallerOf(self, inUse);
};
