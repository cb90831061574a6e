/**
 * Rendezvous hashing (highest random weight). All VMs that know the same candidates pick the
 * same one for a key, and adding or removing a candidate moves only the keys of that candidate.
 */

const FNV_OFFSET = 0x81_1C_9D_C5;
const FNV_PRIME = 0x01_00_01_93;

/* eslint-disable no-bitwise -- a hash works on bits */

/** Returns the FNV-1a hash of a text with a final mixing step, since FNV-1a alone spreads differences in the last bytes poorly. */
export const hash32 = (text: string): number => {
	let hash = FNV_OFFSET;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, FNV_PRIME);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
};

/* eslint-enable no-bitwise */

/** Returns the candidates in order of preference for the key. */
export const rankByRendezvous = (key: string, candidates: readonly string[]): readonly string[] =>
	candidates
		.map(candidate => ({candidate, weight: hash32(`${key}|${candidate}`)}))
		.toSorted((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
		.map(({candidate}) => candidate);

/** Returns the preferred candidate for the key; undefined when there are no candidates. */
export const pickByRendezvous = (key: string, candidates: readonly string[]): string | undefined =>
	rankByRendezvous(key, candidates)[0];
