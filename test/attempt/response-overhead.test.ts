/** Guards against connections that are closed under a sound response, however it is chunked, and against bytes that are read without end. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {createResponseOverhead} from '../../src/core/attempt/response-overhead.js';
import {listen} from '../../src/runtime/entry/listen.js';
import {createMeteredPool} from '../../src/runtime/http/metered-pool.js';

const READ_BYTES = 65_536;
/** Bytes of a connection that are read before the parser has found the bodies in them. */
const UNPARSED_BYTES = 131_072;
const RUNS = {seed: 53, numRuns: 200} as const;

test('a response is never too long for its chunks, their extensions up to ten bytes, and a head of 16 KB', t => {
	t.notThrows(() => {
		fc.assert(fc.property(
			fc.array(fc.record({body: fc.integer({min: 1, max: 200_000}), extension: fc.integer({min: 0, max: 10})}), {maxLength: 400}),
			fc.integer({min: 20, max: 16_384}),
			fc.integer({min: 0, max: UNPARSED_BYTES}),
			(chunks, headBytes, unparsed) => {
				const overhead = createResponseOverhead();
				overhead.begin(1_000_000);
				let read = 1_000_000 + headBytes;
				for (const {body, extension} of chunks) {
					read += body + extension + body.toString(16).length + 4;
					overhead.recordBody(body);
					if (overhead.isTooLarge(read + unparsed)) {
						return false;
					}
				}

				return true;
			},
		), RUNS);
	});
});

test('bytes that belong to no body are too many after a few reads, whatever the body before them had', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 0, max: 10_000}), bodyBytes => {
			const overhead = createResponseOverhead();
			overhead.begin(0);
			overhead.recordBody(bodyBytes);
			const reads = Array.from({length: 10}, (_, index) => bodyBytes + ((index + 1) * READ_BYTES));
			return reads.some(read => overhead.isTooLarge(read));
		}), RUNS);
	});
});

/** Reads a response with pauses; resolves to the number of its bytes. */
const readSlowly = async (address: string): Promise<number> => {
	const pool = createMeteredPool(`http://${address}`, {});
	const res = await pool.request({method: 'GET', path: '/'});
	let read = 0;
	for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
		read += chunk.length;
		await delay(5);
	}

	await pool.destroy();
	return read;
};

for (const headers of [{'content-length': '3000000'}, {'transfer-encoding': 'chunked'}, {connection: 'close'}]) {
	test(`a long response that is read slowly is read whole: ${JSON.stringify(headers)}`, async t => {
		const server = createServer((_, res) => {
			res.useChunkedEncodingByDefault = 'transfer-encoding' in headers;
			res.writeHead(200, headers).end('x'.repeat(3_000_000));
		});
		t.teardown(() => server.close());
		t.is(await readSlowly(await listen(server, {host: '127.0.0.1', port: 0})), 3_000_000);
	});
}

test('each response of a connection has its own allowance', t => {
	const overhead = createResponseOverhead();
	overhead.begin(0);
	t.true(overhead.isTooLarge(1_000_000));
	overhead.begin(1_000_000);
	t.false(overhead.isTooLarge(1_000_000 + UNPARSED_BYTES));
});
