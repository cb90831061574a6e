/** Guards against responses whose target stopped in the middle of their head and that callers get as whole ones, and against cut answers of the store that read as empty tables. */
import net from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {readTable} from '../../src/runtime/store/read-table.js';
import {grantingScheduler, startTestEntry} from '../entry/_entry.js';
import {startWorksStore} from '../../standins/works/works-store.js';
import {clientOf} from './_fleet-source.js';
import {
	everyCut, pathOf, startCuttingTarget, type Cut,
} from './_cutting-target.js';
import {startPlatform} from './_platform.js';

/** Requests at a time: few enough that the connections to the target are used again. */
const AT_ONCE = 4;

/** Makes the calls of all cuts; returns those that got a success, with what they got. */
const successesOf = async (cuts: readonly Cut[], call: (cut: Cut) => Promise<{readonly status: number; readonly body: string}>): Promise<readonly string[]> => {
	const successes: string[] = [];
	const waiting = [...cuts];
	await Promise.all(Array.from({length: AT_ONCE}, async () => {
		for (let cut = waiting.shift(); cut; cut = waiting.shift()) {
			const {status, body} = await call(cut); // eslint-disable-line no-await-in-loop
			if (status < 400) {
				successes.push(`${pathOf(cut)}: ${status} ${body}`);
			}
		}
	}));
	return successes;
};

for (const [route, isAfterWhole] of [['debit', false], ['debit', true], ['chat', false], ['chat', true]] as const) {
	test(`no caller gets a success when a target ends in the middle of a response's head: route ${route}, ${isAfterWhole ? 'after a whole response on the connection' : 'first response'}`, async t => {
		const platform = await startPlatform(t);
		const address = await startCuttingTarget(t);
		for (const target of [...platform.models, ...platform.ledgers]) {
			platform.store.drop('servers', target.id);
		}

		await delay(1100);
		for (const service of ['tariff', 'ledger']) {
			platform.store.put('servers', `cut-${service}`, {
				service, address, zone: 'dc-a', version: 'v1', slots: 400, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
			});
		}

		await delay(1200);
		const call = async (path: string) => platform.call(`/${route}/${path}`, {method: 'POST', body: '{}'});
		t.deepEqual(await successesOf(everyCut(), async cut => {
			if (isAfterWhole) {
				await call('whole');
			}

			return call(pathOf(cut));
		}), []);
		t.like(await call('whole'), {status: 200, body: 'done'});
	});
}

test('no caller of the product\'s own protocol gets a success when a target ends in the middle of a response\'s head', async t => {
	const address = await startCuttingTarget(t);
	const {call} = await startTestEntry(t, {scheduler: grantingScheduler(() => address)});
	t.deepEqual(await successesOf(everyCut(), async cut => {
		const {statusCode, body} = await call(`/services/ledger/${pathOf(cut)}`, {body: '{}'});
		return {status: statusCode, body: await body.text()};
	}), []);
});

test('an answer of the store that ends anywhere before its end reads as no table', async t => {
	const store = await startWorksStore();
	t.teardown(async () => store.close());
	store.put('servers', 'a', {});
	const body = JSON.stringify({
		rows: [], has_more: false, schema_version: 7, now_ms: 0,
	});
	const heads = [`content-length: ${body.length}\r\n`, ''].map(field => `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${field}\r\n`);
	for (const text of [...heads.map(head => head + body), `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`]) {
		let bytes = 0;
		const server = net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.end(text.slice(0, bytes));
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening'); // eslint-disable-line no-await-in-loop
		const bound = server.address();
		const client = clientOf({...store, address: `127.0.0.1:${typeof bound === 'object' ? bound?.port ?? 0 : 0}`});
		const lastByte = text.includes('chunked') ? text.indexOf('0\r\n\r\n') : text.length;
		for (; bytes < lastByte; bytes += 2) {
			const read = await readTable(client, 'servers'); // eslint-disable-line no-await-in-loop
			t.is(read.kind, 'unavailable', `${bytes} of ${text.length} bytes`);
		}

		bytes = text.length;
		const whole = await readTable(client, 'servers'); // eslint-disable-line no-await-in-loop
		t.is(whole.kind, 'table');
		await client.close(); // eslint-disable-line no-await-in-loop
		server.close();
	}
});
