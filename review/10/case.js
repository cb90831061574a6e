/* eslint-disable camelcase -- the users' protocol and settings write names this way */
/** The store comes back from a copy that is older than the entry in which a worker says that it is cold. */
import {setTimeout as delay} from 'node:timers/promises';
import {createCaller, promptHeaders} from '../stand-ins-2/caller.js';
import {
	configOf, HOST_NAME, KEY, mostInWindow, runCase,
} from '../stand-ins-2/platform.js';
import {BOUNDS, createRouter} from '../stand-ins-2/router.js';
import {startStore} from '../stand-ins-2/store.js';
import {startWorker} from '../stand-ins-2/worker.js';

const ZONES = ['colombo-a', 'colombo-b', 'negombo-c'];
const COLD_MS = 3000;
const COLD_PER_S = 10;
const LIMIT = (COLD_PER_S * BOUNDS.cold_factor) + BOUNDS.cold_slack;
const PER_S = 120;
const WARM_UP_MS = 3000;
/** Milliseconds from the copy, and from the store's absence, to the worker's cold entry, and length of the absence. */
const COPY_BEFORE_MS = 2000;
const AWAY_AFTER_MS = 100;
const AWAY_MS = 400;
const HEARTBEAT_MS = 1200;
const AFTER_MS = 4000;

await runCase('review/10/record.txt', async ({record, folder, isTrouble, atEnd}) => {
	const store = await startStore();
	atEnd(store.close);
	const coldFrom = new Map();
	const coldRuns = new Map();
	const onArrival = (worker, {atMs, id}) => {
		const fromMs = coldFrom.get(worker.id) ?? Infinity;
		const isCold = atMs >= fromMs && atMs < fromMs + COLD_MS;
		if (isCold) {
			coldRuns.set(worker.id, [...coldRuns.get(worker.id) ?? [], atMs]);
		}

		record.note(`${id} runs at ${worker.id}${isCold ? ', cold' : ''}`, atMs);
	};

	const tariff = {
		service: 'tariff', events: 20, gapMs: 20, onArrival,
	};
	const workers = await Promise.all(ZONES.map(async zone => startWorker({...tariff, id: `i-tariff-${zone}`, zone})));
	atEnd(() => workers.map(worker => worker.close()));
	store.put('op', 'config', configOf(7));
	for (const worker of workers) {
		store.put('servers', worker.id, worker.entry());
	}

	const routers = await Promise.all(ZONES.map(async (zone, index) => createRouter({
		name: `edge-${zone}-${index + 1}`, zone, store: store.address, folder,
	})));
	atEnd(async () => Promise.all(routers.map(async router => router.end())));
	for (const router of routers) {
		router.start();
	}

	await Promise.all(routers.map(async router => router.untilReady()));
	await delay(2500);
	const callers = routers.map(({callers: address}) => createCaller({host: HOST_NAME, key: KEY, address}));
	atEnd(() => callers.map(caller => caller.close()));

	const ends = [];
	let sent = 0;
	const send = async () => {
		const caller = callers[sent % callers.length];
		sent++;
		const end = await caller.send({
			path: '/tag/1', headers: promptHeaders({out: 140}), onSent(id, atMs) {
				record.note(`${id} sent`, atMs);
			},
		});
		ends.push(end);
		record.note(`${end.id} answered ${end.status}${end.fault ? ` ${end.fault}` : ''}`, end.endMs);
	};

	const traffic = setInterval(() => {
		send();
	}, 1000 / PER_S);
	atEnd(() => {
		clearInterval(traffic);
	});

	await delay(WARM_UP_MS);
	store.keepCopy();
	record.note('state of the copy');
	await delay(COPY_BEFORE_MS);
	const cold = workers.find(({zone}) => zone === ZONES[1]);
	const coldMs = performance.now();
	coldFrom.set(cold.id, coldMs);
	const writeEntry = () => {
		const leftMs = Math.max(0, Math.round(coldMs + COLD_MS - performance.now()));
		store.put('servers', cold.id, cold.entry({cold_remaining_ms: leftMs}));
		record.note(`${cold.id} writes that it is cold for ${leftMs} ms`);
	};

	writeEntry();
	const heartbeats = setInterval(writeEntry, HEARTBEAT_MS);
	atEnd(() => {
		clearInterval(heartbeats);
	});
	await delay(AWAY_AFTER_MS);
	if (isTrouble) {
		store.setRefuses(() => true);
		record.note('store away');
		await delay(AWAY_MS);
		store.restoreCopy();
		store.setRefuses(() => false);
		record.note('store back from the copy, with a new era');
	}

	await delay(AFTER_MS);
	const most = mostInWindow(coldRuns.get(cold.id) ?? [], 1000);
	const text = `${cold.id}: ${most} requests in one second while cold; the rule allows ${LIMIT}`;
	record.note(text);
	process.stdout.write(`${text}\n${ends.length} requests ended, ${ends.filter(({status}) => status === 200).length} with 200\n`);
	return most > LIMIT;
});
