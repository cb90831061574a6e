/** Starts the processes of a fleet with a common temporary folder, and stops them all. */
import {rmSync} from 'node:fs';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {MemberProcess} from './member-process.js';
import {writeSettings} from './settings-files.js';

/** Paths of the compiled entry scripts, relative to this module. */
const SCRIPTS = {
	engine: '../../standins/engine/main.js',
	ledger: '../../standins/ledger/main.js',
	platform: '../../standins/platform/main.js',
	proxy: '../../standins/proxy/main.js',
	router: '../../src/cli/router.js',
} as const;

export type Script = keyof typeof SCRIPTS;

/** Exit code after a signal: that of SIGINT by the convention of shells, 128 + 2. */
const EXIT_SIGNAL = 130;

/** Exits explicitly on a signal, so that the listeners of `exit` run; the default action would skip them. */
const exitOnTermination = (): void => {
	process.exit(EXIT_SIGNAL);
};

export class Launcher {
	readonly #members = new Map<string, MemberProcess>();
	readonly #removeListeners: () => void;

	/** `folder` holds the settings and log files; `close` removes it unless told to keep it. */
	constructor(readonly folder: string) {
		const onExit = (): void => {
			this.#killAll();
		};

		process.once('exit', onExit);
		process.once('SIGINT', exitOnTermination);
		process.once('SIGTERM', exitOnTermination);
		this.#removeListeners = () => {
			process.off('exit', onExit);
			process.off('SIGINT', exitOnTermination);
			process.off('SIGTERM', exitOnTermination);
		};
	}

	/** Writes the settings file and starts a process; it replaces an exited one with the same id. */
	async start(id: string, script: Script, settings: Readonly<Record<string, unknown>>): Promise<MemberProcess> {
		const settingsFile = await writeSettings(this.folder, id, settings);
		const member = new MemberProcess({
			id, settingsFile,
			script: fileURLToPath(new URL(SCRIPTS[script], import.meta.url)),
			logFile: settingsFile.replace(/toml$/v, 'log'),
		});
		this.#members.set(id, member);
		return member;
	}

	get(id: string): MemberProcess | undefined {
		return this.#members.get(id);
	}

	/** Stops the routers, then all other processes, and removes the folder unless `keepFolder` is set. */
	async close(keepFolder = false): Promise<void> {
		const members = [...this.#members.values()].toReversed();
		const isRouter = ({spec}: MemberProcess): boolean => spec.script.endsWith(path.normalize('cli/router.js'));
		await Promise.all(members.filter(member => isRouter(member)).map(async member => member.stop()));
		await Promise.all(members.filter(member => !isRouter(member)).map(async member => member.stop()));
		this.#removeListeners();
		if (!keepFolder) {
			await rm(this.folder, {recursive: true, force: true});
		}
	}

	/** Kills all processes and removes the folder when this process exits without `close`. */
	#killAll(): void {
		for (const member of this.#members.values()) {
			member.signal('SIGKILL');
		}

		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Creates a launcher with a new temporary folder. */
export const createLauncher = async (): Promise<Launcher> => new Launcher(await mkdtemp(path.join(tmpdir(), 'jackdawwood-')));
