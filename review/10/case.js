/* eslint-disable camelcase -- the users' protocol and settings write names this way */
/** All processes of the system are killed and restarted while the store is down. When the store is back, a worker that was just added is cold. */
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
const PER_S = 100;
const WARM_UP_MS = 3000;
/** Milliseconds for which the store turns all calls away, from then to the kill, and from the kill to the restart. */
const STORE_DOWN_MS = 4500;
const KILL_AFTER_MS = 3600;
const DOWN_MS = 500;
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
	const workers = await Promise.all([ZONES[0], ZONES[2]].map(async zone => startWorker({...tariff, id: `i-tariff-${zone}`, zone})));
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
	const added = await startWorker({...tariff, id: 'i-tariff-new', zone: ZONES[1]});
	atEnd(added.close);
	if (isTrouble) {
		store.setRefuses(() => true);
		record.note('store down: it answers all calls with 503');
	}

	await delay(KILL_AFTER_MS);
	if (isTrouble) {
		await Promise.all(routers.map(async router => router.end()));
		record.note('all routers killed');
		await delay(DOWN_MS);
		for (const router of routers) {
			router.start();
		}

		record.note('all routers started');
	}

	await delay(STORE_DOWN_MS - KILL_AFTER_MS - (isTrouble ? DOWN_MS : 0));
	store.setRefuses(() => false);
	record.note('store up');
	coldFrom.set(added.id, performance.now());
	store.put('servers', added.id, added.entry({cold_remaining_ms: COLD_MS}));
	record.note(`${added.id} registers, cold for ${COLD_MS} ms`);
	await delay(AFTER_MS);
	const most = mostInWindow(coldRuns.get(added.id) ?? [], 1000);
	const text = `${added.id}: ${most} requests in one second while cold; the rule allows ${LIMIT}`;
	record.note(text);
	process.stdout.write(`${text}\n${ends.length} requests ended, ${ends.filter(({status}) => status === 200).length} with 200\n`);
	return most > LIMIT;
});
