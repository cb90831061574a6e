import test from 'ava';
import {PromptLossDetector, type LossCriteria} from '../../src/core/placement/prompt-loss.js';
import {TargetView} from '../../src/core/placement/target-view.js';
import {createRandom} from '../../tools/load/random.js';
import {target} from './_service.js';

const limits: LossCriteria = {
	silenceMs: 1500, resumedAtMs: -Infinity, retryDeadlineMs: Infinity, isStream: true,
};
const large = {newTokens: 6000, promptTokens: 12_000};
const cached = {newTokens: 100, promptTokens: 9000};

const reasonOf = (starts: PromptLossDetector, id: string, nowMs: number, changes: Partial<LossCriteria> = {}): string | undefined => {
	const loss = starts.detectLoss(id, {...limits, ...changes}, nowMs);
	return loss === 'not-judged' ? loss : loss?.reason;
};

test('a prompt that starts late is waited for while its engine shows signs of life', t => {
	const starts = new PromptLossDetector();
	starts.noteSent('a', large, 0);
	for (let nowMs = 500; nowMs < 8000; nowMs += 500) {
		starts.noteActivity(nowMs);
		t.is(reasonOf(starts, 'a', nowMs), undefined);
	}
});

test('a prompt that the engine dropped is lost once a later one has begun', t => {
	const starts = new PromptLossDetector();
	starts.noteSent('dropped', large, 0);
	starts.noteSent('later', large, 100);
	starts.noteBegun('later', 400);
	t.is(reasonOf(starts, 'dropped', 600), undefined, 'it gets time for its own prefill');
	t.is(reasonOf(starts, 'dropped', 1100), 'overtaken');
	t.is(reasonOf(starts, 'later', 1100), 'not-judged');
});

test('prompts that start beside others, or arrive in another order, do not make earlier ones lost', t => {
	const starts = new PromptLossDetector();
	starts.noteSent('early', large, 0);
	starts.noteSent('cached', cached, 200);
	starts.noteSent('at-once', large, 30);
	starts.noteBegun('cached', 220);
	starts.noteBegun('at-once', 400);
	t.is(reasonOf(starts, 'early', 1800), undefined);
});

test('the order counts from the first byte, not from the placement', t => {
	const starts = new PromptLossDetector();
	starts.noteSent('waits-for-connection', large, 0);
	starts.noteSent('other', large, 100);
	starts.noteWritten('waits-for-connection', 300);
	starts.noteBegun('other', 400);
	t.is(reasonOf(starts, 'waits-for-connection', 1800), undefined);
});

test('an answer that is not a stream ends in any order', t => {
	const starts = new PromptLossDetector();
	starts.noteSent('whole', large, 0);
	starts.noteSent('later', large, 100);
	starts.noteBegun('later', 400);
	t.is(reasonOf(starts, 'whole', 1800, {isStream: false}), undefined);
});

test('an engine that falls silent is noticed, whether it did so before or after the prompt was sent', t => {
	const starts = new PromptLossDetector();
	starts.noteActivity(0);
	starts.noteSent('a', large, 1000);
	t.is(reasonOf(starts, 'a', 2499), undefined);
	t.is(reasonOf(starts, 'a', 2500), 'engine-silent');
	starts.noteActivity(2500);
	t.is(reasonOf(starts, 'a', 3999), undefined);
	t.is(reasonOf(starts, 'a', 4000), 'engine-silent');
});

test('a pause of this process is no silence of the engine', t => {
	const starts = new PromptLossDetector();
	starts.noteSent('a', large, 0);
	t.is(reasonOf(starts, 'a', 5000, {resumedAtMs: 4800}), undefined);
	t.is(reasonOf(starts, 'a', 6300, {resumedAtMs: 4800}), 'engine-silent');
});

test('a prompt is not waited for beyond what its caller waits', t => {
	const starts = new PromptLossDetector();
	starts.noteSent('a', large, 0);
	starts.noteActivity(2900);
	t.is(reasonOf(starts, 'a', 3000, {retryDeadlineMs: 3000}), 'caller-leaves');
});

test('an engine that restarted under the same id has lost its prompts, and its order begins anew', t => {
	const placed = new TargetView(target('t1', {bornMs: 1}), 0);
	const place = (id: string, nowMs: number) => {
		placed.place(id, {
			newTokens: 6000, heldTokens: 12_000, isReading: true, sentMs: nowMs,
		}, nowMs);
	};

	place('before', 0);
	placed.update(target('t1', {bornMs: 2}), 100);
	place('first', 150);
	place('second', 300);
	placed.noteFirstToken('second', 500);
	t.is(reasonOf(placed.lossDetector, 'before', 500), 'engine-replaced');
	t.is(reasonOf(placed.lossDetector, 'first', 600), undefined);
	t.is(reasonOf(placed.lossDetector, 'first', 1200), 'overtaken');
});

test('what the reports of other VMs tell of an engine is a sign of life, and what ended is not waited for', t => {
	const placed = new TargetView(target('t1'), 0);
	placed.place('a', {
		newTokens: 6000, heldTokens: 12_000, isReading: true, sentMs: 0,
	}, 0);
	placed.noteLoad({running: 3, waiting: 9}, 1900, false);
	t.is(reasonOf(placed.lossDetector, 'a', 2000), undefined);
	placed.end('a');
	t.is(reasonOf(placed.lossDetector, 'a', 9000), 'not-judged');
});

test('under 1.3 times what an engine prefills no prompt is given up, and those that it drops are noticed before their callers leave', t => {
	const random = createRandom(7);
	const LATENCY_TARGET_MS = 600;
	const starts = new PromptLossDetector();
	const sent: Array<{readonly id: string; readonly atMs: number; readonly beginMs: number}> = [];
	let freeMs = 0;
	for (let index = 0, atMs = 0; atMs < 8000; index++, atMs += 75) {
		const newTokens = 630 + Math.floor(random.uniform() * 10_000);
		const isDropped = index % 20 === 5;
		// Prefilled at 60 tokens a millisecond, one prompt at a time.
		freeMs = isDropped ? freeMs : Math.max(freeMs, atMs) + (newTokens / 60);
		sent.push({id: `r${index}`, atMs, beginMs: isDropped ? Infinity : freeMs + 15});
		starts.noteSent(`r${index}`, {newTokens, promptTokens: newTokens + 6000}, atMs);
	}

	let late = 0;
	let givenUp = 0;
	let noticed = 0;
	const lost = new Set<string>();
	const looks = sent.map(({atMs}) => atMs + (LATENCY_TARGET_MS * 1.5));
	for (let nowMs = 0; nowMs < 11_000; nowMs++) {
		for (const [index, {id, atMs, beginMs}] of sent.entries()) {
			if (Math.ceil(beginMs) === nowMs) {
				starts.noteBegun(id, nowMs);
				late += beginMs - atMs > LATENCY_TARGET_MS * 1.5 ? 1 : 0;
			} else if (!lost.has(id) && beginMs > nowMs && nowMs >= looks[index]! && (nowMs - looks[index]!) % 100 < 1) {
				const reason = reasonOf(starts, id, nowMs, {silenceMs: LATENCY_TARGET_MS * 1.5, retryDeadlineMs: atMs + 1e9});
				if (reason === undefined) {
					continue;
				}

				lost.add(id);
				if (beginMs === Infinity) {
					noticed++;
				} else {
					givenUp++;
				}
			}
		}
	}

	t.true(late > 20, `${late} begin later than 1.5 latency targets`);
	t.is(givenUp, 0);
	t.is(noticed, sent.filter(({beginMs}) => beginMs === Infinity).length);
});
