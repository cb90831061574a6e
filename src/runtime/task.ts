/**
 * Tasks: objects that own their sockets and state and communicate by messages. A task
 * handles one message at a time, so its state needs no locks.
 */
import PQueue from 'p-queue';

export type TaskOptions<Message> = {
	/** Handles one message. The next one is handled when the returned promise has settled. */
	readonly handle: (message: Message) => void | Promise<void>;
	/** Called with an error that `handle` throws. An error of `handle` or `onError` does not stop the task. */
	readonly onError: (err: Error, message: Message) => void;
};

export type Task<Message> = {
	/** Adds a message to the mailbox. Does nothing after `stop`. */
	readonly send: (message: Message) => void;
	/** Drops the queued messages. Resolves when the current one has been handled. */
	readonly stop: () => Promise<void>;
};

const toError = (value: unknown): Error => value instanceof Error ? value : new Error(String(value));

/**
 * Starts a task with an empty mailbox.
 *
 * @example
 * const task = createTask<Message>({handle: message => state.apply(message), onError: log});
 * task.send({kind: 'tick'});
 */
export const createTask = <Message>({handle, onError}: TaskOptions<Message>): Task<Message> => {
	const mailbox = new PQueue({concurrency: 1});
	let stopped = false;

	const run = async (message: Message): Promise<void> => {
		try {
			await handle(message);
		} catch (error) {
			report(toError(error), message);
		}
	};

	const report = (err: Error, message: Message): void => {
		try {
			onError(err, message);
		} catch {
			// A failing error handler must not end the process.
		}
	};

	return {
		send(message) {
			if (!stopped) {
				void mailbox.add(async () => run(message));
			}
		},
		async stop() {
			stopped = true;
			mailbox.clear();
			await mailbox.onIdle();
		},
	};
};
