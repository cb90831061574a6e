/** Chooses the target of a request among those with a usable slot. */
import {createHash} from 'node:crypto';
import {type MemberSlots} from '../../core/dispatch/member-slots.js';
import {type DispatchRequest} from '../../core/dispatch/types.js';

const score = (prefixHash: number, target: string): number =>
	createHash('sha1').update(`${prefixHash} ${target}`).digest().readUInt32BE(0);

/**
 * Returns the target of a request. Requests with the same prefix go to the same target, by
 * rendezvous hashing over the targets with a usable slot. The number of its slots limits the load
 * of that target. A request without a prefix goes to the target with the most idle slots.
 */
export const chooseTarget = (request: DispatchRequest, candidates: readonly MemberSlots[]): MemberSlots => {
	const {prefixHash} = request;
	const rank = prefixHash === undefined
		? (slots: MemberSlots) => slots.idle
		: (slots: MemberSlots) => score(prefixHash, slots.target);
	let [best] = candidates;
	for (const candidate of candidates) {
		if (best && rank(candidate) > rank(best)) {
			best = candidate;
		}
	}

	if (!best) {
		throw new RangeError('No target with a usable slot to choose from.');
	}

	return best;
};
