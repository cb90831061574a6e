import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {startPlatform} from './_platform.js';

const CALLERS = 300;
/** Milliseconds for which the callers' process counts its open connections, and for which this process accepts none. */
const COUNT_MS = 700;
const STALL_MS = 1500;

test('a VM whose event loop is blocked lets few connections queue, so that callers it accepts later have not given up', async t => {
	const {address} = await startPlatform(t);
	const callers = fork(fileURLToPath(new URL('../entry/_connect-process.js', import.meta.url)), [address.split(':')[1] ?? '', String(CALLERS), String(COUNT_MS)], {execArgv: []});
	await once(callers, 'spawn');
	const endMs = performance.now() + STALL_MS;
	while (performance.now() < endMs) {
		// Blocks the event loop.
	}

	const [open] = await once(callers, 'message') as [number]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- from `_connect-process.ts`
	t.true(open > 0 && open < 100, `${open} of ${CALLERS} connections are queued`);
});
