/* eslint camelcase: off -- names of the platform's messages */
/** Stand-in of the platform's metadata store: rows in tables, one version counter for all, and feeds of changes. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import {json} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';

/** Milliseconds that an answer takes. */
const ANSWER_MS = 4;
const MAX_ROWS = 500;
/** Tables that the system may not write to. */
const FOREIGN_TABLES = new Set(['op', 'servers']);

const encode = value => Buffer.from(JSON.stringify(value)).toString('base64');
const compareKeys = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

export const startStore = async () => {
	const rows = new Map();
	const waiting = new Set();
	let version = 0;
	/** Number of times that the store has come back from an older copy. */
	let era = 0;
	let copy;
	let isAway = false;
	const startMs = performance.now();

	const idOf = ({table, part = '', key}) => JSON.stringify([table, part, key]);
	const wake = () => {
		for (const check of waiting) {
			check();
		}
	};

	const commit = changes => {
		version++;
		for (const {table, part = '', key, value} of changes) {
			rows.set(idOf({table, part, key}), {
				table, part, key, value, schema_version: version,
			});
		}

		wake();
	};

	const toWire = row => row.value === undefined ? {...row, deleted: true} : row;
	const header = () => ({schema_version: version, now_ms: Math.round(performance.now() - startMs)});
	const send = (res, status, body) => {
		res.writeHead(status, {'content-type': 'application/json', 'store-era': String(era)}).end(JSON.stringify(body));
	};

	const get = (res, query) => {
		const [table, part, from, to] = ['table', 'part', 'from', 'to'].map(name => query.get(name) ?? '');
		const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
		const found = [...rows.values()].filter(row => row.table === table && row.part === part && row.value !== undefined && row.key >= from && (to === '' || row.key < to)).toSorted(compareKeys);
		send(res, 200, {rows: found.slice(0, limit), has_more: found.length > limit, ...header()});
	};

	const feed = (res, query) => {
		const after = Number(query.get('after_revision'));
		if (after > version) {
			send(res, 410, {});
			return;
		}

		const changed = () => [...rows.values()].filter(row => row.table === query.get('table') && row.schema_version > after).toSorted((a, b) => a.schema_version - b.schema_version);
		const finish = () => {
			waiting.delete(check);
			clearTimeout(timer);
			send(res, 200, {rows: changed().map(row => toWire(row)), ...header()});
		};

		const check = () => {
			if (changed().length > 0) {
				finish();
			}
		};

		const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms') ?? 0)));
		waiting.add(check);
		res.once('close', () => {
			waiting.delete(check);
			clearTimeout(timer);
		});
		check();
	};

	const transact = async (req, res) => {
		const {expected_revision: expected = [], write = [], remove = []} = await json(req);
		if ([...write, ...remove].some(({table}) => FOREIGN_TABLES.has(table))) {
			send(res, 403, {});
			return;
		}

		const current = row => {
			const known = rows.get(idOf(row));
			return known?.value === undefined ? 0 : known.schema_version;
		};

		if (expected.some(row => current(row) !== row.schema_version)) {
			send(res, 412, {rows: expected.flatMap(row => rows.get(idOf(row)) ?? []), ...header()});
			return;
		}

		commit([...write, ...remove.map(row => ({...row, value: undefined}))]);
		send(res, 200, header());
	};

	const serve = async (req, res) => {
		await delay(ANSWER_MS);
		if (isAway) {
			send(res, 503, {});
			return;
		}

		const {pathname, searchParams} = new URL(req.url, 'http://store');
		switch (pathname) {
			case '/v1/rows-get': {
				get(res, searchParams);
				break;
			}

			case '/v1/rows-feed': {
				feed(res, searchParams);
				break;
			}

			case '/v1/rows-tx': {
				await transact(req, res);
				break;
			}

			default: {
				send(res, 404, {});
			}
		}
	};

	const server = http.createServer(serve);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Writes a row as the operator or a worker does. */
		put(table, key, value) {
			commit([{table, key, value: encode(value)}]);
		},
		/** Writes a worker's entry of which only the sequence number has changed: no change for feeds. */
		beat(key, value) {
			const row = rows.get(idOf({table: 'servers', key}));
			if (row) {
				row.value = encode(value);
			}
		},
		/** Removes a row, as the store does with the entry of a worker that is silent for three heartbeats. */
		drop(table, key) {
			commit([{table, key}]);
		},
		/** Keeps a copy of the present state, to which `restore` goes back. */
		keepCopy() {
			copy = {rows: new Map([...rows].map(([id, row]) => [id, {...row}])), version};
		},
		/** Turns all calls away until `restore`; the calls that wait end without an answer. */
		leave() {
			isAway = true;
			server.closeAllConnections();
		},
		/** Comes back from the copy: later writes are gone, and their versions are given out again. */
		restore() {
			isAway = false;
			era++;
			version = copy.version;
			rows.clear();
			for (const [id, row] of copy.rows) {
				rows.set(id, row);
			}
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
