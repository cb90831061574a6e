/** A child process of the fleet. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {ProcessEnded, ProcessNotReady} from './errors-data.js';

const OUTPUT_LINES = 20;
const STOP_TIMEOUT_MS = 10_000;
const POLL_MS = 25;

const listeningSchema = z.looseObject({listening: z.string()});

/** The JSON line that a stand-in prints once it listens, with its address. */
export type Listening = Readonly<z.output<typeof listeningSchema>>;

const parseListening = (line: string): Listening | undefined => {
	try {
		return listeningSchema.safeParse(JSON.parse(line)).data;
	} catch {
		return undefined;
	}
};

export type ProcessSpec = {
	readonly id: string;
	readonly script: string;
	readonly settingsFile: string;
	readonly logFile: string;
};

export class MemberProcess {
	readonly #child: ChildProcess;
	readonly #lastLines: string[] = [];
	#listening: Listening | undefined;

	constructor(readonly spec: ProcessSpec) {
		this.#child = spawn(process.execPath, [spec.script, '--settings', spec.settingsFile], {stdio: ['ignore', 'pipe', 'pipe']});
		const log = createWriteStream(spec.logFile, {flags: 'a'});
		for (const output of [this.#child.stdout, this.#child.stderr]) {
			if (output) {
				createInterface({input: output}).on('line', line => {
					log.write(`${line}\n`);
					this.#recordLine(line);
				});
			}
		}

		this.#child.once('close', () => {
			log.end();
		});
	}

	get pid(): number {
		return this.#child.pid ?? 0;
	}

	get hasEnded(): boolean {
		return this.#child.exitCode !== null || this.#child.signalCode !== null;
	}

	/** The last lines that the process wrote to standard output and standard error. */
	get output(): string {
		return this.#lastLines.join('\n');
	}

	/** Resolves with the line that the stand-in prints once it listens; throws as `ready` does. */
	async listening(timeoutMs: number): Promise<Listening> {
		await this.ready(async () => this.#listening !== undefined, timeoutMs);
		return this.#listening ?? {listening: ''};
	}

	/** Polls until `isReady` returns true; throws `ProcessEnded` if the process exits first, `ProcessNotReady` after the timeout. */
	async ready(isReady: () => Promise<boolean>, timeoutMs: number): Promise<void> {
		const deadline = AbortSignal.timeout(timeoutMs);
		while (!(await isReady())) { // eslint-disable-line no-await-in-loop
			if (this.hasEnded) {
				throw new JackdawwoodError(ProcessEnded, {id: this.spec.id, code: String(this.#child.exitCode ?? this.#child.signalCode), output: this.output});
			}

			if (deadline.aborted) {
				throw new JackdawwoodError(ProcessNotReady, {id: this.spec.id, timeoutMs, output: this.output});
			}

			await delay(POLL_MS); // eslint-disable-line no-await-in-loop
		}
	}

	signal(signal: NodeJS.Signals): void {
		if (!this.hasEnded) {
			this.#child.kill(signal);
		}
	}

	/** Sends SIGTERM, and SIGKILL after a timeout; resumes the process in case it is paused. Resolves with the exit code, or undefined if a signal ended the process. */
	async stop(timeoutMs = STOP_TIMEOUT_MS): Promise<number | undefined> {
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, timeoutMs);
		this.signal('SIGTERM');
		this.signal('SIGCONT');
		await this.ended();
		clearTimeout(timer);
		return this.#child.exitCode ?? undefined;
	}

	async ended(): Promise<void> {
		if (!this.hasEnded) {
			await once(this.#child, 'exit');
		}
	}

	#recordLine(line: string): void {
		this.#listening ??= parseListening(line);
		this.#lastLines.push(line);
		if (this.#lastLines.length > OUTPUT_LINES) {
			this.#lastLines.shift();
		}
	}
}
