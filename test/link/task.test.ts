import test from 'ava';
import {createTask} from '../../src/runtime/task.js';

test('a task handles one message at a time, in order, and errors do not stop it', async t => {
	const seen: string[] = [];
	const errors: string[] = [];
	const done = new Promise<void>(resolve => {
		const task = createTask<number>({
			async handle(message) {
				seen.push(`start ${message}`);
				await Promise.resolve();
				seen.push(`end ${message}`);
				if (message === 2) {
					throw new Error('two');
				}

				if (message === 3) {
					resolve();
				}
			},
			onError(err, message) {
				errors.push(`${err.message} ${message}`);
				throw new Error('error handler');
			},
		});
		for (const message of [1, 2, 3]) {
			task.send(message);
		}
	});
	await done;
	t.deepEqual(seen, ['start 1', 'end 1', 'start 2', 'end 2', 'start 3', 'end 3']);
	t.deepEqual(errors, ['two 2']);
});

test('a stopped task finishes the current message and accepts no more', async t => {
	const seen: number[] = [];
	const task = createTask<number>({
		async handle(message) {
			await Promise.resolve();
			seen.push(message);
		},
		onError(err) {
			throw err;
		},
	});
	task.send(1);
	task.send(2);
	await task.stop();
	task.send(3);
	t.deepEqual(seen, [1]);
});
