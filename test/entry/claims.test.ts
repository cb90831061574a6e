import test, {type ExecutionContext} from 'ava';
import {type Dispatcher} from 'undici';
import * as z from 'zod';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';
import {startPlatform} from '../../standins/platform/platform.js';
import {platformSettingsSchema} from '../../standins/platform/settings.js';
import {RefusalError} from '../../src/core/errors/refusal-error.js';
import {QueueFull} from '../../src/core/errors/refusals-data.js';
import {createTableClaims} from '../../src/runtime/claims/table-claims.js';
import {type Claims} from '../../src/runtime/claims/types.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {createPlatformClient} from '../../src/runtime/platform/platform-client.js';
import {clientOf, dump, recordOf} from '../standins/_client.js';
import {grantingScheduler, startTestEntry, until} from './_entry.js';

const PLATFORM_TIMEOUT_MS = 300;
const debit = {account: 'a', amount: 3, debit_id: 'd1'};
const refusalSchema = z.object({error: z.object({name: z.string(), not_run: z.boolean()})});

/** Starts a ledger and a platform that several VMs share. */
const startSharedServices = async (t: ExecutionContext, settings: Readonly<Record<string, unknown>> = {}) => {
	const ledger = await startLedger(ledgerSettingsSchema.parse({
		serviceMs: 20, warmAfter: 0, maxRunning: 100, ...settings,
	}));
	const platform = await startPlatform(platformSettingsSchema.parse({}));
	const [ledgerCall, platformCall] = [clientOf(t, ledger), clientOf(t, platform)];
	return {
		address: ledger.address,
		platformAddress: platform.address,
		control: async (body: unknown) => dump(platformCall('POST', '/control', body)),
		controlLedger: async (body: unknown) => dump(ledgerCall('POST', '/control', body)),
		async runs() {
			const {runs} = await recordOf(ledgerCall);
			return runs.length;
		},
	};
};

type SharedServices = Awaited<ReturnType<typeof startSharedServices>>;

const claimsOf = (t: ExecutionContext, {platformAddress}: SharedServices): Claims => {
	const platform = createPlatformClient({origin: `http://${platformAddress}`, random: () => 0.5, timeoutMs: PLATFORM_TIMEOUT_MS});
	const claims = createTableClaims({
		platform, clock: monotonicClock, random: () => 0.5, wallMs: () => 0, metrics: createMetrics(),
	});
	t.teardown(async () => {
		await claims.close();
		await platform.close();
	});
	return claims;
};

/** Starts one VM. Returns a function that sends the debit with a key and resolves to its outcome. */
const startVm = async (t: ExecutionContext, shared: SharedServices, claims = claimsOf(t, shared), scheduler = grantingScheduler(() => shared.address)) => {
	const {call} = await startTestEntry(t, {scheduler, claims});
	const nameOf = async (res: Dispatcher.ResponseData): Promise<string> => {
		const json = await res.body.json();
		if (res.statusCode === 200) {
			return 'answered';
		}

		const {error} = refusalSchema.parse(json);
		return `${error.name}${error.not_run ? ', not run' : ''}`;
	};

	return async (key = 'order-17') => nameOf(await call('/services/ledger/debits', {body: debit, headers: {'idempotency-key': key}}));
};

test('a key that is sent to two VMs at once runs once, and the other calls are refused as in progress', async t => {
	const shared = await startSharedServices(t);
	const [first, second] = await Promise.all([startVm(t, shared), startVm(t, shared)]);
	const results = await Promise.all([first(), second(), first(), second()]);
	t.deepEqual(results.toSorted(), ['KeyInProgress, not run', 'KeyInProgress, not run', 'KeyInProgress, not run', 'answered']);
	t.is(await shared.runs(), 1);
});

test('without claims, every call with the same key runs', async t => {
	const shared = await startSharedServices(t);
	const unlimitedClaims: Claims = {claim: async () => ({settle: () => undefined})};
	const [first, second] = await Promise.all([startVm(t, shared, unlimitedClaims), startVm(t, shared, unlimitedClaims)]);
	await Promise.all([first(), second()]);
	t.is(await shared.runs(), 2);
});

test('a VM without local state refuses keys that were used at another VM', async t => {
	const shared = await startSharedServices(t);
	const before = await startVm(t, shared);
	t.is(await before(), 'answered');
	const after = await startVm(t, shared);
	await until(async () => await after() === 'KeyAlreadyUsed, not run');
	t.is(await shared.runs(), 1);
});

test('a key whose request ended with an unknown outcome stays taken', async t => {
	const shared = await startSharedServices(t);
	const send = await startVm(t, shared);
	await shared.controlLedger({lose_answer: true});
	t.is(await send(), 'OutcomeUnknown');
	await until(async () => await send() === 'KeyAlreadyUsed, not run');
	t.is(await shared.runs(), 1);
});

test('a key whose request was refused before execution can be used again, also at another VM', async t => {
	const shared = await startSharedServices(t);
	const fullScheduler = {
		...grantingScheduler(() => shared.address),
		submit: () => ({granted: Promise.reject(new RefusalError(QueueFull, {limit: 1})), withdraw: () => undefined}),
	};
	const refusing = await startVm(t, shared, claimsOf(t, shared), fullScheduler);
	t.is(await refusing(), 'QueueFull, not run');
	const other = await startVm(t, shared);
	await until(async () => await other() === 'answered');
	t.is(await shared.runs(), 1);
});

test('during a platform outage a call with a key is refused before execution, and succeeds after it', async t => {
	const shared = await startSharedServices(t);
	const send = await startVm(t, shared);
	await shared.control({outage: 'refuse'});
	t.is(await send(), 'ClaimUnavailable, not run');
	t.is(await shared.runs(), 0);
	await shared.control({outage: 'none'});
	await until(async () => await send() === 'answered');
	t.is(await shared.runs(), 1);
});

test('a call is refused while the platform hangs, and its claim, if written late, does not keep the key taken', async t => {
	const shared = await startSharedServices(t);
	const send = await startVm(t, shared);
	await shared.control({outage: 'hang'});
	t.is(await send(), 'ClaimUnavailable, not run');
	await shared.control({outage: 'none'});
	await until(async () => await send() === 'answered');
	t.is(await shared.runs(), 1);
});

test('a claim still belongs to its request if the platform\'s response is lost after the write took effect', async t => {
	const shared = await startSharedServices(t);
	const send = await startVm(t, shared);
	await shared.control({lose_next_answers: 1});
	t.is(await send(), 'answered');
	t.is(await shared.runs(), 1);
});

test('claims of many keys at once share transactions, and a key that is taken does not make the other claims fail', async t => {
	const shared = await startSharedServices(t);
	const other = claimsOf(t, shared);
	await other.claim({team: 'couriers', key: 'k7', requestId: 'other'});
	const claims = claimsOf(t, shared);
	const results = await Promise.allSettled(Array.from({length: 30}, async (_, index) => claims.claim({team: 'couriers', key: `k${index}`, requestId: `r${index}`})));
	t.deepEqual(results.flatMap(({status}, index) => status === 'rejected' ? [index] : []), [7]);
});

/** Expectation of a `ClaimUnavailable`; `any`, because refusals are VErrors, which ava does not accept as native errors. */
const unavailable = {any: true, name: 'ClaimUnavailable'} as const;

test('while the platform is down, claims are refused without a call to it, and after a second one claim calls it again', async t => {
	let nowMs = 0;
	let calls = 0;
	const claims = createTableClaims({
		platform: {
			async transact() {
				calls += 1;
				return {kind: 'unavailable', reason: 'outage'};
			},
		},
		clock: {nowMs: () => nowMs}, random: () => 0, wallMs: () => 0, metrics: createMetrics(),
	});
	const claim = async (key: string) => claims.claim({team: 'couriers', key, requestId: key});
	await t.throwsAsync(claim('a'), unavailable);
	const callsUntilDown = calls;
	await Promise.all(['b', 'c', 'd'].map(async key => t.throwsAsync(claim(key), unavailable)));
	t.is(calls, callsUntilDown);
	nowMs += 1000;
	await t.throwsAsync(claim('e'), unavailable);
	t.is(calls, callsUntilDown + 1);
});
