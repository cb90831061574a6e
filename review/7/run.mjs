/** After machines were replaced, a new router waits up to 29 s for an answer that an outage of the store has lost, and acts on old state. */
import process from 'node:process';
import {attempt, KEY} from '../stand-ins-3/caller.mjs';
import {createRecord, delay, hasTrouble} from '../stand-ins-3/clock.mjs';
import {configOf} from '../stand-ins-3/config.mjs';
import {startProxy} from '../stand-ins-3/proxy.mjs';
import {replaceMachines} from '../stand-ins-3/replaced.mjs';
import {startRouter, waitUntilReady} from '../stand-ins-3/router.mjs';
import {startStore} from '../stand-ins-3/store.mjs';
import {sendAnswer, startWorker} from '../stand-ins-3/worker.mjs';

const ZONES = ['colombo-a', 'colombo-b', 'negombo-c'];
/** Machines that were replaced since the system first started. */
const REPLACED = Number(process.env.REPLACED ?? 240);
/** Whether only the open channels to the store go silent; else the store gives no answer for a time. */
const onlyChannels = process.env.KIND === 'channels';
const OUTAGE_MS = 5000;
const WORK_MS = 86;
const REVOKED_KEY = 'k7b2ex5wa5xwyhks8nbk';
/** Bounds of the small sites. */
const CONTACT_MS = 3000;
const CONFIG_APPLY_MS = 2000;
const DRAIN_MS = 2000;
/** Allowance for the way of a request; the rules have none. */
const MARGIN_MS = 300;
const WATCH_MS = 22_000;
const PERIOD_MS = 250;

const record = createRecord(import.meta.url);
const note = text => {
	record.note(text);
};

const store = await startStore();
const proxy = await startProxy(store.port);
store.put('op', 'config', configOf(7, {keys: [KEY, REVOKED_KEY]}));
const workers = await Promise.all(ZONES.map(async (zone, index) => startWorker(store, {
	id: `i-ledger-${index}`, service: 'ledger', zone, slots: 6, note, async handle(req, res) {
		await delay(WORK_MS);
		sendAnswer(req, res, 'recorded');
	},
})));
await replaceMachines({
	count: REPLACED, zones: ZONES, storeAddress: proxy.address, hasRegistered: name => store.has('vms', name),
});
record.say(`${REPLACED} machines were replaced, one after the other in each of six places`);
const routers = ZONES.map((zone, index) => startRouter({name: `edge-${zone}-${REPLACED + index + 1}`, zone, storeAddress: proxy.address}));
await Promise.all(routers.map(async router => waitUntilReady(router)));
record.say('the three present machines are ready');
await delay(4000);
if (hasTrouble && onlyChannels) {
	record.say(`${proxy.silence()} open channels to the store go silent for good; new ones work`);
} else if (hasTrouble) {
	proxy.setDown(true);
	record.say(`the store gives no answer for ${OUTAGE_MS} ms; ${proxy.silence()} channels are open`);
	await delay(OUTAGE_MS);
	proxy.setDown(false);
	record.say('the store answers all calls again');
}

await delay(CONTACT_MS + 200);
store.put('op', 'config', configOf(12));
const [leaving] = workers;
leaving.report('draining');
const confirmedMs = Date.now();
record.say(`confirmed by the store: version 12, without key ${REVOKED_KEY}, and ${leaving.id} is draining`);

const seen = [];
const pending = [];
const send = async (router, id, key) => {
	const result = await attempt(router, {
		id, path: '/debit/account', deadlineMs: 3000, key,
	});
	seen.push({...result, router, key});
	note(`${id} sent ${result.sentMs - confirmedMs} ms after the confirmation: ${result.status ?? result.fault ?? 'left at the time limit'}`);
};

/** Sends a request with each key to each router, again and again. */
const watch = async () => {
	for (let count = 1; Date.now() < confirmedMs + WATCH_MS; count++) {
		for (const router of routers) {
			for (const key of [KEY, REVOKED_KEY]) {
				pending.push(send(router, `debit-${router.name}-${key === KEY ? 'held' : 'revoked'}-${count}`, key));
			}
		}

		await delay(PERIOD_MS); // eslint-disable-line no-await-in-loop -- one round after the other
	}
};

await watch();
await Promise.all(pending);
const stale = seen.filter(({key, status, sentMs}) => key === REVOKED_KEY && status === 200 && sentMs > confirmedMs + CONFIG_APPLY_MS + MARGIN_MS);
const drained = leaving.runs.filter(({atMs}) => atMs > confirmedMs + DRAIN_MS + MARGIN_MS);
for (const {name} of routers) {
	const own = stale.filter(({router}) => router.name === name);
	const lastMs = own.length > 0 ? Math.max(...own.map(({sentMs}) => sentMs)) - confirmedMs : 0;
	record.say(`${name}: ${own.length} requests with the revoked key were run too late, the last one sent ${lastMs} ms after the confirmation`);
}

record.say(`CONFIG: ${stale.length} requests sent later than ${CONFIG_APPLY_MS} ms after the confirmation ran with the revoked key`);
record.say(`DRAIN: ${drained.length} requests reached ${leaving.id} later than ${DRAIN_MS} ms after its announcement was confirmed`);
record.write();
process.exit(stale.length > 0 || drained.length > 0 ? 1 : 0);
