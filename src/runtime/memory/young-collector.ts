/**
 * Collects the young generation after a number of bytes were read from targets.
 *
 * Each read allocates a buffer outside of V8's heap, which is garbage as soon as it was passed
 * on. V8 sees only its small handle in the young generation, so it waits for the limit of
 * external memory (some 32 MB) and then marks the whole heap while further reads pile up.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes read between collections: one takes about 2 ms, reading this much about 20 ms. */
const COLLECT_EVERY_BYTES = 4_194_304;

type CollectYoung = (options: {readonly type: 'minor'}) => void;

/** The runtime's own function, without a flag on the command line; undefined where there is none. */
const loadCollect = (): CollectYoung | undefined => {
	setFlagsFromString('--expose-gc');
	const collect: unknown = runInNewContext('globalThis.gc');
	return typeof collect === 'function'
		? options => {
			Reflect.apply(collect, undefined, [options]);
		}
		: undefined;
};

/** Returns a function that takes in bytes that were read. */
export const createYoungCollector = (collect = loadCollect(), everyBytes = COLLECT_EVERY_BYTES): ((bytes: number) => void) => {
	let sinceLast = 0;
	return bytes => {
		sinceLast += bytes;
		if (sinceLast >= everyBytes) {
			sinceLast = 0;
			collect?.({type: 'minor'});
		}
	};
};
