#!/usr/bin/env node
/**
 * Measures the cost of the interface for callers: the latency that it adds to a call of a
 * plain target, and the processor time for each such call and each forwarded token. The
 * processes run on loopback, and requests are granted without dispatch.
 *
 * Usage: node dist/tools/entry-cost/main.js [--json]
 */
import {fork, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import * as z from 'zod';
import {checkOutput} from '../../standins/engine/tokens.js';

const TOKEN = 'bench';
const PLAIN_CALLS = 2000;
const PLAIN_CONCURRENCY = 8;
const TOKENS = 100;
const STREAM_COUNTS = [10, 40, 160, 640] as const;
/** Time between two tokens of a stream at the model engine. */
const STEP_MS = 40;

const targetsSchema = z.object({engine: z.string(), ledger: z.string()});
const routerSchema = z.object({address: z.string()});
const usageSchema = z.object({cpuUs: z.number(), rssBytes: z.number()});
type Usage = z.output<typeof usageSchema>;

const startProcess = (file: string, args: readonly string[]): ChildProcess =>
	fork(fileURLToPath(new URL(file, import.meta.url)), args);

const nextMessage = async (child: ChildProcess): Promise<unknown> => new Promise(resolve => {
	child.once('message', resolve);
});

const readUsage = async (router: ChildProcess): Promise<Usage> => {
	const answer = nextMessage(router);
	router.send({});
	return usageSchema.parse(await answer);
};

const headers = {authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json'};
const dispatcher = new Agent({connections: 2000});

const plainCall = async (url: string): Promise<number> => {
	const startMs = performance.now();
	const res = await request(url, {
		dispatcher, method: 'POST', headers, body: JSON.stringify({account: 'a', amount: 1}),
	});
	await res.body.dump();
	if (res.statusCode !== 200) {
		throw new TypeError(`plain call got status ${res.statusCode} instead of 200`);
	}

	return performance.now() - startMs;
};

/** Measures the latencies in microseconds of plain calls that a number of concurrent workers send. */
const timePlainCalls = async (url: string, workers: number) => {
	const histogram = build();
	await Promise.all(Array.from({length: workers}, async () => {
		for (let call = 0; call < PLAIN_CALLS / workers; call++) {
			// eslint-disable-next-line no-await-in-loop
			histogram.recordValue(Math.round(await plainCall(url) * 1000));
		}
	}));
	return {p50_us: histogram.getValueAtPercentile(50), p99_us: histogram.getValueAtPercentile(99), calls: histogram.totalCount};
};

const streamOnce = async (url: string, nonce: string): Promise<void> => {
	const res = await request(url, {
		dispatcher, method: 'POST', headers, body: JSON.stringify({model: 'engine', stream: true, prompt: `nonce=${nonce} tokens=${TOKENS}`}),
	});
	const text = await res.body.text();
	const tokens = [...text.matchAll(/"text":"(?<token>[^"]*)"/gv)].map(match => match.groups?.token).join('');
	const textFault = checkOutput(tokens, {nonce, tokens: TOKENS});
	if (textFault !== undefined) {
		throw new TypeError(`text of a stream differs from the requested text: ${textFault}`);
	}
};

const measureStreams = async (router: ChildProcess, url: string, streams: number) => {
	const before = await readUsage(router);
	const startMs = performance.now();
	await Promise.all(Array.from({length: streams}, async (_, index) => streamOnce(url, `n${index}`)));
	const seconds = (performance.now() - startMs) / 1000;
	const after = await readUsage(router);
	const tokens = streams * TOKENS;
	return {
		streams, tokens_per_s: Math.round(tokens / seconds), cpu_us_per_token: (after.cpuUs - before.cpuUs) / tokens, rss_mb: after.rssBytes / 1e6,
	};
};

const measurePlainCalls = async (router: ChildProcess, direct: string, routed: string) => {
	await timePlainCalls(routed, PLAIN_CONCURRENCY);
	await timePlainCalls(direct, PLAIN_CONCURRENCY);
	const before = await readUsage(router);
	const routedTimes = await timePlainCalls(routed, 1);
	const after = await readUsage(router);
	const loaded = await timePlainCalls(routed, PLAIN_CONCURRENCY);
	return {
		direct: await timePlainCalls(direct, 1),
		routed: routedTimes,
		direct_loaded: await timePlainCalls(direct, PLAIN_CONCURRENCY),
		routed_loaded: loaded,
		cpu_us_per_call: (after.cpuUs - before.cpuUs) / PLAIN_CALLS,
	};
};

const targets = startProcess('target-process.js', [String(STEP_MS)]);
const {engine, ledger} = targetsSchema.parse(await nextMessage(targets));
const router = startProcess('router-process.js', [engine, ledger, createHash('sha256').update(TOKEN).digest('hex')]);
const {address} = routerSchema.parse(await nextMessage(router));

const plain = await measurePlainCalls(router, `http://${ledger}/debits`, `http://${address}/services/ledger/debits`);
const streams = [];
for (const count of STREAM_COUNTS) {
	// eslint-disable-next-line no-await-in-loop
	streams.push(await measureStreams(router, `http://${address}/v1/completions`, count));
}

process.stdout.write(`${JSON.stringify({plain, step_ms: STEP_MS, streams}, undefined, 2)}\n`);
targets.disconnect();
router.disconnect();
await dispatcher.close();
