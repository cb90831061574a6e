/* eslint-disable camelcase -- the users' protocol and settings write names this way */
/**
 * Stand-in of the platform's store as PROTOCOL.md describes it: rows in tables, one version counter, feeds that wait
 * for changes, transactions under conditions. A conditional or plain write may be done without an answer.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {listen, readAll} from './net.js';

/** Starts the store; `answerMs` is the time of each answer. */
export const startStore = async ({answerMs = 4} = {}) => {
	const rows = new Map();
	const waiting = new Set();
	let version = 0;
	let era = 0;
	let copy;
	/** Decides whether the answer of a write is lost. */
	let losesAnswer = () => false;
	/** Decides, by the remote port of a call's channel, whether the call is turned away. */
	const state = {answerMs, refuses: () => false};

	const write = (table, key, value) => {
		version++;
		rows.set(`${table}\0${key}`, {
			table, key, value, version,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	const changed = (table, after) => [...rows.values()].filter(row => row.table === table && row.version > after).toSorted((a, b) => a.version - b.version);
	const toWire = ({table, key, value, version: at}) => ({
		table, part: '', key, schema_version: at, ...(value === undefined ? {deleted: true} : {value}),
	});
	const send = (res, status, body) => {
		setTimeout(() => {
			if (!res.destroyed) {
				res.writeHead(status, {'content-type': 'application/json', 'store-era': String(era)}).end(JSON.stringify(body));
			}
		}, state.answerMs);
	};

	const sendRows = (res, found) => {
		send(res, 200, {
			rows: found.map(row => toWire(row)), has_more: false, schema_version: version, now_ms: Math.round(performance.now()),
		});
	};

	const feed = (res, query) => {
		const table = query.get('table') ?? '';
		const after = Number(query.get('after_revision'));
		if (after > version) {
			send(res, 410, {});
			return;
		}

		const finish = () => {
			waiting.delete(wake);
			clearTimeout(timer);
			sendRows(res, changed(table, after));
		};

		const wake = () => {
			if (changed(table, after).length > 0) {
				finish();
			}
		};

		const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms'))));
		waiting.add(wake);
		res.once('close', () => {
			waiting.delete(wake);
			clearTimeout(timer);
		});
		wake();
	};

	const transact = async (req, res) => {
		const body = await readAll(req);
		const {expected_revision: expected = [], write: writes = [], remove = []} = JSON.parse(body.toString());
		const isExpected = expected.every(({table, key, schema_version: at}) => {
			const row = rows.get(`${table}\0${key}`);
			return (row?.value === undefined ? 0 : row.version) === at;
		});
		if (!isExpected) {
			send(res, 412, {rows: expected.flatMap(({table, key}) => rows.get(`${table}\0${key}`) ?? []).map(row => toWire(row))});
			return;
		}

		for (const {table, key, value} of writes) {
			write(table, key, value);
		}

		for (const {table, key} of remove) {
			write(table, key, undefined);
		}

		if (!losesAnswer(writes)) {
			send(res, 200, {schema_version: version, now_ms: Math.round(performance.now())});
		}
	};

	const server = http.createServer((req, res) => {
		const {pathname, searchParams} = new URL(req.url, 'http://store');
		if (state.refuses(req)) {
			req.resume();
			send(res, 503, {});
		} else {
			switch (pathname) {
				case '/v1/rows-get': {
					sendRows(res, changed(searchParams.get('table') ?? '', -1).filter(({value}) => value !== undefined).toSorted((a, b) => a.key < b.key ? -1 : 1));

					break;
				}

				case '/v1/rows-feed': {
					feed(res, searchParams);

					break;
				}

				case '/v1/rows-tx': {
					transact(req, res);

					break;
				}

				default: {
					req.resume();
					send(res, 404, {});
				}
			}
		}
	});
	const address = await listen(server);
	return {
		address,
		/** Writes a row as operators and workers do. */
		put(table, key, value) {
			write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		drop(table, key) {
			write(table, key, undefined);
		},
		rowsOf: table => changed(table, -1).filter(({value}) => value !== undefined).map(({key, value}) => [key, Buffer.from(value, 'base64').toString()]),
		keepCopy() {
			copy = {rows: new Map(rows), version};
		},
		/** Goes back to the copy; channels are closed, as by the store's restart. */
		restoreCopy() {
			era++;
			version = copy.version;
			rows.clear();
			for (const [key, row] of copy.rows) {
				rows.set(key, row);
			}

			server.closeAllConnections();
		},
		setAnswerMs(ms) {
			state.answerMs = ms;
		},
		setLosesAnswer(decide) {
			losesAnswer = decide;
		},
		setRefuses(decide) {
			state.refuses = decide;
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
