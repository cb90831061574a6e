import test from 'ava';
import fc from 'fast-check';
import {createLineWriter, type WriteText} from '../../src/runtime/observe/line-writer.js';
import {createLog} from '../../src/runtime/observe/log.js';

/** Creates a reader that completes a write only when `take` is called. */
const createReader = () => {
	const texts: string[] = [];
	let done: (() => void) | undefined;
	const write: WriteText = (text, written) => {
		texts.push(text);
		done = () => {
			written(undefined);
		};
	};

	return {
		write,
		texts,
		take() {
			done?.();
		},
	};
};

const delayBriefly = async () => new Promise(resolve => {
	setTimeout(resolve, 5);
});

test('a stalled reader does not block the writer, and a line reports how many lines were dropped', async t => {
	const reader = createReader();
	const lines = createLineWriter({write: reader.write, maxBufferedBytes: 1000, bufferMs: 0});
	lines.write('first\n', true);
	await delayBriefly();
	for (let count = 0; count < 100; count++) {
		lines.write(`routine ${String(count).padStart(11)}\n`, true);
	}

	for (let count = 0; count < 10; count++) {
		lines.write(`failure ${String(count).padStart(11)}\n`, false);
	}

	await delayBriefly();
	t.deepEqual(reader.texts, ['first\n'], 'no write starts before the previous one has completed');
	reader.take();
	await delayBriefly();
	const [, second = ''] = reader.texts;
	t.is(second.match(/^failure/gmv)?.length, 10);
	t.is(second.match(/^routine/gmv)?.length, 25);
	t.regex(second, /"event":"log lines dropped","routine":75,"other":0/v);
});

test('each write has whole lines and at most PIPE_BUF bytes, and all lines arrive in order', async t => {
	const texts: string[] = [];
	const lines = createLineWriter({
		bufferMs: 0,
		write(text, done) {
			texts.push(text);
			setImmediate(() => {
				done(undefined);
			});
		},
	});
	const sent = Array.from({length: 200}, (_, index) => `${index} ${'x'.repeat((index * 37) % 500)}\n`);
	for (const line of sent) {
		lines.write(line, true);
	}

	while (texts.join('').length < sent.join('').length) {
		await delayBriefly(); // eslint-disable-line no-await-in-loop
	}

	t.is(texts.join(''), sent.join(''));
	t.true(texts.every(text => text.length <= 4096 && text.endsWith('\n')));
});

test('lines that a busy reader did not accept are written later', async t => {
	const texts: string[] = [];
	let isBusy = true;
	const lines = createLineWriter({
		bufferMs: 0,
		write(text, done) {
			if (isBusy) {
				done(Object.assign(new Error('busy'), {code: 'EAGAIN'}));
				return;
			}

			texts.push(text);
			done(undefined);
		},
	});
	lines.write('first\n', false);
	await delayBriefly();
	lines.write('second\n', true);
	isBusy = false;
	await delayBriefly();
	t.is(texts.join(''), 'first\nsecond\n');
});

test('the writer never buffers more bytes than its bound', t => {
	const check = () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.integer({min: 1, max: 300}), fc.boolean()), {maxLength: 200}), list => {
			const lines = createLineWriter({write: () => undefined, maxBufferedBytes: 2000, bufferMs: 0});
			for (const [size, isRoutine] of list) {
				lines.write('x'.repeat(size), isRoutine);
			}

			return lines.takeBuffered().replace(/\{.*/v, '').length <= 2000;
		}), {seed: 4, numRuns: 100});
	};

	t.notThrows(check);
});

test('only lines written by `routine` are marked as routine', t => {
	const written: Array<readonly [string, boolean]> = [];
	const log = createLog('info', (line, isRoutine) => {
		written.push([/"event":"(?<event>[^"]*)"/v.exec(line)?.groups?.event ?? '', isRoutine]);
	});
	log.routine('request placed', {request_id: 'r'});
	log.info('request refused', {request_id: 'r'});
	t.deepEqual(written, [['request placed', true], ['request refused', false]]);
});

test('a line of `routine` has the form of one of `info`, and is written at the same levels', t => {
	const linesAt = (level: 'debug' | 'info' | 'warn' | 'silent') => {
		const lines: string[] = [];
		const log = createLog(level, line => {
			lines.push(line.replace(/"time":"[^"]+Z"/v, '"time":""'));
		}, {vm: 'edge-1'});
		for (const write of [log.info, log.routine]) {
			write('request ended', {
				request_id: 'r', seconds: 0.5, ran: undefined, cold: false,
			});
			write('no fields');
		}

		return lines;
	};

	const form = ['request ended","vm":"edge-1","request_id":"r","seconds":0.5,"cold":false}', 'no fields","vm":"edge-1"}'].map(end => `{"time":"","level":"info","event":"${end}\n`);
	t.deepEqual(linesAt('info'), [...form, ...form]);
	t.deepEqual(linesAt('debug'), [...form, ...form]);
	t.deepEqual(linesAt('warn'), []);
	t.deepEqual(linesAt('silent'), []);
});
