/** A stand-in of the platform's metadata store: rows, transactions and the feed of changes, as PROTOCOL.md describes them. */
/* eslint-disable camelcase -- names of the platform's protocol */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {delay} from './clock.mjs';

const ANSWER_MS = 4;
const PAGE_ROWS = 500;
const MAX_WAIT_MS = 30_000;

const readBody = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

const send = (res, status, value) => {
	const body = JSON.stringify(value);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	res.end(body);
};

class Rows {
	#version = 1;
	#startMs = Date.now();
	#rows = new Map();
	#waiting = new Set();

	stamp() {
		return {schema_version: this.#version, now_ms: Date.now() - this.#startMs};
	}

	/** Writes a row, or removes it if there is no value. */
	set(table, key, value) {
		this.#version++;
		this.#rows.set(`${table}/${key}`, {
			table, part: '', key, schema_version: this.#version, ...(value === undefined ? {deleted: true} : {value: Buffer.from(value).toString('base64')}),
		});
		for (const wake of this.#waiting) {
			wake();
		}
	}

	has(table, key) {
		return this.#rows.get(`${table}/${key}`)?.value !== undefined;
	}

	page({table, from = '', limit = PAGE_ROWS}) {
		const found = [...this.#rows.values()].filter(row => row.table === table && !row.deleted && row.key >= from).toSorted((a, b) => a.key < b.key ? -1 : 1);
		return {rows: found.slice(0, limit), has_more: found.length > limit, ...this.stamp()};
	}

	changes(table, after) {
		return [...this.#rows.values()].filter(row => row.table === table && row.schema_version > after).toSorted((a, b) => a.schema_version - b.schema_version);
	}

	/** Resolves once the table has changed, after the time limit, or when the caller has left. */
	async waitForChange({table, after, waitMs, socket}) {
		await new Promise(resolve => {
			const end = () => {
				clearTimeout(timer);
				this.#waiting.delete(check);
				resolve();
			};

			const check = () => {
				if (this.changes(table, after).length > 0) {
					end();
				}
			};

			const timer = setTimeout(end, waitMs);
			this.#waiting.add(check);
			socket.once('close', end);
			check();
		});
	}

	transact({expected_revision: expected = [], write = [], remove = []}) {
		const isAsExpected = expected.every(({table, key, schema_version: version}) => {
			const row = this.#rows.get(`${table}/${key}`);
			return (row && !row.deleted ? row.schema_version : 0) === version;
		});
		if (!isAsExpected) {
			return 412;
		}

		for (const {table, key, value} of write) {
			this.set(table, key, Buffer.from(value, 'base64'));
		}

		for (const {table, key} of remove) {
			this.set(table, key);
		}

		return 200;
	}
}

/** Starts a store on a loopback address. */
export const startStore = async () => {
	const rows = new Rows();
	const server = http.createServer(async (req, res) => {
		const {pathname, searchParams: query} = new URL(req.url, 'http://store');
		const body = await readBody(req);
		await delay(ANSWER_MS);
		switch (pathname) {
			case '/v1/rows-get': {
				send(res, 200, rows.page({table: query.get('table'), from: query.get('from') ?? '', limit: Number(query.get('limit') ?? PAGE_ROWS)}));
				break;
			}

			case '/v1/rows-feed': {
				const [table, after] = [query.get('table'), Number(query.get('after_revision'))];
				await rows.waitForChange({
					table, after, waitMs: Math.min(MAX_WAIT_MS, Number(query.get('wait_ms') ?? 0)), socket: req.socket,
				});
				send(res, 200, {rows: rows.changes(table, after), ...rows.stamp()});
				break;
			}

			case '/v1/rows-tx': {
				const status = rows.transact(JSON.parse(body));
				send(res, status, {...(status === 412 && {rows: []}), ...rows.stamp()});
				break;
			}

			default: {
				send(res, 404, {});
			}
		}
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: server.address().port,
		address: `127.0.0.1:${server.address().port}`,
		put(table, key, value) {
			rows.set(table, key, JSON.stringify(value));
		},
		remove(table, key) {
			rows.set(table, key);
		},
		has: (table, key) => rows.has(table, key),
	};
};
