/** After machines were replaced, a router sends requests to a worker whose entry was removed for longer than the rule allows. */
import process from 'node:process';
import {attempt} from '../stand-ins-3/caller.mjs';
import {createRecord, delay, hasTrouble} from '../stand-ins-3/clock.mjs';
import {configOf} from '../stand-ins-3/config.mjs';
import {replaceMachines} from '../stand-ins-3/replaced.mjs';
import {startRouter, waitUntilReady} from '../stand-ins-3/router.mjs';
import {startStore} from '../stand-ins-3/store.mjs';
import {sendAnswer, startWorker} from '../stand-ins-3/worker.mjs';

const ZONES = ['colombo-a', 'colombo-b', 'negombo-c'];
/** Machines that were replaced since the system first started. */
const REPLACED = Number(process.env.REPLACED ?? 240);
const WORKERS = 4;
const WORK_MS = 86;
const DRAIN_MS = 2000;
/** Allowance for the way of a request; the rule has none. */
const MARGIN_MS = 20;
const WATCH_MS = 4000;
/** Milliseconds between two debits at each router: 15 a second at all three together, as in the sheet, and more at the moment of the bound. */
const PERIOD_MS = 40;

const record = createRecord(import.meta.url, 'record-removed.txt');
const note = text => {
	record.note(text);
};

const store = await startStore();
store.put('op', 'config', configOf(7));
const workers = await Promise.all(Array.from({length: WORKERS}, async (_, index) => startWorker(store, {
	id: `i-ledger-${index}`, service: 'ledger', zone: ZONES[index % ZONES.length], slots: 6, note, async handle(req, res) {
		await delay(WORK_MS);
		sendAnswer(req, res, 'recorded');
	},
})));
await replaceMachines({
	count: REPLACED, zones: ZONES, storeAddress: store.address, hasRegistered: name => store.has('vms', name),
});
record.say(`${REPLACED} machines were replaced, one after the other in each of six places`);
const routers = ZONES.map((zone, index) => startRouter({name: `edge-${zone}-${REPLACED + index + 1}`, zone, storeAddress: store.address}));
await Promise.all(routers.map(async router => waitUntilReady(router)));
record.say('the three present machines are ready');

const seen = [];
const pending = [];
const sendOne = async (router, id) => {
	const result = await attempt(router, {id, path: '/debit/account', deadlineMs: 3000});
	seen.push(result);
	note(`${id} sent at ${result.sentMs}, took ${result.tookMs} ms: ${result.status ?? result.fault ?? 'left at the time limit'}`);
};

const send = async ms => {
	const endMs = Date.now() + ms;
	while (Date.now() < endMs) {
		for (const router of routers) {
			pending.push(sendOne(router, `debit-${router.name}-${pending.length + 1}`));
		}

		await delay(PERIOD_MS); // eslint-disable-line no-await-in-loop -- one round after the other
	}
};

await send(12_000);
const [leaving] = workers;
if (hasTrouble) {
	store.remove('servers', leaving.id);
}

const removedMs = Date.now();
record.say(hasTrouble ? `the entry of ${leaving.id} is removed; the worker goes on serving` : 'no entry is removed');
await send(WATCH_MS);
await Promise.all(pending);
const after = leaving.runs.map(({atMs}) => atMs - removedMs).filter(ms => ms > 0);
const late = after.filter(ms => ms > DRAIN_MS + MARGIN_MS);
record.say(`${seen.length} debits, ${seen.filter(({status}) => status === 200).length} answered with 200`);
record.say(`DRAIN: ${late.length} requests reached ${leaving.id} later than ${DRAIN_MS} ms after its removal was confirmed, the last one ${Math.max(0, ...after)} ms after it`);
record.write();
process.exit(hasTrouble && late.length > 0 ? 1 : 0);
