/**
 * Guards against a response that was cut and looks complete to its caller: each way in which a response can end, in each form
 * that a target gives it, for callers of HTTP/1.1 and 1.0, on real sockets and with the router in its own process.
 */
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Agent, request} from 'undici';
import {grantingScheduler, startTestEntry, TOKEN} from '../entry/_entry.js';
import {startRouterProcess, type RouterProcess} from '../memory/_router-process.js';
import {
	forms, pathOf, startEndingTarget, wholeBody, type Form, type TargetEnding,
} from './_ending-target.js';
import {HOST, KEY, until} from './_platform.js';
import {callRaw, type RawResponse} from './_raw-call.js';

const PROMPT = {'x-model': 'm', 'x-token-count': '100,8', 'x-prompt-prefix': 'aa:50,bb:50'};

/** A route of the test platform, and whether its responses are event streams that may be resumed. */
const routes = [{name: 'brief', isStream: true}, {name: 'chat', isStream: true}, {name: 'debit', isStream: false}, {name: 'look', isStream: false}] as const;
type Case = {readonly route: typeof routes[number]; readonly form: Form; readonly ending: TargetEnding; readonly httpVersion: '1.0' | '1.1'};

const casesOf = (endings: readonly TargetEnding[]): readonly Case[] => endings.flatMap(ending => routes.flatMap(route => forms.flatMap(form =>
	(['1.1', '1.0'] as const).map(httpVersion => ({
		route, form, ending, httpVersion,
	})))));

const startRouter = async (t: ExecutionContext, limits = ''): Promise<RouterProcess> => {
	const targets = await Promise.all(['m1', 'm2', 'l1', 'l2'].map(async id => [id, await startEndingTarget(t)] as const));
	return startRouterProcess(t, {targets: Object.fromEntries(targets), limits});
};

const headersOf = ({ending}: Case): Readonly<Record<string, string>> => ({...PROMPT, 'x-deadline-ms': ending === 'stall' ? '1200' : '9000'});
const urlOf = ({route, form, ending}: Case): string => `/${route.name}/${pathOf(form, ending)}`;
const nameOf = ({httpVersion, ...rest}: Case): string => `${urlOf({httpVersion, ...rest})} HTTP/${httpVersion}`;

const NOT_RUN = 503;
/** Most times that a call is made again: a busy machine makes a router refuse requests that it cannot start in time. */
const MAX_REFUSALS = 20;

/** Makes a call, and makes it again while it is refused as not run. */
const call = async (router: RouterProcess, item: Case, onBody?: (body: string) => void, refusals = 0): Promise<RawResponse> => {
	const response = await callRaw(router.callers, urlOf(item), {httpVersion: item.httpVersion, headers: headersOf(item), ...(onBody && {onBody})});
	return response.status === NOT_RUN && refusals < MAX_REFUSALS && !router.hasEnded() ? call(router, item, onBody, refusals + 1) : response;
};

/** Whether a caller takes the response for a success and does not have the whole body, or could not tell the two apart. */
const isMisleading = ({route, ending}: Case, {status, body, isComplete, showsCuts}: RawResponse): boolean =>
	status === 200 && (!showsCuts || (isComplete && body !== wholeBody(route.isStream, ending)));

/** Makes all calls at once; returns the names of those whose responses mislead their callers, and all responses. */
const play = async (router: RouterProcess, cases: readonly Case[]) => {
	const responses = await Promise.all(cases.map(async item => [item, await call(router, item)] as const));
	return {misleading: responses.filter(([item, response]) => isMisleading(item, response)).map(([item]) => nameOf(item)), responses};
};

/** Whether HTTP's rules let the target's end be taken for an orderly one: the end of its connection is the end of its plain response. */
const endsInOrder = ({route, form, ending}: Case): boolean => ending === 'close' && !route.isStream && (form === 'until-close' || form === 'mixed');

test.serial('a response that its target ends in an orderly way is complete in every form', async t => {
	const {responses} = await play(await startRouter(t), casesOf(['none']));
	t.deepEqual(responses.filter(([{route, ending}, {status, isComplete, showsCuts, body}]) =>
		!(status === 200 && isComplete && showsCuts && body === wholeBody(route.isStream, ending))).map(([item]) => nameOf(item)), []);
});

for (const ending of ['reset', 'close', 'stall', 'endless'] as const) {
	test.serial(`a response whose target ends it otherwise never looks complete: ${ending}`, async t => {
		const {misleading} = await play(await startRouter(t), casesOf([ending]).filter(item => !endsInOrder(item)));
		t.deepEqual(misleading, []);
	});
}

test.serial('a stream whose target breaks off is complete once another target, with a response of any form, has ended it', async t => {
	const {responses} = await play(await startRouter(t), casesOf(['reset', 'close']).filter(({route}) => route.name === 'brief'));
	t.deepEqual(responses.filter(([{ending}, {status, isComplete, body}]) => !(status === 200 && isComplete && body === wholeBody(true, ending))).map(([item]) => nameOf(item)), []);
});

/** Calls by an HTTP client; resolves to the names of responses that it reports as complete. */
const completeForClient = async ({callers}: RouterProcess, cases: readonly Case[]): Promise<readonly string[]> => {
	const agent = new Agent({connections: null});
	const ends = await Promise.all(cases.map(async (item, index) => {
		try {
			const res = await request(`http://${callers}${urlOf(item)}`, {
				method: 'POST', body: '{}', dispatcher: agent, headers: {
					host: HOST, 'x-attempt-id': `client${index}`, 'x-api-key': KEY, ...headersOf(item),
				},
			});
			const body = await res.body.text();
			return res.statusCode === 200 && body !== wholeBody(item.route.isStream, item.ending) ? [nameOf(item)] : [];
		} catch {
			return [];
		}
	}));
	await agent.destroy();
	return ends.flat();
};

const interruptions = {
	'a planned stop'({signal}: RouterProcess) {
		signal('SIGTERM');
	},
	'a kill'({signal}: RouterProcess) {
		signal('SIGKILL');
	},
	'the removal of its target, its route and its key'({store}: RouterProcess) {
		for (const id of ['m1', 'm2', 'l1', 'l2']) {
			store.drop('servers', id);
		}

		store.put('op', 'config', {
			version: 9, routes: [], services: [], tenants: [], limits: {
				max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tokens_per_s: 133_000,
			},
		});
	},
} as const;

for (const [what, interrupt] of Object.entries(interruptions)) {
	test.serial(`a response that is interrupted by ${what} never looks complete`, async t => {
		const router = await startRouter(t);
		const cases = casesOf(['slow']);
		const begun = new Set<Case>();
		const raw = Promise.all(cases.map(async item => [item, await call(router, item, () => {
			begun.add(item);
		})] as const));
		const byClient = completeForClient(router, cases.filter(({httpVersion}) => httpVersion === '1.1'));
		await until(t, () => cases.every(item => item.httpVersion === '1.0' || begun.has(item)), 'all responses have begun');
		await delay(200);
		interrupt(router);
		const responses = await raw;
		t.deepEqual(responses.filter(([item, response]) => isMisleading(item, response)).map(([item]) => nameOf(item)), []);
		t.deepEqual(await byClient, []);
	});
}

test.serial('a response that is ended to free memory, because its caller does not read, never looks complete', async t => {
	const router = await startRouter(t, 'memory_mb = 32');
	const cases = casesOf(['endless']).filter(({route, httpVersion}) => !route.isStream && httpVersion === '1.1');
	const responses = await Promise.all(Array.from({length: 10}, () => cases).flat().map(async item =>
		[item, await callRaw(router.callers, urlOf(item), {headers: headersOf(item), pauseMs: 6000})] as const));
	t.deepEqual(responses.filter(([item, response]) => isMisleading(item, response)).map(([item]) => nameOf(item)), []);
	t.regex(router.log(), /response ended to free memory/v);
});

for (const httpVersion of ['1.1', '1.0'] as const) {
	test.serial(`a long plain response of the product's own protocol that breaks off never looks complete to a caller of HTTP/${httpVersion}`, async t => {
		const target = await startEndingTarget(t);
		const {entry} = await startTestEntry(t, {scheduler: grantingScheduler(() => target)});
		const misleading = await Promise.all((['none', 'reset', 'close'] as const).flatMap(ending => (['length', 'chunks', 'until-close'] as const).map(async form => {
			const item: Case = {
				route: routes[3], form, ending, httpVersion,
			};
			const response = await callRaw(entry.address, `/services/ledger/${pathOf(form, ending)}`, {httpVersion, headers: {authorization: `Bearer ${TOKEN}`}});
			const isWhole = response.isComplete && response.body === wholeBody(false, ending);
			const isWrong = ending === 'none' ? !isWhole : isMisleading(item, response) && !endsInOrder(item);
			return isWrong ? [nameOf(item)] : [];
		})));
		t.deepEqual(misleading.flat(), []);
	});
}

test.serial('a response to HEAD has the length that its target declares and no body', async t => {
	const router = await startRouter(t);
	const head = async (form: Form, httpVersion: '1.0' | '1.1') => {
		const {headers, body} = await callRaw(router.callers, `/look/${pathOf(form, 'none')}`, {method: 'HEAD', httpVersion});
		return {length: headers['content-length'], encoding: headers['transfer-encoding'], body};
	};

	const length = String(wholeBody(false, 'none').length);
	for (const httpVersion of ['1.0', '1.1'] as const) {
		t.deepEqual(await head('length', httpVersion), {length, encoding: undefined, body: ''}); // eslint-disable-line no-await-in-loop
	}
});

for (const status of [204, 304]) {
	test.serial(`a response with status ${status} has no body, and the next one on its connection is whole`, async t => {
		const router = await startRouter(t);
		const agent = new Agent({connections: 1});
		t.teardown(async () => agent.destroy());
		const callOnOne = async (path: string, id: string) => {
			const res = await request(`http://${router.callers}/look/${path}`, {
				dispatcher: agent, headers: {
					host: HOST, 'x-attempt-id': id, 'x-api-key': KEY, 'x-deadline-ms': '4000',
				},
			});
			return {status: res.statusCode, body: await res.body.text()};
		};

		for (const [index, form] of forms.entries()) {
			// eslint-disable-next-line no-await-in-loop
			t.deepEqual(await callOnOne(pathOf(form, 'none', status), `empty${index}`), {status, body: ''});
			// eslint-disable-next-line no-await-in-loop
			t.deepEqual(await callOnOne(pathOf('chunks', 'none'), `whole${index}`), {status: 200, body: wholeBody(false, 'none')});
		}
	});
}
