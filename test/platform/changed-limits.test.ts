/** Guards against limits of a new configuration that have no effect until the process starts again. */
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Agent} from 'undici';
import {createLog} from '../../src/runtime/observe/log.js';
import {configOf, startPlatform, until} from './_platform.js';

const limits = {
	max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tokens_per_s: 133_000,
};

/** Starts a platform; `change` puts changed limits in force, and `send` sends a request on one kept connection. */
const start = async (t: ExecutionContext) => {
	const lines: string[] = [];
	const platform = await startPlatform(t, createLog('info', line => {
		lines.push(line);
	}));
	let version = 7;
	const change = async (changes: Partial<typeof limits>): Promise<void> => {
		version++;
		platform.store.put('op', 'config', configOf(version, {limits: {...limits, ...changes}}));
		await until(t, () => lines.some(line => line.includes('configuration in force') && line.includes(`"version":${version},`)), 'the version is in force');
	};

	let connections = 0;
	const createCaller = () => {
		const agent = new Agent({connections: 1, keepAliveTimeout: 60_000, keepAliveTimeoutThreshold: 0});
		agent.on('connect', () => {
			connections++;
		});
		t.teardown(async () => agent.destroy());
		return async ({bodyBytes = 0, headerBytes = 0}) => {
			const {status, headers, body} = await platform.call('/look/a', {
				dispatcher: agent, ...(bodyBytes > 0 && {method: 'POST', body: 'x'.repeat(bodyBytes)}), headers: {'x-note': 'x'.repeat(headerBytes)},
			});
			return {status, retryAfter: headers['retry-after'], reason: /"name":"(?<name>\w+)"/v.exec(body)?.groups?.name};
		};
	};

	return {change, createCaller, connections: () => connections};
};

const OK = {status: 200, retryAfter: undefined, reason: undefined};
const refused = (status: number, reason?: string) => ({status, retryAfter: undefined, reason});

test.serial('a changed limit of bodies holds for the next requests of a kept connection, up and down', async t => {
	const {change, createCaller, connections} = await start(t);
	const send = createCaller();
	t.deepEqual(await send({bodyBytes: 5_000_000}), refused(413, 'BodyTooLarge'));
	await change({max_body_bytes: 8_388_608});
	t.deepEqual(await send({bodyBytes: 5_000_000}), OK);
	const before = connections();
	t.deepEqual(await send({bodyBytes: 100_000}), OK);
	await change({max_body_bytes: 65_536});
	t.deepEqual(await send({bodyBytes: 100_000}), refused(413, 'BodyTooLarge'));
	t.deepEqual(await send({bodyBytes: 60_000}), OK);
	t.is(connections(), before, 'the connection is kept');
});

test.serial('where a limit of bodies is above what the VM can hold, the refusal names memory and permits a retry', async t => {
	const {change, createCaller} = await start(t);
	await change({max_body_bytes: 1_073_741_824});
	const {status, retryAfter, reason} = await createCaller()({bodyBytes: 200_000_000});
	t.is(status, 503);
	t.is(reason, 'VmOutOfMemory');
	t.truthy(retryAfter);
});

test.serial('a raised limit of headers holds for new connections, and kept ones are renewed', async t => {
	const {change, createCaller} = await start(t);
	const [fresh, kept, silent] = [createCaller(), createCaller(), createCaller()];
	t.deepEqual(await kept({}), OK);
	t.deepEqual(await silent({}), OK);
	await change({max_header_bytes: 65_536});
	t.deepEqual(await fresh({headerBytes: 40_000}), OK);
	t.deepEqual(await kept({}), OK);
	t.deepEqual(await kept({headerBytes: 40_000}), OK, 'its connection was renewed after the last response');
	t.deepEqual(await silent({headerBytes: 40_000}), {status: 503, retryAfter: '0', reason: undefined}, 'its connection has the earlier limit');
	t.deepEqual(await silent({headerBytes: 40_000}), OK);
});

test.serial('a lowered limit of headers holds for the next requests of a kept connection', async t => {
	const {change, createCaller, connections} = await start(t);
	const send = createCaller();
	t.deepEqual(await send({headerBytes: 10_000}), OK);
	await change({max_header_bytes: 4096});
	t.deepEqual(await send({headerBytes: 10_000}), refused(431, 'HeadersTooLarge'));
	t.deepEqual(await send({headerBytes: 1000}), OK);
	t.is(connections(), 1, 'the connection is kept');
});

test.serial('a changed idle timeout closes kept connections that are idle for longer', async t => {
	const {change, createCaller, connections} = await start(t);
	const send = createCaller();
	await change({idle_timeout_ms: 300});
	t.deepEqual(await send({}), OK);
	// Node keeps a connection for up to a second longer than it announces.
	await delay(2500);
	t.deepEqual(await send({}), OK);
	t.is(connections(), 2, 'the idle connection was closed');
});

test.serial('headers far above the limit are refused by the parser', async t => {
	const {createCaller} = await start(t);
	t.deepEqual(await createCaller()({headerBytes: 100_000}), refused(431));
});
