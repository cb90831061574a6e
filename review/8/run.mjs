/** Requests that wait for a channel to a worker are not answered at their route's timeout; one that is sent after it is never answered. */
import process from 'node:process';
import {attempt} from '../stand-ins-3/caller.mjs';
import {createRecord, delay, hasTrouble} from '../stand-ins-3/clock.mjs';
import {configOf} from '../stand-ins-3/config.mjs';
import {replaceMachines} from '../stand-ins-3/replaced.mjs';
import {startRouter, waitUntilReady} from '../stand-ins-3/router.mjs';
import {startStore} from '../stand-ins-3/store.mjs';
import {sendAnswer, startWorker} from '../stand-ins-3/worker.mjs';

const ZONES = ['colombo-a', 'colombo-b', 'negombo-c'];
const REPLACED = Number(process.env.REPLACED ?? 40);
const WORK_MS = 86;
/** `timeout_ms` of the route of debits from version 12 on. */
const TIMEOUT_MS = 2000;
/** Time limit of the requesters. */
const DEADLINE_MS = Number(process.env.DEADLINE_MS ?? 3000);
/** Time after a route's timeout within which a request has to have its final answer. */
const LATE_MS = 500;
/** The disturbance: share of the requests that hang, and how long it lasts. */
const HANG_SHARE = 0.45;
const HANG_MS = 6500;
/** Debits a second. */
const PER_S = 15;
/** CONFIG: eight or more, and over a quarter. */
const MIN_LATE = 8;
const LATE_SHARE = 0.25;

const record = createRecord(import.meta.url);
const note = text => {
	record.note(text);
};

let isHanging = false;
let turn = 0;
const store = await startStore();
store.put('op', 'config', configOf(7));
await Promise.all(ZONES.map(async (zone, index) => startWorker(store, {
	id: `i-ledger-${index}`, service: 'ledger', zone, slots: 6, note, async handle(req, res) {
		turn += HANG_SHARE;
		if (isHanging && turn >= 1) {
			turn -= 1;
			note(`worker i-ledger-${index} hangs on ${req.headers['x-attempt-id']}`);
			return;
		}

		await delay(WORK_MS);
		sendAnswer(req, res, 'recorded');
	},
})));
await replaceMachines({
	count: REPLACED, zones: ZONES, storeAddress: store.address, hasRegistered: name => store.has('vms', name),
});
record.say(`${REPLACED} machines were replaced, one after the other in each of six places`);
const router = startRouter({name: `edge-colombo-a-${REPLACED + 1}`, zone: 'colombo-a', storeAddress: store.address});
await waitUntilReady(router);
record.say('the present machine is ready');
await delay(3000);
store.put('op', 'config', configOf(12, {debitMs: TIMEOUT_MS}));
await delay(3000);

const seen = [];
const pending = [];
const sendOne = async id => {
	const result = await attempt(router, {id, path: '/debit/account', deadlineMs: DEADLINE_MS});
	seen.push(result);
	note(`${id} sent at ${result.sentMs}, took ${result.tookMs} ms: ${result.status ?? result.fault ?? 'left at the time limit'}`);
};

const send = async ms => {
	const endMs = Date.now() + ms;
	while (Date.now() < endMs) {
		pending.push(sendOne(`debit-${pending.length + 1}`));
		await delay(1000 / PER_S); // eslint-disable-line no-await-in-loop -- one request after the other
	}
};

await send(3000);
isHanging = hasTrouble;
record.say(isHanging ? `workers hang on ${HANG_SHARE} of their requests for ${HANG_MS} ms` : 'no worker hangs');
await send(HANG_MS);
isHanging = false;
record.say('no worker hangs on a new request any more');
await send(3000);
await Promise.all(pending);
const long = seen.filter(({tookMs}) => tookMs > TIMEOUT_MS);
const late = long.filter(({tookMs, status}) => status === undefined || tookMs > TIMEOUT_MS + LATE_MS);
const answered = seen.filter(({status}) => status === 200);
const left = seen.filter(({hasLeft}) => hasLeft);
record.say(`${seen.length} debits: ${answered.length} answered with 200, ${seen.length - answered.length - left.length} with a failure`);
record.say(`${left.length} debits were not answered when their requesters left after ${DEADLINE_MS} ms`);
record.say(`CONFIG: ${long.length} lasted longer than the route's timeout of ${TIMEOUT_MS} ms, ${late.length} of them had no final answer ${LATE_MS} ms after it`);
record.write();
process.exit(late.length >= MIN_LATE && late.length > long.length * LATE_SHARE ? 1 : 0);
