/* eslint-disable camelcase -- the users' protocol and settings write names this way */
/** A zone is taken back after an evacuation while its workers are cold, just after another worker's entry has changed. */
import {setTimeout as delay} from 'node:timers/promises';
import {createCaller, promptHeaders} from '../stand-ins-2/caller.js';
import {
	configOf, HOST_NAME, KEY, mostInWindow, runCase,
} from '../stand-ins-2/platform.js';
import {BOUNDS, createRouter} from '../stand-ins-2/router.js';
import {startStore} from '../stand-ins-2/store.js';
import {startWorker} from '../stand-ins-2/worker.js';

const ZONES = ['colombo-a', 'colombo-b', 'negombo-c'];
const OUT = 'colombo-b';
const COLD_MS = 3000;
const COLD_PER_S = 10;
const LIMIT = (COLD_PER_S * BOUNDS.cold_factor) + BOUNDS.cold_slack;
/** Requests a second to the model workers, all machines together. The sheet of the site names 84 as mean and 143 in a burst. */
const PER_S = 100;
const WARM_UP_MS = 3000;
const EVACUATED_MS = 8000;
/** Milliseconds from the change of another worker's entry, and from the workers' cold entries, to the order that takes the zone back. */
const CHANGE_BEFORE_MS = 250;
const COLD_BEFORE_MS = 200;
const AFTER_MS = 3500;

await runCase('review/8/record.txt', async ({record, folder, isTrouble, atEnd}) => {
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

		record.note(`${id} runs at ${worker.id} in ${worker.zone}${isCold ? ', cold' : ''}`, atMs);
	};

	const workers = await Promise.all([
		...ZONES.flatMap(zone => [1, 2].map(async number => startWorker({
			id: `i-tariff-${zone}-${number}`, service: 'tariff', zone, events: 70, gapMs: 28, onArrival,
		}))),
		...ZONES.map(async zone => startWorker({
			id: `i-ledger-${zone}`, service: 'ledger', zone, slots: 6, isStream: false, onArrival,
		})),
	]);
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
			path: '/tag/1', headers: promptHeaders({out: 490}), onSent(id, atMs) {
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
	if (isTrouble) {
		store.put('op', `evacuate/${OUT}`, {});
		record.note(`evacuation of ${OUT} confirmed`);
	}

	await delay(EVACUATED_MS - CHANGE_BEFORE_MS);
	const added = await startWorker({
		id: 'i-ledger-new', service: 'ledger', zone: ZONES[0], slots: 6, isStream: false, onArrival,
	});
	atEnd(added.close);
	store.put('servers', added.id, added.entry());
	record.note(`${added.id} registers`);
	await delay(CHANGE_BEFORE_MS - COLD_BEFORE_MS);
	for (const worker of workers.filter(({zone, service}) => zone === OUT && service === 'tariff')) {
		coldFrom.set(worker.id, performance.now());
		store.put('servers', worker.id, worker.entry({cold_remaining_ms: COLD_MS}));
		record.note(`${worker.id} is cold for ${COLD_MS} ms; the store has its entry`);
	}

	await delay(COLD_BEFORE_MS);
	if (isTrouble) {
		store.drop('op', `evacuate/${OUT}`);
		record.note(`evacuation of ${OUT} taken back`);
	}

	await delay(AFTER_MS);
	let isBroken = false;
	for (const [id, times] of coldRuns) {
		const most = mostInWindow(times, 1000);
		isBroken ||= most > LIMIT;
		const text = `${id}: ${most} requests in one second while cold; the rule allows ${LIMIT}`;
		record.note(text);
		process.stdout.write(`${text}\n`);
	}

	const ok = ends.filter(({status}) => status === 200).length;
	process.stdout.write(`${ends.length} requests ended, ${ok} with 200\n`);
	return isBroken;
});
