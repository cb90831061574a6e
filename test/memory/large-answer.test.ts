/** Guards against a process that grows by the length of a large response of a plain target while it forwards the response. */
import test from 'ava';
import {request} from 'undici';
import {HOST} from '../platform/_platform.js';
import {startBigTarget} from './_big-target.js';
import {startRouterProcess} from './_router-process.js';

const RESPONSE_BYTES = 67_000_000;
/** MB by which the peak may grow: socket buffers, and a few megabytes of garbage between garbage collections. */
const MAX_GROWTH_MB = 24;

test.serial('a response of 64 MB that is read as fast as it arrives grows the process by a small share of its length', async t => {
	const target = await startBigTarget(t);
	const router = await startRouterProcess(t, {targets: {l1: target.address}});
	const call = async (bytes: number, id: string) => {
		const {statusCode, body} = await request(`http://${router.callers}/look/${bytes}`, {headers: {host: HOST, 'x-attempt-id': id, 'x-deadline-ms': '4000'}});
		let size = 0;
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			size += chunk.length;
		}

		return {statusCode, size};
	};

	t.deepEqual(await call(1000, 'warm'), {statusCode: 200, size: 1000});
	const before = router.residentMb();
	const startMs = performance.now();
	t.deepEqual(await call(RESPONSE_BYTES, 'large'), {statusCode: 200, size: RESPONSE_BYTES});
	const growth = router.peakMb() - before;
	t.log(`before ${before.toFixed(1)} MB, peak ${router.peakMb().toFixed(1)} MB, grown by ${growth.toFixed(1)} MB in ${Math.round(performance.now() - startMs)} ms`);
	t.true(growth <= MAX_GROWTH_MB, `${growth.toFixed(1)} MB`);
});
