/**
 * Tasks: objects that own their sockets and state, and talk by messages. A task
 * handles one message at a time, so its state needs no locks.
 */
import PQueue from 'p-queue';

export type TaskOptions<Message> = {
	/** Handles one message; the next waits until the returned promise settles. */
	readonly handle: (message: Message) => void | Promise<void>;
	/** Receives what `handle` throws. Neither stops the task. */
	readonly onError: (err: Error, message: Message) => void;
};

export type Task<Message> = {
	/** Puts a message into the mailbox. Ignored after `stop`. */
	readonly send: (message: Message) => void;
	/** Drops the waiting messages and resolves when the current one has been handled. */
	readonly stop: () => Promise<void>;
};

const toError = (value: unknown): Error => value instanceof Error ? value : new Error(String(value));

/**
 * Starts a task with an empty mailbox.
 *
 * @example
 * const task = createTask<Message>({handle: message => state.apply(message), onError: log});
 * task.tell({kind: 'tick'});
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
