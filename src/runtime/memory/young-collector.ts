/**
 * Collects V8's young generation each time a number of bytes has been read.
 *
 * Each read allocates a buffer outside of V8's heap, which is garbage as soon as it was passed
 * on. In the young generation V8 counts only the small handle of the buffer. Without these
 * collections it would collect only at the limit of external memory (some 32 MB). It would then
 * mark the whole heap, while further reads accumulate.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes read between collections. A collection takes about 2 ms, reading this much about 20 ms. */
const COLLECT_EVERY_BYTES = 4_194_304;

type CollectYoung = (options: {readonly type: 'minor'}) => void;

/** Returns V8's `gc` function without a command-line flag for it, or undefined if the runtime has none. */
const loadCollect = (): CollectYoung | undefined => {
	setFlagsFromString('--expose-gc');
	const collect: unknown = runInNewContext('globalThis.gc');
	return typeof collect === 'function'
		? options => {
			Reflect.apply(collect, undefined, [options]);
		}
		: undefined;
};

/** Returns a function to be called with the number of bytes of each read; it collects after every `everyBytes`. */
export const createYoungCollector = (load = loadCollect, everyBytes = COLLECT_EVERY_BYTES): ((bytes: number) => void) => {
	let sinceLast = 0;
	let isLoaded = false;
	let collect: CollectYoung | undefined;
	return bytes => {
		sinceLast += bytes;
		if (sinceLast >= everyBytes) {
			sinceLast = 0;
			// Loading creates a context, which a process that reads little never needs.
			collect = isLoaded ? collect : load();
			isLoaded = true;
			collect?.({type: 'minor'});
		}
	};
};
