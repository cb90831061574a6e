import {createServer} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import test from 'ava';
import {watchBacklog} from '../../src/runtime/overflow/accept-backlog.js';

/** Watches connections that come as `pattern` says, one entry a turn of so many milliseconds. */
const backlogsOf = async (pattern: readonly boolean[], turnMs: number): Promise<number> => {
	const server = createServer();
	let [nowMs, backlogs] = [0, 0];
	const end = watchBacklog(server, () => nowMs, () => {
		backlogs++;
	});
	for (const comes of pattern) {
		nowMs += turnMs;
		if (comes) {
			server.emit('connection');
		}

		await turn(); // eslint-disable-line no-await-in-loop
	}

	end();
	return backlogs;
};

test('connections in every turn of a slow loop wait behind each other', async t => {
	t.true(await backlogsOf(Array.from({length: 20}, () => true), 20) >= 3);
});

test('a burst that is taken at once does not', async t => {
	t.is(await backlogsOf(Array.from({length: 30}, () => true), 1), 0);
});

test('connections with turns between them do not, however slow the loop is', async t => {
	t.is(await backlogsOf(Array.from({length: 30}, (_, index) => index % 2 === 0), 100), 0);
});
