/** Seeded pseudo-random numbers: the same seed gives the same sequence. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export type Random = {
	/** Returns a uniformly distributed number of at least 0 and below 1. */
	readonly uniform: () => number;
	/** Returns a uniformly distributed integer from `from` to `to`, both included. */
	readonly int: (from: number, to: number) => number;
	/** Returns an exponentially distributed number with the given mean. */
	readonly exponential: (mean: number) => number;
	/** Returns a random element of a non-empty list. */
	readonly pick: <Item>(items: readonly [Item, ...Item[]]) => Item;
};

/** Creates the generator of one stream; streams of one seed are independent of each other. */
export const createRandom = (seed: number, stream = 0): Random => {
	const rng = xoroshiro128plus((seed * 7919) + stream);
	const int = (from: number, to: number): number => uniformInt(rng, from, to);
	const uniform = (): number => uniformFloat64(rng);
	return {
		int, uniform,
		exponential: mean => -mean * Math.log(1 - uniform()),
		pick: items => items[int(0, items.length - 1)] ?? items[0],
	};
};
