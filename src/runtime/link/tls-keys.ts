/**
 * Loads TLS keys from files and reloads them when the files change, without a restart.
 * Used by the links between VMs and by the interfaces for callers.
 */
import {createPrivateKey, X509Certificate} from 'node:crypto';
import {readFile, stat} from 'node:fs/promises';
import {createSecureContext, type SecureContextOptions} from 'node:tls';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {TlsKeysInvalid} from './tls-errors-data.js';

/** Paths of PEM files. */
export type TlsFiles = {
	/** The process's own certificate, followed by intermediate ones if any. */
	readonly cert: string;
	readonly key: string;
	/** Certificates of the authorities that may issue the peers' certificates. */
	readonly ca?: string | undefined;
	/** Serial numbers of revoked certificates in hex, one per line. */
	readonly revoked?: string | undefined;
};

export type TlsKeys = {
	readonly cert: string;
	readonly key: string;
	readonly ca: string | undefined;
	/** Serial numbers in upper-case hex without leading zeros. */
	readonly revoked: ReadonlySet<string>;
};

export type TlsOptions = {
	/** Milliseconds between checks of the files for changes. */
	readonly pollMs: number;
	/** Called when a reload failed. The previous keys stay in use, and the next check of the files reads them again. */
	readonly onError: (err: JackdawwoodError) => void;
};

/** TLS keys that can change while they are in use. */
export type TlsSource = {
	readonly current: () => TlsKeys;
	/** Calls the listener after each change of keys. */
	readonly onChange: (listener: (keys: TlsKeys) => void) => void;
	/** Reads the files now. If the new keys are invalid, rejects with TlsKeysInvalid and leaves the old ones in use. */
	readonly reload: () => Promise<void>;
	readonly close: () => void;
};

/** Returns a serial number in the form of `X509Certificate.serialNumber`. */
export const normalizeSerial = (serial: string): string =>
	serial.trim().replaceAll(':', '').toUpperCase().replace(/^0+(?=.)/v, '');

const toError = (value: unknown): Error => value instanceof Error ? value : new Error(String(value));

const parseRevoked = (text: string): ReadonlySet<string> => new Set(text
	.split('\n')
	.map(line => line.replace(/#.*/v, '').trim())
	.filter(line => line !== '')
	.map(line => normalizeSerial(line)));

/** Throws if the keys can't be used, for instance because a file was read while it was being written. */
const checkKeys = (keys: TlsKeys): void => {
	if (!new X509Certificate(keys.cert).checkPrivateKey(createPrivateKey(keys.key))) {
		throw new Error('certificate and key do not belong together');
	}

	if (keys.ca !== undefined) {
		new X509Certificate(keys.ca); // eslint-disable-line no-new
	}

	createSecureContext(secureContextOptions(keys));
};

const readKeys = async ({cert, key, ca, revoked}: TlsFiles): Promise<TlsKeys> => {
	try {
		const keys: TlsKeys = {
			cert: await readFile(cert, 'utf8'),
			key: await readFile(key, 'utf8'),
			ca: ca === undefined ? undefined : await readFile(ca, 'utf8'),
			revoked: revoked === undefined ? new Set() : parseRevoked(await readFile(revoked, 'utf8')),
		};
		checkKeys(keys);
		return keys;
	} catch (error) {
		const cause = toError(error);
		throw new JackdawwoodError(TlsKeysInvalid, {file: cert, reason: cause.message}, cause);
	}
};

/** Returns a text that changes when a file changes, without reading the files. */
const describeFiles = async (files: TlsFiles): Promise<string> => {
	const paths = [files.cert, files.key, files.ca, files.revoked].filter(path => path !== undefined);
	const states = await Promise.all(paths.map(async path => {
		try {
			const {mtimeMs, size, ino} = await stat(path);
			return `${mtimeMs} ${size} ${ino}`;
		} catch {
			return 'missing';
		}
	}));
	return states.join('\n');
};

/** Returns the keys as options of `node:tls` and `node:http2`. */
export const secureContextOptions = ({cert, key, ca}: TlsKeys): SecureContextOptions =>
	({
		cert, key, ...(ca !== undefined && {ca}), minVersion: 'TLSv1.3',
	});

/**
 * Loads the keys and watches their files. Rejects with TlsKeysInvalid if they can't be used.
 *
 * @example
 * const tls = await loadTls({cert: 'vm.pem', key: 'vm.key'}, {pollMs: 5000, onError: log});
 * const server = createSecureServer(secureContextOptions(tls.current()));
 * tls.onChange(keys => server.setSecureContext(secureContextOptions(keys)));
 */
export const loadTls = async (files: TlsFiles, {pollMs, onError}: TlsOptions): Promise<TlsSource> => {
	const listeners: Array<(keys: TlsKeys) => void> = [];
	let loadedState = await describeFiles(files);
	let keys = await readKeys(files);
	let polling = false;

	const reload = async (): Promise<void> => {
		const state = await describeFiles(files);
		keys = await readKeys(files);
		loadedState = state;
		for (const listener of listeners) {
			listener(keys);
		}
	};

	const poll = async (): Promise<void> => {
		if (polling) {
			return;
		}

		polling = true;
		try {
			if (await describeFiles(files) !== loadedState) {
				await reload();
			}
		} catch (error) {
			onError(error instanceof JackdawwoodError ? error : new JackdawwoodError(TlsKeysInvalid, {file: files.cert, reason: toError(error).message}));
		} finally {
			polling = false;
		}
	};

	const timer = setInterval(() => {
		void poll();
	}, pollMs);
	timer.unref();

	return {
		current: () => keys,
		onChange(listener) {
			listeners.push(listener);
		},
		reload,
		close() {
			clearInterval(timer);
		},
	};
};
