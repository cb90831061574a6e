/** Responses with neither a length nor chunks, whose end is the end of their connection. */
import {type OutgoingHttpHeaders} from 'node:http';
import type net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {type Responder} from '../../standins/works/works-target.js';
import {
	startPlatform, completeStream, type Platform,
} from './_platform.js';
import {callRaw, type RawResponse} from './_raw-call.js';

const PROMPT = {'x-model': 'm', 'x-token-count': '100,8', 'x-prompt-prefix': 'aa:50,bb:50'};

const callPrompt = async ({address}: Platform, path: string): Promise<RawResponse> => callRaw(address, path, {headers: PROMPT});

type PieceOptions = {readonly type: string; readonly pieces: readonly string[]; readonly isReset: boolean};

/** Writes a response without a length in pieces, then ends or resets the connection. */
const writePieces = async (socket: net.Socket, headers: OutgoingHttpHeaders, {type, pieces, isReset}: PieceOptions): Promise<void> => {
	socket.write(`HTTP/1.1 200 OK\r\nx-attempt-id: ${String(headers['x-attempt-id'])}\r\nx-server-stamp: ${String(headers['x-server-stamp'])}\r\ncontent-type: ${type}\r\n\r\n`);
	for (const piece of pieces) {
		socket.write(piece);
		await delay(10); // eslint-disable-line no-await-in-loop
	}

	if (isReset) {
		socket.resetAndDestroy();
	} else {
		socket.end();
	}
};

const untilClose = (type: string, pieces: readonly string[], isReset = false): Responder => (req, _res, own) => {
	void writePieces(req.socket, own, {type, pieces, isReset});
};

const piecesOf = (text: string, size: number): readonly string[] => Array.from({length: Math.ceil(text.length / size)}, (_, index) => text.slice(index * size, (index + 1) * size));

const answerWith = ({models, ledgers}: Platform, respond: Responder): void => {
	for (const target of [...models, ...ledgers]) {
		target.answerNextWith(respond);
	}
};

test('a stream without a length is complete when its connection ends outside an event', async t => {
	const platform = await startPlatform(t);
	answerWith(platform, untilClose('text/event-stream', piecesOf(completeStream, 17)));
	t.like(await callPrompt(platform, '/chat/x'), {
		status: 200, body: completeStream, isComplete: true, showsCuts: true,
	});
});

for (const [how, isReset] of [['ends', false], ['is reset', true]] as const) {
	test(`a stream without a length whose connection ${how} inside an event is broken off, and continued where the route allows it`, async t => {
		const platform = await startPlatform(t);
		const broken = untilClose('text/event-stream', piecesOf(completeStream.slice(0, 70), 20), isReset);
		answerWith(platform, broken);
		const {status, body, isComplete, showsCuts} = await callPrompt(platform, '/chat/x');
		t.is(status, 200);
		t.false(isComplete);
		t.true(showsCuts);
		t.true(body.length > 0 && completeStream.startsWith(body) && body.endsWith('\n\n'));

		const other = await startPlatform(t);
		answerWith(other, broken);
		const continued = await callPrompt(other, '/brief/x');
		t.is(continued.status, 200);
		t.false(continued.isComplete, 'both targets broke off');
	});
}

test('a stream without a length that breaks off inside an event and is continued is complete', async t => {
	const platform = await startPlatform(t);
	const broken = untilClose('text/event-stream', piecesOf(completeStream.slice(0, 70), 20));
	const rest: Responder = (req, res, own) => {
		const from = Number(req.headers['last-event-id'] ?? 0);
		const events = completeStream.split('\n\n').slice(from, -1).map(event => `${event}\n\n`);
		(from === 0 ? broken : untilClose('text/event-stream', events))(req, res, own);
	};

	answerWith(platform, rest);
	t.like(await callPrompt(platform, '/brief/x'), {status: 200, body: completeStream, isComplete: true});
});

test('a stream without a length whose connection is reset between two events is never complete', async t => {
	const platform = await startPlatform(t);
	const events = completeStream.split('\n\n').slice(0, 4).map(event => `${event}\n\n`);
	answerWith(platform, untilClose('text/event-stream', events, true));
	t.like(await callPrompt(platform, '/chat/x'), {
		status: 200, body: events.join(''), isComplete: false, showsCuts: true,
	});
});

test('a plain response without a length is complete when its connection ends, and never after a reset', async t => {
	const platform = await startPlatform(t);
	answerWith(platform, untilClose('text/plain', ['the whole ', 'answer']));
	const whole = await platform.call('/debit/x', {method: 'POST', body: '{}'});
	t.like(whole, {status: 200, body: 'the whole answer', cut: false});

	const other = await startPlatform(t);
	answerWith(other, untilClose('text/plain', ['half of ', 'the'], true));
	const half = await other.call('/debit/x', {method: 'POST', body: '{}'});
	t.true(half.status >= 500, `${half.status}`);
	t.false(half.body.includes('half of'));
});
